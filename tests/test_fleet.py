"""What is harmless from one scheduler and harmful from forty, without a bench."""

from __future__ import annotations

import heapq
from dataclasses import replace

import pytest

from hazelweir.balance import Request
from hazelweir.interface import (
    Arrival, Cancel, Discovery, Group, JobClass, ListKind, Rules, Send, Wake, Watch,
)
from tests.support import KEYED, MS, SAFE, SITE, UNSAFE, Node, S, only, sends, workers


class ListService:
    """One service for all: calls wait in turn, fail after too long, and cost it as much."""

    def __init__(self, call_ns: int = 150 * MS, patience_ns: int = 2 * S) -> None:
        self.call_ns, self.patience_ns, self.free_at = call_ns, patience_ns, 0

    def call(self, now: int) -> tuple[int, bool]:
        """When the call ends, and whether it was served."""
        begin = max(now, self.free_at)
        if begin - now > 2 * self.patience_ns:
            return now, False  # the queue is full
        self.free_at = begin + self.call_ns
        waited = begin - now > self.patience_ns
        return (now + self.patience_ns, False) if waited else (self.free_at, True)


def told_after(balancers: int, span: int) -> list[int]:
    """When each of so many schedulers that start at once has its watch; without those that never have."""
    settings = replace(SITE, balancers=balancers, discovery=Discovery.ASK, rules=Rules(ask_within_ns=10 * S))
    nodes = [Node(replace(settings, me=i), workers=workers(1), seed=100 + i) for i in range(balancers)]
    start, service, told = nodes[0].now, ListService(), dict[int, int]()
    due = [(start, i, "step") for i in range(balancers)]
    seen = [0] * balancers
    while due and due[0][0] <= start + span:
        now, i, what = heapq.heappop(due)
        node = nodes[i]
        node.now = max(node.now, now)
        if what == "step":
            node.step()
        else:
            node.listing(ListKind.CHANGES if what == "served" else ListKind.FAILED)
            if what == "served":
                told.setdefault(i, now - start)
        for _, action in node.log[seen[i]:]:
            if isinstance(action, Watch):
                end, served = service.call(now)
                heapq.heappush(due, (end, i, "served" if served else "failed"))
            elif isinstance(action, Wake):
                heapq.heappush(due, (now + action.in_ns, i, "step"))
        seen[i] = len(node.log)
    return sorted(told.values())


def test_forty_that_start_at_once_all_get_the_list() -> None:
    # Asked for at once and again every two seconds, the service only ever works on calls that have failed.
    told = told_after(40, 20 * S)
    assert len(told) == 40 and told[-1] < 15 * S


def test_a_scheduler_that_knows_no_worker_yet_asks_for_the_list() -> None:
    node = Node(replace(SITE, discovery=Discovery.ASK))
    node.arrive("r1", "safe")
    node.run(S)
    assert Watch() in [a for _, a in node.log]


def test_few_that_start_at_once_ask_at_once() -> None:
    assert told_after(3, S)[-1] < 500 * MS


def test_a_watch_that_stood_and_broke_is_soon_asked_for_again() -> None:
    # Its last asking is long ago, so that nothing is sent until then: that must not take 10 s.
    settings = replace(SITE, balancers=40, discovery=Discovery.ASK, rules=Rules(ask_within_ns=10 * S))
    for seed in range(20):
        node = Node(settings, workers=workers(1), free={1: 4.0}, seed=seed)
        node.run(8 * S)
        node.listing(ListKind.CHANGES)
        node.run(60 * S)
        node.listing(ListKind.FAILED)
        assert Watch() in node.run(1600 * MS)


def test_an_asking_that_failed_counts_for_longer_but_not_for_ever() -> None:
    node = Node(replace(SITE, balancers=40, discovery=Discovery.ASK, rules=Rules(ask_within_ns=10 * S)),
                workers=workers(1), free={1: 4.0})
    node.balancer.call_share = 10**15  # so that it does not ask again within the test
    node.listing(ListKind.FAILED)
    node.run(20 * S)
    node.arrive("r1", "safe")
    assert sends(node.run(S))
    node.run(10 * S)
    node.arrive("r2", "safe")
    assert not sends(node.run(S))


