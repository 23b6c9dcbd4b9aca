"""Rehearsals in virtual time: the same from the same seed, rules checked, and healthy nodes left in peace."""

from __future__ import annotations

import time
import unittest

from benchmarks.false_suspicion import USUAL, burst, quick, settings_for, usual
from hollowusher.balancing import State
from hollowusher.scheduler.emulator.heap import Heap
from hollowusher.scheduler.emulator.model import NodeKind
from hollowusher.scheduler.emulator.traffic import JobClassDemand, Spell, draw
from hollowusher.scheduler.emulator.virtual import Rehearsal, Report, VirtualNode
from tests.support.balancer import MS, S


def fleet(nodes: int, schedulers: int, rate: float, span_s: float, seed: int) -> Rehearsal:
    """The usual mix on nodes of the usual kinds."""
    kinds = [NodeKind(2, (1.3, 0.95, 0.7, 0.7)[n % 4], 2.0, 20, refresh_ns=1100 * MS) for n in range(nodes)]
    run = Rehearsal(settings_for(schedulers), kinds, schedulers, seed)
    run.ask_for(draw(USUAL, [Spell(0.0, rate)], span_s, seed))
    return run


class Traffic(unittest.TestCase):
    def test_draws_are_the_seeds_own_and_one_class_does_not_shift_another(self) -> None:
        first = draw(USUAL, [Spell(0, 50)], 20.0, 7)
        self.assertEqual(first, draw(USUAL, [Spell(0, 50)], 20.0, 7))
        self.assertNotEqual([w.at for w in first], [w.at for w in draw(USUAL, [Spell(0, 50)], 20.0, 8)])
        leaving = [JobClassDemand(d.name, d.share, d.mean_work_s, d.budget_s, leaves=0.5) for d in USUAL]
        other = draw(leaving, [Spell(0, 50)], 20.0, 7)
        self.assertEqual([(w.at, w.work_s) for w in first], [(w.at, w.work_s) for w in other])

    def test_rates_shares_and_means_are_those_asked_for(self) -> None:
        jobs = draw(USUAL, [Spell(0, 100), Spell(50, 300)], 100.0, 1)
        self.assertAlmostEqual(sum(w.at < 50 * S for w in jobs) / 5000, 1.0, delta=0.05)
        self.assertAlmostEqual(sum(w.at >= 50 * S for w in jobs) / 15000, 1.0, delta=0.05)
        quotes = [w.work_s for w in jobs if w.demand.name == "eta-quote"]
        self.assertAlmostEqual(len(quotes) / len(jobs), 0.57, delta=0.02)
        self.assertAlmostEqual(sum(quotes) / len(quotes), 0.4, delta=0.02)


class Virtual(unittest.TestCase):
    def test_of_two_things_at_one_instant_the_first_put_in_comes_first(self) -> None:
        heap, seen = Heap(), list[str]()
        for name in "abc":
            heap.at(5, lambda name=name: seen.append(name))  # type: ignore[misc]
        heap.at(4, lambda: heap.at(1, lambda: seen.append("past")))  # what is due comes at once, never before
        heap.run(10)
        self.assertEqual(seen, ["past", "a", "b", "c"])

    def test_the_same_seed_gives_the_same_run_and_another_another(self) -> None:
        runs = [fleet(6, 2, 12, 15, seed).run(15) for seed in (1, 1, 2)]
        self.assertEqual(repr(runs[0]), repr(runs[1]))
        self.assertNotEqual(repr(runs[0]), repr(runs[2]))

    def test_twelve_nodes_and_two_schedulers_run_far_faster_than_the_clock(self) -> None:
        run, begun = fleet(12, 2, 20, 60, 1), time.process_time()
        report = run.run(60)
        self.assertLess(time.process_time() - begun, 85 / 20)  # twenty times, with its grace
        self.clean(report)
        self.assertGreater(report.share, 0.98)

    def test_rules_hold_through_drains_deaths_stalls_and_a_cold_node(self) -> None:
        run = fleet(8, 2, 12, 40, 3)

        def drain(node: VirtualNode) -> None:
            node.model.drain(run.heap.now)
            run.list_says(node.number, State.DRAINING)

        def kill(node: VirtualNode) -> None:
            node.model.kill(run.heap.now)
            run.list_says(node.number, State.GONE)

        def back(node: VirtualNode) -> None:
            node.model.restart(run.heap.now)
            node.started_ns = run.heap.now
            run.list_says(node.number, State.READY)

        run.befall(5, [1], drain)
        run.befall(8, [2, 3], kill)
        run.befall(20, [1, 2], back)
        for at in range(10, 30, 2):
            run.befall(at, [4, 5], lambda node: node.model.stall(run.heap.now, 120 * MS))
        run.befall(15, [6], lambda node: setattr(node, "silent", True))
        run.befall(22, [6], lambda node: setattr(node, "silent", False))
        report = run.run(40)
        self.clean(report)
        self.assertGreater(report.share, 0.6)
        self.assertGreater(sum(c["in_time"] for c in report.by_class.values()), 300)

    def clean(self, report: Report) -> None:
        """No rule was broken."""
        broken = (report.second_runs, report.late_sends, report.fallen, report.unanswered)
        self.assertEqual(broken, (0, 0, 0, 0))


class Suspicion(unittest.TestCase):
    def test_a_burst_on_healthy_nodes_makes_none_of_them_suspect(self) -> None:
        seen = [burst(seed) for seed in range(12)]
        self.assertEqual(sum(s[1] for s in seen), 0)
        self.assertEqual(sum(s[2] for s in seen), 0)

    def test_a_crawling_node_is_still_found(self) -> None:
        found = sorted(f for seed in range(8) for f in quick(seed, True).found_s)
        self.assertLess(found[len(found) // 2], 4.0)

    def test_a_slower_node_costs_service_and_a_healthy_fleet_keeps_it(self) -> None:
        healthy, slowed = usual(1, False), usual(1, True)
        self.assertGreater(healthy.share, slowed.share)
