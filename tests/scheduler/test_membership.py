"""Membership in virtual time: fault scenarios, protocol extensions, and the encoding of datagrams."""

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
    """A network whose members have joined."""
    made = MembershipNetwork(names(count), seed, **words)  # type: ignore[arg-type]
    made.run(8 * S)
    return made


def member(of: MembershipNetwork, name: str) -> SwimMember:
    peer = of.processes[name].peer
    assert isinstance(peer, SwimMember)
    return peer


class HardCases(unittest.TestCase):
    def deaths(self, of: MembershipNetwork, but: tuple[str, ...] = ()) -> list[str]:
        """Returns the declared deaths, except those by or of the members in `but`."""
        return [
            f"{who}: {reported.name}"
            for _, who, reported in of.reported(Change.DIED)
            if reported.name not in but and who not in but
        ]

    def test_paused_member_causes_no_deaths_and_returns(self) -> None:
        for seed in range(5):
            network = net(seed=seed)
            network.pause("n3", 3 * S)
            network.run(30 * S)
            self.assertEqual(self.deaths(network, ("n3",)), [])
            self.assertEqual([t for _, who, t in network.reported(Change.DIED) if who == "n3"], [])
            self.assertTrue(network.converged())

    def test_deaf_member_declares_no_deaths_and_detects_its_minority(self) -> None:
        network = net()
        others = [n for n in network.names if n != "n0"]
        network.cut(others, ["n0"], 60 * S)
        network.run(60 * S)
        self.assertEqual(self.deaths(network, ("n0",)), [])
        self.assertTrue(member(network, "n0").minority)
        self.assertEqual(member(network, "n0").missing(), set())  # the member itself may be cut off
        self.assertFalse(any(member(network, n).minority for n in others))
        network.run(90 * S)
        self.assertTrue(network.converged())

    def test_one_way_link_failures_cause_no_deaths(self) -> None:
        network = net()
        network.cut(["n0"], ["n1"], 60 * S)
        network.cut(["n4"], ["n2", "n3"], 60 * S)
        network.run(70 * S)
        self.assertEqual(network.reported(Change.DIED), [])

    def test_partition_marks_the_minority_and_heals(self) -> None:
        network = net()
        network.cut(["n0", "n1", "n2"], names(7)[3:], 30 * S)
        network.cut(names(7)[3:], ["n0", "n1", "n2"], 30 * S)
        network.run(36 * S)
        self.assertEqual([n for n in names(7) if member(network, n).minority], ["n0", "n1", "n2"])
        network.run(60 * S)
        self.assertTrue(network.converged())
        self.assertFalse(any(member(network, n).minority for n in names(7)))

    def test_message_loss_of_30_percent_causes_no_deaths(self) -> None:
        network = net(12, loss=0.3)
        network.run(60 * S)
        self.assertEqual(network.reported(Change.DIED), [])

    def test_restart_with_older_clock_is_reported_as_new_process(self) -> None:
        network = net()
        before = member(network, "n2").me
        network.kill("n2")
        network.start(
            "n2", SwimMember("n2", 77, 3, network.names, network.pace, random.Random(5), network.now)
        )
        network.run(network.now + 10 * S)
        self.assertTrue(network.converged())
        after = member(network, "n2").me
        self.assertGreater(after.incarnation, before.incarnation)
        reported = {who for _, who, t in network.reported(Change.RESTARTED) if t.name == "n2"}
        died = {who for _, who, t in network.reported(Change.DIED) if t.name == "n2"}
        self.assertEqual(reported | died, set(names(7)) - {"n2"})

    def test_duplicate_name_is_reported_with_bounded_traffic(self) -> None:
        network = net()
        twin = SwimMember("n2", 99, 5000, network.names, network.pace, random.Random(9), network.now)
        network.names.append("twin")
        network.start("twin", twin)  # a separate endpoint whose process uses the name n2
        network.run(network.now + 30 * S)
        reported = {who for _, who, t in network.reported(Change.TWIN) if t.name == "n2"}
        self.assertTrue(reported & (set(names(7)) - {"n2"}))
        self.assertLess(network.processes["n2"].sent / 38, 60)  # messages per second

    def test_missing_configured_names_cause_minority_and_little_traffic(self) -> None:
        network = MembershipNetwork(names(50), 3, configured=names(200))
        network.run(20 * S)
        before = sum(p.sent for p in network.processes.values())
        network.run(40 * S)
        self.assertTrue(network.converged())
        self.assertTrue(all(member(network, n).minority for n in network.live()))
        self.assertLess((sum(p.sent for p in network.processes.values()) - before) / 50 / 20, 20)

    def test_restart_of_all_members_at_once_and_in_sequence(self) -> None:
        for gap in (0, 2 * S):
            network = net()
            for name in list(network.names):
                network.start(name)  # replaces the running process
                network.run(network.now + gap)
            network.run(network.now + 10 * S)
            self.assertTrue(network.converged(), gap)

    def test_constant_delay_of_two_seconds_causes_no_lasting_deaths(self) -> None:
        network = net()
        network.late["n5"] = 2 * S  # no message of n5 arrives for two seconds; from then on each one is late
        network.run(60 * S)
        self.assertEqual([t for at, _, t in network.reported(Change.DIED) if at > 14 * S], [])
        self.assertTrue(all("n5" in view for view in network.views().values()))

    def test_leave_is_reported_and_new_contacts_change_the_majority(self) -> None:
        network = net()
        member(network, "n6").leave(network.now)
        network._after(network.processes["n6"])
        network.kill("n6")
        network.run(network.now + 5 * S)
        self.assertEqual(network.reported(Change.DIED), [])
        self.assertEqual({who for _, who, t in network.reported(Change.LEFT)}, set(names(6)))
        member(network, "n0").set_contacts(network.now, ["n0", *(f"m{i}" for i in range(9))])
        self.assertTrue(member(network, "n0").minority)

    def test_view_numbers_never_decrease(self) -> None:
        network, last = net(), dict.fromkeys(names(7), 0)
        network.kill("n6")
        for _ in range(20):
            network.run(network.now + S)
            for name in names(6):
                self.assertGreaterEqual(member(network, name).number, last[name])
                last[name] = member(network, name).number

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


