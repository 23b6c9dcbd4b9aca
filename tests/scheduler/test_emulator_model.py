"""The node model against queueing theory, its own ramp and its stalls: within 5%."""

from __future__ import annotations

import random
import statistics
import unittest
from collections.abc import Callable
from math import factorial

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.scheduler.emulator.model import NodeEventKind, NodeKind, NodeModel
from tests.support.balancer import MS, S


def played(node: NodeModel, arrivals: list[tuple[int, float]]) -> tuple[dict[int, int], dict[int, int]]:
    """Start and end times of jobs, by number, that arrive at these times with this much work."""
    for number, (at, work) in enumerate(arrivals):
        node.offer(at, number, work)
    while (due := node.next_ns()) is not None:
        node.advance(due)
    starts = {t.job: t.at for t in node.reported if t.what is NodeEventKind.STARTED}
    ends = {t.job: t.at for t in node.reported if t.what is NodeEventKind.DONE}
    return starts, ends  # type: ignore[return-value]


def mean_wait_s(
    kind: NodeKind, rate: float, work: Callable[[random.Random], float], jobs: int, seed: int
) -> float:
    """The mean wait for a start, of Poisson arrivals."""
    draws, at, arrivals = random.Random(seed), 0, []
    for _ in range(jobs):
        at += round(draws.expovariate(rate) * S)
        arrivals.append((at, work(draws)))
    starts, ends = played(NodeModel(kind, 0), arrivals)
    assert len(starts) == len(ends) == jobs
    return statistics.fmean(starts[n] - arrivals[n][0] for n in range(jobs)) / S


class Theory(unittest.TestCase):
    def check_m_m_c(self, cores: int, load: float) -> None:
        rate, mean = cores * load / 0.2, 0.2
        offered = cores * load
        top = offered**cores / factorial(cores) / (1 - load)
        erlang_c = top / (sum(offered**n / factorial(n) for n in range(cores)) + top)
        wanted = erlang_c * mean / (cores * (1 - load))
        kind = NodeKind(cores, 1.0, cores, 10**9, refresh_ns=0)
        got = mean_wait_s(kind, rate, lambda d: d.expovariate(1 / 0.2), 200_000, cores)
        self.assertAlmostEqual(got / wanted, 1.0, delta=0.05, msg=f"M/M/{cores}")

    def test_mean_wait_of_m_m_1(self) -> None:
        self.check_m_m_c(1, 0.6)

    def test_mean_wait_of_m_m_2(self) -> None:
        self.check_m_m_c(2, 0.7)

    def test_mean_wait_of_m_m_4(self) -> None:
        self.check_m_m_c(4, 0.75)

    def test_mean_wait_of_m_d_1(self) -> None:
        wanted = 0.7 * 0.1 / (2 * (1 - 0.7))
        got = mean_wait_s(NodeKind(1, 2.0, 1, 10**9, refresh_ns=0), 7.0, lambda d: 0.2, 60_000, 5)
        self.assertAlmostEqual(got / wanted, 1.0, delta=0.05)

    def test_processor_sharing_above_the_cores(self) -> None:
        """Four jobs on two cores take twice as long; two that are left go on at full speed."""
        node = NodeModel(NodeKind(2, 1.0, 4, refresh_ns=0), 0)
        _, ends = played(node, [(0, 1.0), (0, 1.0), (0, 2.0), (0, 2.0)])
        self.assertEqual([round(ends[n] / S, 6) for n in range(4)], [2.0, 2.0, 3.0, 3.0])


class Time(unittest.TestCase):
    def test_the_ramp_of_a_cold_node(self) -> None:
        kind = NodeKind(1, 1.0, 1, refresh_ns=0)
        node = NodeModel(kind, 0, cold=True)
        self.assertEqual([round(node.warmth(t * S), 2) for t in (0, 12, 24, 30)], [0.12, 0.56, 1.0, 1.0])
        complete = 0.56 * 24  # of the work that the ramp is worth
        _, ends = played(node, [(0, 0.12)])
        self.assertAlmostEqual(ends[0] / S, 0.875, delta=0.02)
        node = NodeModel(NodeKind(1, 1.0, 1, refresh_ns=0, fall_multiple=1e9), 0, cold=True)
        _, ends = played(node, [(0, complete), (0, 1.0)])
        self.assertEqual([round(e / S, 6) for e in ends.values()], [24.0, 25.0])

    def test_a_stall_adds_its_own_length_and_a_slowdown_its_factor(self) -> None:
        node = NodeModel(NodeKind(1, 1.0, 1, refresh_ns=0), 0)
        node.offer(0, 0, 1.0)
        node.stall(200 * MS, 120 * MS)
        node.slow(500 * MS, 4.0)  # 0.38 s are done by then
        self.assertAlmostEqual((node.next_ns() or 0) / S, 0.5 + 0.62 * 4, places=6)
        node.slow(1500 * MS, 1.0)  # and 0.25 s more
        self.assertAlmostEqual((node.next_ns() or 0) / S, 1.5 + 0.37, places=6)

    def test_reports_are_late_and_old(self) -> None:
        node = NodeModel(NodeKind(1, 1.0, 2, refresh_ns=S, report_late_ns=500 * MS), 0)
        node.offer(100 * MS, 0, 10.0)
        node.offer(100 * MS, 1, 10.0)
        node.offer(100 * MS, 2, 10.0)
        self.assertEqual(node.load(1400 * MS).free, 2.0)  # the report of the first second is not told yet
        report = node.load(1500 * MS)
        self.assertEqual((report.at, report.queue, report.free), (S, 1, 0.0))
        self.assertAlmostEqual(report.util, 0.9)


