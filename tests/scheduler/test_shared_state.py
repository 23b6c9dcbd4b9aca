"""Tests of the state that schedulers share: budget limits, order-independent counts and node scores."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.scheduler.emulator.shared_state import MS, BudgetNet, S, schedule
from hollowusher.scheduler.net.shared_state.settings import SHARED, read_shared
from hollowusher.scheduler.rules.shared_state.budgets import BudgetGrant, BudgetRequest, Budgets
from hollowusher.scheduler.rules.shared_state.counts import CountUpdate, SharedCounts
from hollowusher.scheduler.rules.shared_state.judgements import EXPIRY_NS, NodeObservation, NodeScores
from hollowusher.scheduler.rules.shared_state.sharer import SharedStateGossip
from hollowusher.scheduler.rules.shared_state.wire import MAX_DATAGRAM_BYTES, SharedStateCodec
from hollowusher.scheduler.settings.model import ConfigError
from hollowusher.scheduler.settings.reader import read_text


class DuplicateGrantsCount(Budgets):
    """Faulty budgets: a duplicate grant counts twice."""

    def receive(self, now: int, message: BudgetRequest | BudgetGrant, sender: str) -> None:
        self._budgets[message.budget].seen_grants.clear()
        super().receive(now, message, sender)


class NoStartupWait(Budgets):
    """Faulty budgets: a new process uses its share at once, while its predecessor's uses still count."""

    def __init__(self, name: str, names: list[str], permit_ns: int, now: int) -> None:
        super().__init__(name, names, permit_ns, now - 100 * S)


class GrantedPermitsNotCounted(Budgets):
    """Faulty budgets: the owner does not count the permits that it grants."""

    def receive(self, now: int, message: BudgetRequest | BudgetGrant, sender: str) -> None:
        before = list(self._budgets[message.budget].spent)
        super().receive(now, message, sender)
        if isinstance(message, BudgetRequest):
            self._budgets[message.budget].spent.clear()
            self._budgets[message.budget].spent.extend(before)


class PermitCountedAtGrant(Budgets):
    """Faulty budgets: a permit counts from its grant instead of from its expiry."""

    def receive(self, now: int, message: BudgetRequest | BudgetGrant, sender: str) -> None:
        super().receive(now, message, sender)
        if isinstance(message, BudgetRequest):
            spent = self._budgets[message.budget].spent
            late = [(min(at, now), amount) for at, amount in spent]
            spent.clear()
            spent.extend(sorted(late))


class PermitsNeverExpire(Budgets):
    """Faulty budgets: permits never expire."""

    def receive(self, now: int, message: BudgetRequest | BudgetGrant, sender: str) -> None:
        super().receive(now, message, sender)
        budget = self._budgets[message.budget]
        budget.permits = [(1 << 62, amount) for _, amount in budget.permits]


class SharesExceedBound(Budgets):
    """Faulty budgets: the shares add up to more than the bound.

    This happens when the bound is divided among the reachable members instead of the configured ones.
    """

    def set_bound(self, name: str, bound: float, span: int, quantum: float) -> None:
        super().set_bound(name, bound * 1.5, span, quantum)


FAULTY_BUDGETS = (DuplicateGrantsCount, NoStartupWait, GrantedPermitsNotCounted, SharesExceedBound)