def copies(job_class: JobClass, cells: tuple[int, ...] = (0, 0, 0), balancers: int = 40) -> tuple[Node, Send]:
    """A scheduler of many whose one job was sent and has not begun."""
    listed = [replace(workers(i + 1)[0], cell=cell) for i, cell in enumerate(cells)]
    free = {worker.worker: 2.0 for worker in listed}
    node = Node(only(job_class, balancers=balancers), workers=listed, free=free)
    node.arrive("r1", job_class.name)
    first = sends([a for _, a in node.log] + node.run(5 * MS))
    return node, first[0]


def test_a_job_that_has_not_begun_goes_to_another_worker_and_the_first_to_begin_has_it() -> None:
    node, first = copies(SAFE)
    again = sends(node.run(60 * MS))
    assert again and first.worker not in {a.worker for a in again}
    assert {a.attempt for a in node.started(again[0], 1) if isinstance(a, Cancel)} >= {0}
    assert not sends(node.run(60 * MS))  # nor another once it runs


def test_a_job_that_has_begun_goes_nowhere_else() -> None:
    node, first = copies(SAFE)
    node.started(first)
    assert not sends(node.run(200 * MS))


def test_a_copy_of_a_keyed_job_stays_in_its_cell() -> None:
    node, first = copies(replace(KEYED, group=Group.CELL), cells=(1, 1, 2, 2, 2, 2))
    again = sends(node.run(200 * MS))
    cell = {1: 1, 2: 1}
    assert again and {cell.get(a.worker, 2) for a in again} == {cell.get(first.worker, 2)}


def test_a_job_that_must_not_run_twice_has_no_copy() -> None:
    node, _ = copies(UNSAFE)
    assert not sends(node.run(400 * MS))


def test_few_schedulers_send_no_copies() -> None:
    node, _ = copies(SAFE, balancers=2)
    assert not sends(node.run(60 * MS))


def test_a_cold_workers_slowness_is_expected_and_not_held_against_it() -> None:
    rules = Rules(fall_multiple=2.5, fall_span_ns=S, cold_share=0.2, warm_after_ns=20 * S)
    node = Node(only(SAFE, rules=rules), free={1: 2.0})
    node.balancer.runs["safe"] = 100.0 * MS
    node.listing(ListKind.FULL, *workers(1, started_ns=node.now - 5 * S))
    worker = node.balancer.workers[1]
    assert worker.level(node.now) == pytest.approx(0.4)
    request = Request(Arrival("r1", "safe", 5 * S), SAFE, node.now, 1)
    node.balancer.send(node.now, worker, request, 100.0 * MS)
    worker.finished(250.0 * MS, request.attempts[0].expected)
    assert worker.pace(node.now) == pytest.approx(1.0, abs=0.01)
    assert worker.level(node.now + 15 * S) == 1.0


def test_a_job_that_no_worker_takes_wakes_a_scheduler_of_many_workers_seldom() -> None:
    # Sixty timers fall due every t_d; a wake for each of them took a whole share of a core for nothing.
    settings = only(replace(SAFE, kind="k", late_share=0.2))
    node = Node(settings, workers=workers(*range(1, 61), kind="other"))
    node.arrive("r1", "safe", left=60 * S)
    node.run(2 * S)
    before = len(node.log)
    node.run(S)
    wakes = sum(isinstance(a, Wake) for _, a in node.log[before:])
    assert wakes <= 1.2 * S / node.balancer.t_d
    # and no worker is left out for it: the one that can take the job has its turn within a few rounds
    for late in (7, 33, 60):
        able = Node(settings, workers=workers(*range(1, 61), kind="other"))
        able.arrive("r1", "safe", left=60 * S)
        able.run(2 * S)
        then = able.listing(ListKind.CHANGES, *workers(late)) + able.run(6 * able.balancer.t_d)
        assert [a.worker for a in sends(then)] == [late]
