"""Membership in virtual time: the hard cases, and what must hold on the wire."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.scheduler.emulator.membership import MembershipNetwork, S
from hollowusher.scheduler.emulator.membership_check import CHANCE
from hollowusher.scheduler.rules.membership.codec import DatagramCodec
from hollowusher.scheduler.rules.membership.events import Change
from hollowusher.scheduler.rules.membership.member import SwimMember
from hollowusher.scheduler.rules.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MemberStatus,
    MemberUpdate,
    Message,
    MessageKind,
    message_bytes,
)
from hollowusher.scheduler.rules.membership.pace import MembershipTiming


def names(count: int) -> list[str]:
    return [f"n{i}" for i in range(count)]


def net(count: int = 7, seed: int = 1, **words: object) -> MembershipNetwork:
    """Members that have found each other."""
    made = MembershipNetwork(names(count), seed, **words)  # type: ignore[arg-type]
    made.run(8 * S)
    return made


def member(of: MembershipNetwork, name: str) -> SwimMember:
    peer = of.processes[name].peer
    assert isinstance(peer, SwimMember)
    return peer


class HardCases(unittest.TestCase):
    def deaths(self, of: MembershipNetwork, but: tuple[str, ...] = ()) -> list[str]:
        """Who was held dead by others that could not know it better."""
        return [
            f"{who}: {reported.name}"
            for _, who, reported in of.reported(Change.DIED)
            if reported.name not in but and who not in but
        ]

    def test_one_that_was_paused_accuses_nobody_and_is_back(self) -> None:
        for seed in range(5):
            play = net(seed=seed)
            play.pause("n3", 3 * S)
            play.run(30 * S)
            self.assertEqual(self.deaths(play, ("n3",)), [])
            self.assertEqual([t for _, who, t in play.reported(Change.DIED) if who == "n3"], [])
            self.assertTrue(play.converged())

    def test_who_hears_nobody_accuses_nobody_and_knows_that_it_is_alone(self) -> None:
        play = net()
        others = [n for n in play.names if n != "n0"]
        play.cut(others, ["n0"], 60 * S)
        play.run(60 * S)
        self.assertEqual(self.deaths(play, ("n0",)), [])
        self.assertTrue(member(play, "n0").minority)
        self.assertEqual(member(play, "n0").missing(), set())  # it may be itself that is cut off
        self.assertFalse(any(member(play, n).minority for n in others))
        play.run(90 * S)
        self.assertTrue(play.converged())

    def test_one_direction_between_two_costs_nobody_its_place(self) -> None:
        play = net()
        play.cut(["n0"], ["n1"], 60 * S)
        play.cut(["n4"], ["n2", "n3"], 60 * S)
        play.run(70 * S)
        self.assertEqual(play.reported(Change.DIED), [])

    def test_halves_that_heal_and_know_which_of_them_is_the_smaller(self) -> None:
        play = net()
        play.cut(["n0", "n1", "n2"], names(7)[3:], 30 * S)
        play.cut(names(7)[3:], ["n0", "n1", "n2"], 30 * S)
        play.run(36 * S)
        self.assertEqual([n for n in names(7) if member(play, n).minority], ["n0", "n1", "n2"])
        play.run(60 * S)
        self.assertTrue(play.converged())
        self.assertFalse(any(member(play, n).minority for n in names(7)))

    def test_a_third_of_all_messages_lost_for_a_minute(self) -> None:
        play = net(12, loss=0.3)
        play.run(60 * S)
        self.assertEqual(play.reported(Change.DIED), [])

    def test_a_name_that_comes_back_with_an_older_clock_is_reported_as_another_process(self) -> None:
        play = net()
        before = member(play, "n2").me
        play.kill("n2")
        play.start("n2", SwimMember("n2", 77, 3, play.names, play.pace, random.Random(5), play.now))
        play.run(play.now + 10 * S)
        self.assertTrue(play.converged())
        after = member(play, "n2").me
        self.assertGreater(after.incarnation, before.incarnation)
        reported = {who for _, who, t in play.reported(Change.RESTARTED) if t.name == "n2"}
        died = {who for _, who, t in play.reported(Change.DIED) if t.name == "n2"}
        self.assertEqual(reported | died, set(names(7)) - {"n2"})

    def test_two_processes_of_one_name_are_found_and_reported_and_fill_no_network(self) -> None:
        play = net()
        twin = SwimMember("n2", 99, 5000, play.names, play.pace, random.Random(9), play.now)
        play.names.append("twin")
        play.start("twin", twin)  # its own place in the network, under a name that is taken
        play.run(play.now + 30 * S)
        reported = {who for _, who, t in play.reported(Change.TWIN) if t.name == "n2"}
        self.assertTrue(reported & (set(names(7)) - {"n2"}))
        self.assertLess(play.processes["n2"].sent / 38, 60)  # messages a second

    def test_names_that_do_not_exist_cost_little_and_leave_a_minority(self) -> None:
        play = MembershipNetwork(names(50), 3, configured=names(200))
        play.run(20 * S)
        before = sum(p.sent for p in play.processes.values())
        play.run(40 * S)
        self.assertTrue(play.converged())
        self.assertTrue(all(member(play, n).minority for n in play.live()))
        self.assertLess((sum(p.sent for p in play.processes.values()) - before) / 50 / 20, 20)

    def test_all_restarted_at_once_and_one_after_another(self) -> None:
        for gap in (0, 2 * S):
            play = net()
            for name in list(play.names):
                play.start(name)  # in the place of the process before it
                play.run(play.now + gap)
            play.run(play.now + 10 * S)
            self.assertTrue(play.converged(), gap)

    def test_datagrams_that_come_two_seconds_late(self) -> None:
        play = net()
        play.late["n5"] = 2 * S  # it falls silent for two seconds, and is late from then on
        play.run(60 * S)
        self.assertEqual([t for at, _, t in play.reported(Change.DIED) if at > 14 * S], [])
        self.assertTrue(all("n5" in view for view in play.views().values()))

    def test_a_leave_is_known_as_one_and_other_names_count_for_the_majority(self) -> None:
        play = net()
        member(play, "n6").leave(play.now)
        play._after(play.processes["n6"])
        play.kill("n6")
        play.run(play.now + 5 * S)
        self.assertEqual(play.reported(Change.DIED), [])
        self.assertEqual({who for _, who, t in play.reported(Change.LEFT)}, set(names(6)))
        member(play, "n0").set_contacts(play.now, ["n0", *(f"m{i}" for i in range(9))])
        self.assertTrue(member(play, "n0").minority)

    def test_numbers_of_views_never_fall(self) -> None:
        play, last = net(), dict.fromkeys(names(7), 0)
        play.kill("n6")
        for _ in range(20):
            play.run(play.now + S)
            for name in names(6):
                self.assertGreaterEqual(member(play, name).number, last[name])
                last[name] = member(play, name).number

    @settings(max_examples=15, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_whatever_befalls_them_they_agree_once_messages_flow(self, seed: int) -> None:
        play, chance = net(seed=seed), random.Random(seed)
        for _ in range(8):
            some = chance.sample(play.names, chance.randint(1, 3))
            rest = [n for n in play.names if n not in some]
            match chance.randrange(5):
                case 0:
                    play.cut(some, rest, chance.randint(1, 15) * S)
                case 1:
                    play.cut(rest, some, chance.randint(1, 15) * S)
                case 2:
                    play.pause(some[0], chance.randint(1, 6) * S)
                case 3:
                    play.start(some[0])
                case 4:
                    play.loss = chance.choice([0.0, 0.1, 0.4])
            play.run(play.now + chance.randint(0, 8) * S)
        play.loss = 0.0
        play.run(play.now + 40 * S)
        self.assertTrue(play.converged(), play.views())


class Additions(unittest.TestCase):
    """What was added to the papers, each by one member that is driven by hand."""

    def setUp(self) -> None:
        self.one = SwimMember("n0", 1, 9, names(3), MembershipTiming(), CHANCE, 0)
        self.now = S
        for name in ("n1", "n2"):
            self.hear(name)
        self.one.reported.clear()
        self.one.sends.clear()

    def hear(
        self, name: str, kind: MessageKind = MessageKind.ACK, *news: MemberUpdate, **words: object
    ) -> list[tuple[str, Message]]:
        before = len(self.one.sends)
        self.one.step(self.now, Message(kind, MemberUpdate(name, 5, 9), news=news, **words))  # type: ignore[arg-type]
        return self.one.sends[before:]

    def said(self, standing: MemberStatus) -> set[str]:
        return {n.name for _, m in self.one.sends for n in m.news if n.standing is standing}

    def test_a_late_step_judges_nobody(self) -> None:
        self.hear("n1", MessageKind.PAGE, MemberUpdate("n2", 5, 9, MemberStatus.SUSPECT, "n1"))
        self.now += 30 * S
        self.one.step(self.now)
        self.one.step(self.one.due())
        self.assertEqual([t.change for t in self.one.reported], [Change.SUSPECTED, Change.PAUSED])

    def test_what_is_judged_while_nobody_is_heard_is_not_reported_and_is_taken_back(self) -> None:
        self.one._heard_at -= 9 * S
        while self.one.records["n1"].present or self.one.records["n2"].present:
            self.now = self.one.due()
            self.one.step(self.now)
        self.assertEqual(self.one.reported[0].change, Change.DEAF)
        self.assertEqual(self.said(MemberStatus.SUSPECT) | self.said(MemberStatus.DEAD), set())
        self.hear("n1")
        self.assertEqual(self.one.present(), names(3))
        self.assertFalse([r for r in self.one.records.values() if r.tentative or r.suspicion])

    def test_a_death_of_one_that_was_just_heard_is_a_suspicion_and_it_is_asked_next(self) -> None:
        sent = self.hear("n1", MessageKind.PAGE, MemberUpdate("n2", 5, 9, MemberStatus.DEAD, "n1"))
        self.assertEqual(
            [n for n, m in sent if m.news and m.news[0].standing is MemberStatus.SUSPECT], ["n2"]
        )
        self.assertIn("n2", self.one.present())
        self.assertEqual(self.one._probe_order[-1], "n2")

    def test_one_that_never_says_otherwise_is_reported_once_a_period(self) -> None:
        self.now += 9 * S
        self.one.records["n2"].heard_at = -99 * S
        self.hear("n1", MessageKind.PAGE, MemberUpdate("n2", 5, 9, MemberStatus.DEAD, "n1"))
        reported = [message for _ in range(50) for _, message in self.hear("n2")]
        self.assertEqual(len(reported), 1)

    def test_a_digest_is_answered_by_what_differs_and_by_ours(self) -> None:
        kinds = [m.kind for _, m in self.hear("n1", MessageKind.DIGEST, seq=1, hashes=(0,) * 12)]
        self.assertEqual(kinds, [MessageKind.DIGEST, MessageKind.PAGE])


class Wire(unittest.TestCase):
    def random_message(self, chance: random.Random) -> Message:
        def text(least: int = 0) -> str:
            return "x" * chance.randint(least, 32)

        def news() -> MemberUpdate:
            return MemberUpdate(
                text(1),
                chance.randrange(2**32),
                chance.randrange(2**40),
                chance.choice(list(MemberStatus)),
                text(),
                text(),
            )

        return Message(
            chance.choice(list(MessageKind)),
            news(),
            chance.randrange(2**40),
            chance.randrange(2**32),
            text(),
            tuple(news() for _ in range(chance.randint(0, 2))),
            tuple(chance.randrange(2**32) for _ in range(chance.randint(0, 12))),
        )

    def test_what_is_reckoned_is_never_less_than_what_goes_out(self) -> None:
        codec, chance = DatagramCodec("a", 4096), random.Random(1)
        for _ in range(500):
            message = self.random_message(chance)
            data = codec.encode(message)
            self.assertLessEqual(len(data), message_bytes(message))
            self.assertEqual(codec.decode(data), message)

    def test_every_datagram_of_a_play_fits(self) -> None:
        codec, play = DatagramCodec("a"), net(40)
        longest = 0
        for process in play.processes.values():
            process.peer.step(play.now + 5 * S)
            for _, message in process.peer.sends:
                longest = max(longest, len(codec.encode(message)))
        self.assertLessEqual(longest, MAX_DATAGRAM_BYTES)
        self.assertGreater(longest, 60)

    def test_what_cannot_be_read_is_counted_by_its_reason(self) -> None:
        codec, other = DatagramCodec("a"), DatagramCodec("b")
        good = codec.encode(Message(MessageKind.PING, MemberUpdate("n", 1, 1)))
        body = bytearray(good)
        body[-1] ^= 1
        version = bytearray(good)
        version[2] = 9
        for data, why in (
            (b"", "length"),
            (good + b"x" * 300, "length"),
            (b"zz" + good[2:], "magic"),
            (bytes(version), "version"),
            (other.encode(Message(MessageKind.PING, MemberUpdate("n", 1, 1))), "cluster"),
            (bytes(body), "checksum"),
        ):
            before = codec.bad[why]
            self.assertIsNone(codec.decode(data))
            self.assertEqual(codec.bad[why], before + 1, why)

    def test_seeded_bytes_never_raise(self) -> None:
        codec, chance = DatagramCodec("a"), random.Random(2)
        good = codec.encode(
            Message(MessageKind.PAGE, MemberUpdate("n", 1, 1), news=(MemberUpdate("m", 2, 2),))
        )
        for _ in range(20_000):
            data = bytearray(good)
            for _ in range(chance.randint(1, 4)):
                data[chance.randrange(len(data))] = chance.randrange(256)
            body = bytes(data[11:])
            sealed = bytes(data[:7]) + codec._sum(body).to_bytes(4, "big") + body  # past the checksum
            codec.decode(sealed)
        self.assertGreater(codec.bad["body"], 1000)