class BudgetLimits(unittest.TestCase):
    def worst(self, make: type[Budgets], size: int, seeds: int, drift: float = 0.01) -> float:
        """Return the largest use within any span over all seeds; the bound is 100."""
        worst = 0.0
        for seed in range(seeds):
            net = BudgetNet(size, seed, make=make, permit=(80 + 200 * (seed % 2)) * MS, drift=drift)
            schedule(net, 15, seed)
            worst = max(worst, net.most)
            if worst > 100:
                break
        return worst

    def test_the_bound_holds_under_message_loss_partitions_and_restarts(self) -> None:
        for size, seeds in ((2, 8), (8, 6), (40, 2), (200, 1)):
            with self.subTest(size):
                self.assertLessEqual(self.worst(Budgets, size, seeds), 100.0)

    def test_each_faulty_implementation_exceeds_the_bound(self) -> None:
        # The clocks are exact and the budgets allow for no drift, so that each fault shows within fewer runs.
        with mock.patch("hollowusher.scheduler.rules.shared_state.budgets.CLOCK_DRIFT", 0.0):
            self.assertLessEqual(max(self.worst(Budgets, 2, 8, 0.0), self.worst(Budgets, 8, 4, 0.0)), 100.0)
            for make in FAULTY_BUDGETS:
                with self.subTest(make.__name__):
                    self.assertGreater(max(self.worst(make, 2, 16, 0.0), self.worst(make, 8, 6, 0.0)), 100.0)
        # The clocks drift while the budgets allow for no drift: even correct budgets exceed the bound.
        with mock.patch("hollowusher.scheduler.rules.shared_state.budgets.CLOCK_DRIFT", 0.0):
            self.assertGreater(max(self.worst(Budgets, 2, 16, 0.05), self.worst(Budgets, 8, 6, 0.05)), 100.0)

    def test_a_permit_counts_until_its_latest_possible_use(self) -> None:
        for make, late, wanted in (
            (Budgets, 79 * MS, 2),
            (PermitCountedAtGrant, 79 * MS, 3),
            (Budgets, 400 * MS, 2),
            (PermitsNeverExpire, 400 * MS, 3),
        ):
            with self.subTest(make.__name__, late=late):
                one, two = (make(n, ["a", "b"], 80 * MS, 0) for n in "ab")
                used, now = [], 10 * S
                for budgets in (one, two):
                    budgets.set_bound("x", 2.0, S, 1.0)  # one quantum for each member
                one.receive(now, BudgetRequest("x", 1.0, now, 1), "b")
                two.receive(now, one.sends[0][1], "a")
                for who, at in (
                    (two, now + late),
                    (two, now + late + S // 10),
                    (one, now + S + 25 * MS),
                    (one, now + late + S - 1),
                ):
                    if who.spend(at, "x", 1.0):
                        used.append(at)
                within = max(sum(t <= at < t + S for at in used) for t in used)
                self.assertEqual(within, wanted)

    def test_most_of_the_bound_is_usable_with_and_without_a_partition(self) -> None:
        net = BudgetNet(8, 1)
        net.demand(150, 3)
        self.assertGreater(net.demand(150, 5), 0.75)
        names = sorted(net.members)
        net.cuts = {(a, b) for a in names for b in names if (a < "n4") != (b < "n4")}
        self.assertGreater(net.demand(150, 5), 0.6)

    def test_a_lower_bound_applies_at_once_to_own_use_and_invalid_messages_are_ignored(self) -> None:
        one = Budgets("a", ["a", "b"], 80 * MS, 0)
        one.set_bound("x", 8.0, S, 1.0)
        now = 10 * S
        self.assertEqual([one.spend(now, "x", 1.0) for _ in range(5)], [True] * 4 + [False])
        one.set_bound("x", 2.0, S, 1.0)
        self.assertFalse(one.spend(now + S // 2, "x", 1.0))
        self.assertTrue(one.spend(now + 2 * S, "x", 1.0))
        for odd in (
            BudgetRequest("x", -1.0, 0, 1),
            BudgetRequest("x", 1e12, 0, 1),
            BudgetRequest("y", 1.0, 0, 1),
            BudgetGrant("x", 1e9, now, 1),
        ):
            one.receive(now + 2 * S, odd, "b")
        self.assertEqual((one.sends, one.permitted(now + 2 * S, "x")), ([], 0.0))


class CountTotals(unittest.TestCase):
    @settings(max_examples=80, deadline=None)
    @given(st.integers(0, 2**31))
    def test_result_does_not_depend_on_order_or_duplicates(self, seed: int) -> None:
        chance = random.Random(seed)
        sent = []
        for member in "abc":
            for incarnation in (1, 2):
                source = SharedCounts(member, incarnation, 4 * S, 0)
                for step in range(4):
                    source.add(step * S, f"k{chance.randrange(4)}", chance.randint(1, 9))
                    sent.append(source.next_update(step * S, 3))
        ends = []
        for _ in range(3):
            sink = SharedCounts("z", 1, 4 * S, 0)
            order = [*sent, *chance.sample(sent, 5)]
            chance.shuffle(order)
            for reports in order:
                sink.receive(S, reports)
            ends.append(sink.remote_counts())
        self.assertEqual(ends[0], ends[1])
        self.assertEqual(ends[0], ends[2])

    def test_totals_are_exact_and_a_restarted_member_counts_once(self) -> None:
        one, two = SharedCounts("a", 1, 4 * S, 0), SharedCounts("b", 1, 4 * S, 0)
        for step in range(40):
            one.add(step * S // 10, "jobs", 2)
            two.add(step * S // 10, "jobs")
        now = 4 * S - 1
        one.receive(now, two.next_update(now, 4))
        self.assertAlmostEqual(one.total(now, "jobs"), 120, places=2)
        again = SharedCounts("b", 2, 4 * S, now)
        again.add(now, "jobs", 5)
        one.receive(now, again.next_update(now, 4))
        self.assertAlmostEqual(one.total(now, "jobs"), 85, places=2)
        one.receive(now, two.next_update(now, 4))  # a late update of the previous incarnation
        self.assertAlmostEqual(one.totals(now)["jobs"], 85, places=2)
        for odd in ({"jobs": 1e12}, {"jobs": -1.0}, {f"k{i}": 1.0 for i in range(600)}):
            one.receive(now, CountUpdate("b", 9, 9, odd))
        self.assertEqual((one.refused, round(one.total(now, "jobs"))), (3, 85))
        self.assertEqual(one.total(now + 20 * S, "jobs"), 0)  # both members' counts have expired


class NodeScoreThresholds(unittest.TestCase):
    def bad(self, own: str, reports: dict[str, float], now: int = S) -> bool:
        """Return whether a node is bad.

        `own` lists this member's attempts (g: success, b: failure); `reports` maps other members to scores.
        """
        view = NodeScores("me", 1)
        for end in own:
            view.record_end(now, "s1", end == "g")
        for number, (member, score) in enumerate(reports.items()):
            view.receive(now, NodeObservation(member, 1, number + 1, "s1", score))
        return view.bad(now, "s1")

    def test_own_and_reported_scores_are_weighted(self) -> None:
        for own, reports, wanted in (
            ("", {"a": 4.0}, False),  # one other member alone, even with the highest score
            ("", dict.fromkeys("ab", 1.0), True),  # two other members have seen it fail
            ("b", {}, False),
            ("b", {"a": 1.0}, True),
            ("g", dict.fromkeys("ab", 4.0), False),  # an own success outweighs two other members
            ("gggg", dict.fromkeys("abcdefgh", 4.0), False),  # own successes outweigh all other members
            ("bb", {}, True),
            ("bbb", dict.fromkeys("abcdef", -2.0), False),  # all others succeed: the fault may be on our side
            ("bbbb", dict.fromkeys("abcdef", -2.0), True),  # enough own failures outweigh all others
            ("", {"a": 4.0, **dict.fromkeys("bcdef", -2.0)}, False),  # one member cannot reach the node
            ("", dict.fromkeys("abcdef", 1e9), False),  # invalid scores are ignored
            ("ggggggbb", {}, True),  # recent failures outweigh earlier successes
        ):
            with self.subTest(reports=reports, own=own):
                self.assertEqual(self.bad(own, reports), wanted)

    def test_scores_expire_reset_with_the_process_and_one_member_sends_the_trial(self) -> None:
        view = NodeScores("me", 1)
        for _ in range(4):
            view.record_end(S, "s1", False)
        self.assertTrue(view.bad(S, "s1"))
        self.assertFalse(view.bad(S + EXPIRY_NS, "s1"))
        for member in "abcdefgh":  # without expiry, eight decayed scores would still exceed the threshold
            view.receive(S, NodeObservation(member, 1, 1, "s2", 4.0))
        self.assertEqual((view.bad(S, "s2"), view.bad(S + EXPIRY_NS + 1, "s2")), (True, False))
        view.reset_node("s1")
        self.assertFalse(view.bad(S, "s1"))
        present = [f"n{i}" for i in range(7)]
        for turn in range(50):
            tries = [n for n in present if NodeScores(n, 1).has_trial_turn(turn * S, "s1", present)]
            self.assertEqual(len(tries), 1)


class GossipSpread(unittest.TestCase):
    def fleet(
        self, size: int, loss: float, seed: int
    ) -> tuple[dict[str, SharedStateGossip], SharedStateCodec]:
        names = [f"n{i}" for i in range(size)]
        return {
            n: SharedStateGossip(n, names, 1, 4 * S, 80 * MS, random.Random(f"{seed}{n}"), 0) for n in names
        }, SharedStateCodec("c")

    def run_gossip(
        self,
        fleet: dict[str, SharedStateGossip],
        codec: SharedStateCodec,
        now: int,
        until: int,
        loss: float,
        seed: int,
        cut: frozenset[tuple[str, str]] = frozenset(),
    ) -> tuple[int, int]:
        """Run the gossip over the real codec; return the number of datagrams and their total bytes."""
        chance, datagrams, size = random.Random(seed), 0, 0
        while now < until:
            now += 25 * MS
            for name, sharer in fleet.items():
                sharer.step(now, list(fleet))
                by_name: dict[str, list[object]] = {}
                for to, message in sharer.sends:
                    by_name.setdefault(to, []).append(message)
                sharer.sends = []
                for to, messages in by_name.items():
                    for data in codec.encode_datagrams(name, messages, 2):  # type: ignore[arg-type]
                        datagrams, size = datagrams + 1, size + len(data)
                        self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)
                        envelope = codec.decode(data)
                        if envelope is not None and (name, to) not in cut and chance.random() >= loss:
                            for message in envelope.messages:
                                fleet[to].receive(now, message, name)
        return datagrams, size

    def test_three_failures_reach_all_members_within_a_second(self) -> None:
        for size, loss in ((7, 0.0), (40, 0.3)):
            fleet, codec = self.fleet(size, loss, 1)
            self.run_gossip(fleet, codec, 0, 3 * S, loss, 1)
            for name in ("n1", "n2", "n3"):
                fleet[name].judgements.record_end(3 * S, "s9", False)
            self.run_gossip(fleet, codec, 3 * S, 4 * S, loss, 2)
            knowing = sum(s.judgements.bad(4 * S, "s9") for s in fleet.values())
            self.assertGreaterEqual(knowing, size if not loss else 0.95 * size, size)

    def test_counts_converge_within_two_seconds_after_a_partition(self) -> None:
        fleet, codec = self.fleet(7, 0.0, 1)
        names = list(fleet)
        cut = {(a, b) for a in names for b in names if (a < "n3") != (b < "n3")}
        for at in range(0, 12 * S, S // 20):
            for number, sharer in enumerate(fleet.values()):
                sharer.counts.add(at, "jobs/quote", 1 + number / 4)
            self.run_gossip(fleet, codec, at, at + S // 20, 0.0, at, frozenset(cut if at < 10 * S else ()))
        now = 12 * S
        expected = sum(s.counts.own(now).get("jobs/quote", 0.0) for s in fleet.values())
        for sharer in fleet.values():
            self.assertAlmostEqual(sharer.counts.total(now, "jobs/quote") / expected, 1.0, delta=0.02)

    def test_settings(self) -> None:
        with self.assertRaisesRegex(ConfigError, "x:2: .*needs .peers. to be enabled"):
            read_shared(read_text("[shared]\ncounts yes\n", "x", (SHARED,)), False)