class Troubles(unittest.TestCase):
    def test_a_cold_node_that_is_pushed_falls_over_and_stays_down(self) -> None:
        node = NodeModel(NodeKind(2, 1.0, 2), 0, cold=True)  # it can do 0.24 a second at first
        self.assertTrue(all(node.offer(n * 100 * MS, n, 0.11) for n in range(5)))
        self.assertFalse(node.fell)
        node.offer(550 * MS, "last", 0.2)
        self.assertTrue(node.fell and node.down)
        self.assertIn(NodeEventKind.LOST, {t.what for t in node.reported})
        self.assertFalse(node.offer(30 * S, "later", 0.1))
        node.restart(31 * S)
        self.assertTrue(node.offer(31 * S, "again", 0.1))

    def test_drain_hands_back_what_waits_and_finishes_what_runs(self) -> None:
        node = NodeModel(NodeKind(1, 1.0, 1), 0)
        for n in range(3):
            node.offer(0, n, 1.0)
        node.drain(500 * MS)
        self.assertFalse(node.offer(600 * MS, "new", 1.0))
        node.advance(2 * S)
        seen = [(t.what.value, t.job) for t in node.reported]
        self.assertEqual(seen, [("started", 0), ("returned", 1), ("returned", 2), ("done", 0)])

    def test_the_first_in_line_waits_until_it_fits(self) -> None:
        node = NodeModel(NodeKind(4, 1.0, 2), 0)
        node.offer(0, "a", 1.0, 1.0)
        node.offer(0, "wide", 1.0, 2.0)
        node.offer(0, "b", 1.0, 1.0)
        node.advance(5 * S)
        starts = [(t.job, t.at) for t in node.reported if t.what is NodeEventKind.STARTED]
        self.assertEqual(starts, [("a", 0), ("wide", S), ("b", 2 * S)])

    def test_work_stops_when_it_is_withdrawn(self) -> None:
        node = NodeModel(NodeKind(1, 1.0, 1), 0)
        node.offer(0, "a", 10.0)
        node.offer(0, "b", 1.0)
        self.assertTrue(node.withdraw(S, "a"))
        node.advance(2 * S)
        self.assertEqual(node.reported[-1].job, "b")
        self.assertFalse(node.withdraw(2 * S, "b"))

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.sampled_from("oooowsldkr"), st.integers(1, 900)), max_size=40))
    def test_any_order_of_faults_keeps_the_books(self, steps: list[tuple[str, int]]) -> None:
        node, now, sent = NodeModel(NodeKind(2, 0.7, 3, queue=4, refresh_ns=300 * MS), 0, cold=True), 0, 0
        taken: set[int] = set()
        withdrawn: set[int] = set()
        for what, amount in steps:
            now += amount * MS
            if what == "o":
                sent += 1
                if node.offer(now, sent, amount / 3000):
                    taken.add(sent)
            elif what == "w" and node.withdraw(now, sent):
                withdrawn.add(sent)
            elif what == "s":
                node.stall(now, 120 * MS)
            elif what == "l":
                node.slow(now, 1 + amount / 100)
            elif what == "d":
                node.drain(now)
            elif what == "k":
                node.kill(now)
            elif what == "r":
                node.restart(now)
            self.assertLessEqual(node.running, 3)
            self.assertLessEqual(node.waiting, 4)
            self.assertTrue(0 <= node.load(now).free <= 3)
        for _ in range(1000):
            if (due := node.next_ns()) is None:
                break
            node.advance(due)
        ends = [t.job for t in node.reported if t.what is not NodeEventKind.STARTED]
        self.assertEqual(len(ends), len(set(ends)))
        self.assertEqual(set(ends) | withdrawn, taken)
        self.assertEqual([t.at for t in node.reported], sorted(t.at for t in node.reported))