class ProtocolExtensions(unittest.TestCase):
    """The additions to SWIM and Lifeguard, each on a single member with hand-made messages."""

    def setUp(self) -> None:
        self.one = SwimMember("n0", 1, 9, names(3), MembershipTiming(), CHANCE, 0)
        self.now = S
        for name in ("n1", "n2"):
            self.deliver(name)
        self.one.reported.clear()
        self.one.sends.clear()

    def deliver(
        self, name: str, kind: MessageKind = MessageKind.ACK, *news: MemberUpdate, **words: object
    ) -> list[tuple[str, Message]]:
        before = len(self.one.sends)
        self.one.step(self.now, Message(kind, MemberUpdate(name, 5, 9), news=news, **words))  # type: ignore[arg-type]
        return self.one.sends[before:]

    def gossiped_names(self, standing: MemberStatus) -> set[str]:
        return {n.name for _, m in self.one.sends for n in m.news if n.standing is standing}

    def test_late_step_causes_no_suspicion(self) -> None:
        self.deliver("n1", MessageKind.PAGE, MemberUpdate("n2", 5, 9, MemberStatus.SUSPECT, "n1"))
        self.now += 30 * S
        self.one.step(self.now)
        self.one.step(self.one.due())
        self.assertEqual([t.change for t in self.one.reported], [Change.SUSPECTED, Change.PAUSED])

    def test_verdicts_of_a_deaf_member_are_not_gossiped_and_are_reverted(self) -> None:
        self.one._heard_at -= 9 * S
        while self.one.records["n1"].present or self.one.records["n2"].present:
            self.now = self.one.due()
            self.one.step(self.now)
        self.assertEqual(self.one.reported[0].change, Change.DEAF)
        self.assertEqual(
            self.gossiped_names(MemberStatus.SUSPECT) | self.gossiped_names(MemberStatus.DEAD), set()
        )
        self.deliver("n1")
        self.assertEqual(self.one.present(), names(3))
        self.assertFalse([r for r in self.one.records.values() if r.tentative or r.suspicion])

    def test_reported_death_of_recent_contact_becomes_suspicion_and_next_probe(self) -> None:
        sent = self.deliver("n1", MessageKind.PAGE, MemberUpdate("n2", 5, 9, MemberStatus.DEAD, "n1"))
        self.assertEqual(
            [n for n, m in sent if m.news and m.news[0].standing is MemberStatus.SUSPECT], ["n2"]
        )
        self.assertIn("n2", self.one.present())
        self.assertEqual(self.one._probe_order[-1], "n2")

    def test_sender_recorded_as_dead_is_notified_once_per_period(self) -> None:
        self.now += 9 * S
        self.one.records["n2"].heard_at = -99 * S
        self.deliver("n1", MessageKind.PAGE, MemberUpdate("n2", 5, 9, MemberStatus.DEAD, "n1"))
        reported = [message for _ in range(50) for _, message in self.deliver("n2")]
        self.assertEqual(len(reported), 1)

    def test_digest_is_answered_with_records_and_own_digest(self) -> None:
        kinds = [m.kind for _, m in self.deliver("n1", MessageKind.DIGEST, seq=1, hashes=(0,) * 12)]
        self.assertEqual(kinds, [MessageKind.DIGEST, MessageKind.PAGE])


class DatagramEncoding(unittest.TestCase):
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

    def test_computed_size_is_an_upper_bound_of_the_encoded_size(self) -> None:
        codec, chance = DatagramCodec("a", 4096), random.Random(1)
        for _ in range(500):
            message = self.random_message(chance)
            data = codec.encode(message)
            self.assertLessEqual(len(data), message_bytes(message))
            self.assertEqual(codec.decode(data), message)

    def test_datagrams_of_a_simulated_group_fit_the_limit(self) -> None:
        codec, network = DatagramCodec("a"), net(40)
        longest = 0
        for process in network.processes.values():
            process.peer.step(network.now + 5 * S)
            for _, message in process.peer.sends:
                longest = max(longest, len(codec.encode(message)))
        self.assertLessEqual(longest, MAX_DATAGRAM_BYTES)
        self.assertGreater(longest, 60)

    def test_invalid_datagrams_are_counted_by_reason(self) -> None:
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

    def test_corrupted_bytes_never_raise(self) -> None:
        codec, chance = DatagramCodec("a"), random.Random(2)
        good = codec.encode(
            Message(MessageKind.PAGE, MemberUpdate("n", 1, 1), news=(MemberUpdate("m", 2, 2),))
        )
        for _ in range(20_000):
            data = bytearray(good)
            for _ in range(chance.randint(1, 4)):
                data[chance.randrange(len(data))] = chance.randrange(256)
            body = bytes(data[11:])
            # A valid checksum lets the corrupted body pass to the decoder.
            sealed = bytes(data[:7]) + codec._sum(body).to_bytes(4, "big") + body
            codec.decode(sealed)
        self.assertGreater(codec.bad["body"], 1000)
