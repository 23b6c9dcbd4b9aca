"""Behaviour that is harmless in one balancer and harmful in forty or more, tested without real processes."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import replace

import pytest

from hollowusher.balancing.balancer import COLD_MARGIN, QueuedRequest, SendRules, WorkerState
from hollowusher.balancing.interface import (
    Arrival,
    Cancel,
    Discovery,
    Group,
    JobClass,
    Listed,
    ListKind,
    Outcome,
    Probe,
    Rules,
    Send,
    Wake,
    Watch,
)
from tests.support.balancer import KEYED, LIMITS, MS, SAFE, SITE, UNSAFE, Node, S, only, sends, workers


class ListService:
    """The list service of all balancers, which serves one call at a time.

    A call that its balancer gave up or that waited for 3 s still costs the service its full time. During an
    outage the service refuses calls, or calls hang until their timeout.
    """

    def __init__(self, cost: int, outage: tuple[int, int] = (0, 0), hangs: bool = False) -> None:
        self.cost, self.outage, self.hangs, self.free_at = cost, outage, hangs, 0

    def call(self, now: int, timeout: int) -> tuple[int, ListKind]:
        """Return when a call ends and the resulting kind of list event."""
        begin, end = self.outage
        if begin <= now < end:
            # A hanging call may reach the service when it returns; the caller cannot detect this.
            return (now + timeout, ListKind.SILENT) if self.hangs else (now, ListKind.FAILED)
        self.free_at = max(now, self.free_at) + self.cost
        late = min(timeout, 3 * S)
        if self.free_at - now > late:
            return now + late, ListKind.SILENT
        return self.free_at, ListKind.CHANGES


def reported_after(
    balancers: int,
    span: int,
    service: ListService,
    broken: ListKind | None = None,
    grace: int = 250 * MS,
) -> list[int]:
    """Return how long after the outage (or after the start) each balancer receives its list, sorted, in ns.

    With `broken`, the balancers have watches, which all end with this kind of event when the outage begins.
    """
    rules = Rules(ask_within_ns=10 * S, drain_grace_ns=grace)
    settings = replace(SITE, balancers=balancers, discovery=Discovery.ASK, rules=rules)
    nodes = [Node(replace(settings, me=i), workers=workers(1), seed=100 + i) for i in range(balancers)]
    timeout, start, reported = settings.list_calls.timeout_ns, nodes[0].now, dict[int, int]()
    service.outage = (start + service.outage[0], start + service.outage[1])
    due: list[tuple[int, int, ListKind | None]] = [(start, i, None) for i in range(balancers)]
    if broken is not None:
        for node in nodes:
            node.listing(ListKind.CHANGES)
        due += [(service.outage[0], i, broken) for i in range(balancers)]
    while due and due[0][0] <= start + span:
        now, i, kind = heapq.heappop(due)
        node, seen = nodes[i], 0 if now == start else len(nodes[i].log)
        node.now = max(node.now, now)
        node.listing(kind) if kind else node.step()
        if kind is ListKind.CHANGES and now >= service.outage[1]:
            reported.setdefault(i, now - service.outage[1])
        for _, action in node.log[seen:]:
            if isinstance(action, Watch):
                end, how = service.call(now, timeout)
                heapq.heappush(due, (end, i, how))
            elif isinstance(action, Wake):
                heapq.heappush(due, (now + action.in_ns, i, None))
    return sorted(reported.values())


@pytest.mark.parametrize(
    ("balancers", "cost", "within"),
    [
        (2, 150, S),
        (8, 150, 3 * S),
        (40, 150, 15 * S),
        (200, 11, 6 * S),
    ],
)
def test_balancers_that_start_together_get_list(balancers: int, cost: int, within: int) -> None:
    # Forty balancers that call at once, and again within two seconds, keep the service busy with calls that
    # have already failed. When the first calls of 200 balancers were spread over 39 s, balancers stopped
    # sending, because they may send nothing without a list from 10 s on.
    reported = reported_after(balancers, 20 * S, ListService(cost * MS))
    assert len(reported) == balancers and reported[-1] < within


@pytest.mark.parametrize("hangs", [False, True])
@pytest.mark.parametrize("grace", [250 * MS, 500 * MS, 1500 * MS])
@pytest.mark.parametrize("balancers", [2, 3, 8, 20, 40, 100, 200])
def test_all_balancers_get_list_in_time_after_outage(balancers: int, grace: int, hangs: bool) -> None:
    # A change published during the outage counts as reported 6 s after its end. In half of that time the
    # service can answer the calls of all balancers (14 ms per call with 200 balancers). The other half is
    # left for calls that arrive together.
    cost = min(150 * MS, (6 * S - grace) // 2 // balancers)
    for seconds in (0, 1, 4, 9):
        service = ListService(cost, (S, (1 + seconds) * S), hangs)
        reported = reported_after(
            balancers, 20 * S, service, ListKind.SILENT if hangs else ListKind.FAILED, grace
        )
        assert len(reported) == balancers and reported[-1] <= 6 * S - grace


def test_balancer_without_workers_requests_list() -> None:
    node = Node(replace(SITE, discovery=Discovery.ASK))
    node.arrive("r1", "safe")
    node.run(S)
    assert Watch() in [a for _, a in node.log]


def polling_balancer() -> Node:
    rules = Rules(ask_within_ns=10 * S)
    settings = replace(SITE, balancers=40, discovery=Discovery.ASK, rules=rules)
    return Node(settings, workers=workers(1), free={1: 4.0}, seed=7)


def test_list_request_counts_only_when_answered() -> None:
    # A balancer requested the list at 20.332 s, sent in the same step to a worker that was listed as gone at
    # 9.89 s, and received the list at 20.343 s.
    node = polling_balancer()
    node.run(10 * S)
    node.arrive("r1", "safe")
    assert sends(node.run(S)) == []
    node.listing(ListKind.CHANGES)
    node.arrive("r2", "safe")
    assert "r2" in [s.request for s in sends(node.run(S))]


@pytest.mark.parametrize(
    ("kind", "heard", "sent"),
    [
        (ListKind.SILENT, 3500 * MS, 0),
        (ListKind.SILENT, S, 1),
        (ListKind.FAILED, 3500 * MS, 1),
    ],
)
def test_changes_missed_by_silent_watch_count_as_reported(kind: ListKind, heard: int, sent: int) -> None:
    # A silent watch is detected late. Changes since its last message count as reported after 6 s, whether
    # they arrived or not.
    node = polling_balancer()
    node.listing(ListKind.CHANGES)
    node.run(heard)
    node.listing(kind)
    node.run(2500 * MS)
    node.arrive("r1", "safe")
    assert len(sends(node.run(500 * MS))) == sent


def test_broken_watch_is_soon_requested_again() -> None:
    settings = replace(SITE, balancers=40, discovery=Discovery.ASK, rules=Rules(ask_within_ns=10 * S))
    for seed in range(20):
        node = Node(settings, workers=workers(1), free={1: 4.0}, seed=seed)
        node.run(8 * S)
        node.listing(ListKind.CHANGES)
        node.run(12 * S)
        node.listing(ListKind.FAILED)
        node.arrive("r1", "safe")
        then = node.run(1600 * MS)
        assert Watch() in then and len(sends(then)) == 1  # the last list remains valid for a few seconds


@pytest.mark.parametrize("balancers", [2, 8, 40, 200])
def test_list_call_backoff_grows_to_limit_with_jitter(balancers: int) -> None:
    settings = replace(SITE, balancers=balancers, discovery=Discovery.ASK)
    calls = settings.list_calls
    assert calls.timeout_ns + calls.longest_wait_ns <= 0.7 * (6 * S - settings.rules.drain_grace_ns)
    rounds: list[list[int]] = [[] for _ in range(8)]
    for seed in range(30):
        node = Node(settings, seed=seed)
        node.run(8 * S)
        node.balancer.send_rules.watching = False
        for waits in rounds:
            node.listing(ListKind.FAILED)
            waits.append(node.balancer.watch_at - node.now)
            node.run(waits[-1])
    means = [sum(waits) / 30 for waits in rounds]
    assert means[0] < 0.2 * S or balancers > 4
    assert all(max(waits) <= calls.longest_wait_ns for waits in rounds)
    # Otherwise all balancers would retry at once.
    assert all(max(waits) > 1.5 * min(waits) for waits in rounds)
    assert means[-1] > 0.65 * calls.longest_wait_ns


@pytest.mark.parametrize(
    ("kind", "every", "sent"),
    [
        # The service was repeatedly unreachable, so it cannot have published changes.
        (ListKind.FAILED, S, True),
        (ListKind.FAILED, 20 * S, False),  # the service may have been back for long
        (ListKind.SILENT, S, False),  # the service is reachable and may have published changes
    ],
)
def test_list_validity_after_unanswered_calls(kind: ListKind, every: int, sent: bool) -> None:
    node = polling_balancer()
    for _ in range(20 * S // every):
        node.balancer.watch_at = node.now + 10**15  # suppresses the balancer's own calls; the test makes them
        node.balancer.send_rules.list_requested_at = node.now
        node.listing(kind)
        node.run(every)
    node.arrive("r1", "safe")
    assert bool(sends(node.run(S))) is sent


@pytest.mark.parametrize(
    ("cls", "balancers", "begins", "copied"),
    [
        (SAFE, 40, False, True),
        (replace(KEYED, group=Group.CELL), 40, False, True),
        (UNSAFE, 40, False, False),
        (SAFE, 40, True, False),
        (SAFE, 2, False, False),
    ],
)
def test_unstarted_job_is_copied_and_first_copy_to_start_wins(
    cls: JobClass, balancers: int, begins: bool, copied: bool
) -> None:
    cells = {1: 1, 2: 1, 3: 2, 4: 2}
    node = Node(
        only(cls, balancers=balancers),
        free=dict.fromkeys(cells, 2.0),
        workers=[Listed(w, zone="a", kind="k", cell=cell) for w, cell in cells.items()],
    )
    node.arrive("r1", cls.name)
    node.run(5 * MS)
    first = sends([a for _, a in node.log])[0]
    if begins:
        node.started(first)
    again = sends(node.run(60 * MS))
    assert bool(again) is copied
    if copied:
        assert first.worker not in {a.worker for a in again}
        assert cls is SAFE or {cells[a.worker] for a in again} == {cells[first.worker]}
        assert Cancel("r1", 0) in node.started(again[0], 1)
        assert not sends(node.run(60 * MS))


MEAN = 400 * MS  # mean work of a job
COLD = Rules(fall_multiple=2.5, fall_span_ns=S, cold_share=0.12, warm_after_ns=24 * S, ask_within_ns=10 * S)


@pytest.mark.parametrize("balancers", [2, 8, 40, 200])
def test_all_balancers_together_keep_and_use_cold_budget(balancers: int) -> None:
    # Each balancer learns different costs, because running times vary. When turns depended on costs, the
    # turns of several balancers coincided.
    rng, entry = random.Random(balancers), workers(1, started_ns=S)[0]
    views = [
        WorkerState(entry, replace(SITE, balancers=balancers, me=me, rules=COLD), 12_500_000, S)
        for me in range(balancers)
    ]
    units = [round(400 * MS * rng.uniform(0.7, 1.4)) for _ in views]
    sent, slots, most = list[tuple[int, int]](), 2.0, 0.0
    for now in range(3 * S, 25 * S, 25 * MS):  # turns that passed without a job give no credit
        for view, unit in zip(views, units, strict=True):
            cost = round(rng.choice((0.5, 1.0, 1.0, 4.0)) * unit)
            if view.fits_cold_budget(now, cost, unit, slots):
                view.recent_sends.append((now, cost))
                sent.append((now, cost))
        level = views[0].warmup_level(now)
        most = max(most, sum(c for t, c in sent if t > now - S) / (2.5 * level * slots * S))
    assert most < 1.2  # the variation of the learned costs allows about a tenth above 1
    assert sum(c for _, c in sent) > 0.8 * slots * sum(views[0].warmup_level(i * S) for i in range(3, 25)) * S


@pytest.mark.parametrize(("balancers", "rate"), [(40, 1.2), (200, 1.2), (200, 0.3)])
def test_unused_turns_are_compensated_within_budget(balancers: int, rate: float) -> None:
    # With many balancers, each has a job in only a small part of its turns, and it can only measure its own
    # part.
    rng, entry = random.Random(balancers), workers(1, started_ns=S)[0]
    views = [
        WorkerState(entry, replace(SITE, balancers=balancers, me=me, rules=COLD), 12_500_000, S)
        for me in range(balancers)
    ]
    rates = [rate * rng.choice((0.5, 0.5, 1.0, 2.0)) for _ in views]
    used = dict.fromkeys((False, True), 0)
    unit, slots, most = 400 * MS, 2.0, 0.0
    for uses_hit_rate in used:
        sent = list[int]()
        for view in views:
            view.recent_sends.clear()
        for now in range(3 * S, 23 * S, 50 * MS):
            for view, own in zip(views, rates, strict=True):
                use = 1 - math.exp(-own / 2) if uses_hit_rate else 1.0
                if rng.random() < own / 20 and view.fits_cold_budget(now, unit, unit, slots, use):
                    view.recent_sends.append((now, unit))
                    sent.append(now)
            # The limit of the rule, plus a tolerance for random variation.
            n = 2.5 * views[0].warmup_level(now) * slots * S / unit
            most = max(most, sum(t > now - S for t in sent) / (n + 3 * math.sqrt(n) + 3))
        used[uses_hit_rate] = len(sent)
    assert most < 1.0
    max_jobs = sum(COLD_MARGIN * 2.5 * views[0].warmup_level(i * S) * slots * S / unit for i in range(3, 23))
    assert used[True] > 1.4 * used[False]
    assert used[True] < max_jobs  # on average the balancers keep their own margin


def test_turn_hit_rate_follows_arrival_rate() -> None:
    node = Node(only(SAFE, balancers=200, rules=COLD), workers(1))
    hit_rates = []
    for count in range(60):
        node.arrive(f"r{count}", "safe")
        node.run(S if count < 30 else S // 10)
        hit_rates.append(node.balancer.send_rules.turn_hit_rate)
    assert abs(hit_rates[29] - (1 - math.exp(-0.5))) < 0.05  # one job per second, half a span
    assert hit_rates[-1] > hit_rates[29] + 0.1


def test_job_larger_than_cold_budget_is_not_sent() -> None:
    settings, entry = replace(SITE, balancers=200, rules=COLD), workers(1, started_ns=S)[0]
    views = [WorkerState(entry, replace(settings, me=me), 12_500_000, S) for me in range(200)]
    allowed = [
        now
        for now in range(S, 24 * S, 100 * MS)
        if any(view.fits_cold_budget(now, 1_650 * MS, 750 * MS, 2.0) for view in views)
    ]
    assert 12 * S < min(allowed) < 16 * S


def test_new_job_goes_first_to_cold_worker_on_own_turn() -> None:
    # When every job went to the worker whose timer fired next, usually a warm one, most turns at the cold
    # worker (half a span each) passed unused.
    known = [*workers(*range(1, 9)), *workers(*range(9, 29), started_ns=990 * S)]
    took = 0
    for me in range(200):
        settings = replace(SITE, balancers=200, me=me, rules=COLD)
        node = Node(settings, known, free=dict.fromkeys(range(1, 29), 2.0), seed=me)
        node.run(S)
        ours = {
            w.id
            for w in node.balancer.workers.values()
            if w.id > 8 and w.fits_cold_budget(node.now, 400 * MS, 400 * MS, 1.0)
        }
        # Without a probe, because all balancers together send this worker little.
        then = node.arrive("r1", "safe")
        took += bool(ours)
        assert not ours or ([s.worker in ours for s in sends(then)], Probe(9) in then) == ([True], False)
    assert took >= 5


def test_cold_worker_is_not_suspected_for_slowness() -> None:
    rules = Rules(fall_multiple=2.5, fall_span_ns=S, cold_share=0.2, warm_after_ns=20 * S)
    node = Node(only(SAFE, rules=rules), free={1: 2.0})
    node.balancer.mean_runtimes["safe"] = 100.0 * MS
    node.listing(ListKind.FULL, *workers(1, started_ns=node.now - 5 * S))
    worker = node.balancer.workers[1]
    assert worker.warmup_level(node.now) == pytest.approx(0.4)
    request = QueuedRequest(Arrival("r1", "safe", 5 * S), SAFE, LIMITS, node.now, 1, 0)
    node.balancer.send(node.now, worker, request, 100.0 * MS)
    worker.record_runtime(250.0 * MS, request.attempts[0].expected)
    assert worker.slowdown(node.now) == pytest.approx(1.0, abs=0.01)
    assert worker.warmup_level(node.now + 15 * S) == 1.0
    node.started(Send("r1", 1, 0))
    node.run(250 * MS)
    node.ended(Send("r1", 1, 0), Outcome.OK)
    assert node.balancer.mean_runtimes["safe"] == pytest.approx(100 * MS, rel=0.01)
    # A job that would end late at the cold worker waits for a warm one. It may take its aim of 200 ms plus
    # twice its running time of 2 s.
    node.balancer.mean_runtimes["safe"] = 2.0 * S
    node.arrive("r2", "safe")
    assert not sends(node.run(200 * MS))
    warm = node.listing(ListKind.CHANGES, *workers(2)) + node.run(200 * MS)
    assert [a.worker for a in sends(warm)] == [2]


def test_unplaceable_job_causes_few_wakeups_in_large_fleet() -> None:
    # Sixty timers fire every t_d. A wake-up for each of them used a whole CPU core without any send.
    settings = only(replace(SAFE, kind="k", late_share=0.2))
    node = Node(settings, workers=workers(*range(1, 61), kind="other"))
    node.arrive("r1", "safe", left=60 * S)
    node.run(2 * S)
    before = len(node.log)
    node.run(S)
    wakes = sum(isinstance(a, Wake) for _, a in node.log[before:])
    assert wakes <= 1.2 * S / node.balancer.t_d
    # No worker is skipped as a result: the one that can take the job has its turn within a few rounds.
    for late in range(1, 61, 4):
        node_with_match = Node(settings, workers=workers(*range(1, 61), kind="other"))
        node_with_match.arrive("r1", "safe", left=60 * S)
        node_with_match.run(2 * S)
        then = node_with_match.listing(ListKind.CHANGES, *workers(late)) + node_with_match.run(
            6 * node_with_match.balancer.t_d
        )
        assert [a.worker for a in sends(then)] == [late]


class ColdFleet:
    """Balancers that each see a different part of the traffic and learn of a cold worker at different times.

    Some of them restart while the worker warms up and lose the record of their sends.
    """

    def __init__(self, balancers: int, seed: int, heavy: bool) -> None:
        self.rng, self.balancers, self.heavy = random.Random(seed), balancers, heavy
        self.entry = workers(1, started_ns=S)[0]
        self.processes = [self.new_process(me, 0) for me in range(balancers)]
        self.informed_at = [S + round(self.rng.uniform(0.0, 6.0) * S) for _ in self.processes]
        self.sent = list[tuple[int, float]]()

    def new_process(self, me: int, began: int) -> tuple[SendRules, WorkerState, int]:
        """Return the send rules, worker state and mean job cost of a new process; the cost varies."""
        settings = replace(SITE, balancers=self.balancers, me=me, rules=COLD)
        unit = round(MEAN * self.rng.uniform(0.7, 1.4))
        return SendRules(settings, began), WorkerState(self.entry, settings, 12_500_000, began), unit

    def play(self, rate: float, killed: float, burst: float) -> None:
        """Simulate 24 s with `rate` jobs per second and balancer, distributed unevenly.

        `killed` is the percentage of balancers that restart each second. From 12 s to 14 s there are `burst`
        times as many jobs, which no balancer has learned to expect.
        """
        rng, step, number = self.rng, 40 * MS, 0
        rates = [rate * rng.choice((0.3, 0.6, 1.0, 2.1)) for _ in self.processes]
        for now in range(S, 25 * S, step):
            for me in range(self.balancers):
                if rng.random() < killed / 100 * step / S:
                    self.processes[me] = self.new_process(me, now + 300 * MS)
                rules, view, unit = self.processes[me]
                more = burst if 12 * S <= now < 14 * S else 1.0
                if (
                    now < max(rules.started_at, self.informed_at[me])
                    or rng.random() > more * rates[me] * step / S
                ):
                    continue
                number += 1
                work = rng.choice((0.5, 1.0, 1.0, 4.0)) / 1.625 if self.heavy else 1.0
                request = QueuedRequest(Arrival(f"r{number}", "safe", 5 * S), SAFE, LIMITS, now, number, 0)
                rules.watching, rules.turn_hit_rate = True, 1 - math.exp(-rates[me] / 2)
                if rules.allows(request, view, now, (work * unit, unit, 2.0)):
                    view.recent_sends.append((now, work * unit))
                    self.sent.append((now, work))

    def budget(self, now: int) -> float:
        """Return N, the number of mean jobs that the worker can take in the span that begins now."""
        return 2.5 * self.processes[0][1].warmup_level(now) * 2.0 * S / MEAN

    def most(self) -> float:
        """Return the largest number of jobs or work in any span, relative to N + 2·sqrt(N) + 2."""
        most = 0.0
        for first, (begin, _) in enumerate(self.sent):
            n = self.budget(begin)
            calls = [work for t, work in self.sent[first : first + 400] if t < begin + S]
            most = max(most, max(len(calls), sum(calls)) / (n + 2 * math.sqrt(n) + 2))
        return most

    def used(self) -> float:
        """Return the used share of N after all balancers have learned of the worker."""
        spans = range(8, 24)
        return sum(8 * S <= t < 24 * S for t, _ in self.sent) / sum(self.budget(i * S) for i in spans)


@pytest.mark.parametrize(
    ("rate", "killed", "heavy", "burst", "least"),
    [
        (50.0, 0.0, False, 1.0, 0.33),
        (50.0, 10.0, True, 1.0, 0.33),
        (1.5, 10.0, False, 1.0, 0.15),
        (0.3, 0.0, False, 30.0, 0.0),
    ],
)
@pytest.mark.parametrize("balancers", [2, 8, 20, 30, 40, 200])
def test_total_sends_to_cold_worker_are_bounded(
    balancers: int, rate: float, killed: float, heavy: bool, burst: float, least: float
) -> None:
    fleet = ColdFleet(balancers, balancers, heavy)
    fleet.play(rate, killed, burst)
    assert fleet.most() <= 1.0
    assert fleet.used() >= least  # a balancer that never used the budget would keep any bound


@pytest.mark.parametrize(("began", "sent"), [(2 * S, False), (1500 * MS, True), (S - 1, True)])
def test_new_process_avoids_cold_worker_that_old_process_may_have_used(began: int, sent: bool) -> None:
    # A new process has no record of what its predecessor sent within the last span. A worker that started
    # after the new process received nothing from the predecessor.
    settings, now = replace(SITE, rules=COLD), 2600 * MS
    entry = workers(1, started_ns=S)[0]
    rules, view = SendRules(settings, began), WorkerState(entry, settings, 12_500_000, began)
    rules.watching = True
    request = QueuedRequest(Arrival("r1", "safe", 5 * S), SAFE, LIMITS, now, 1, 0)
    assert rules.allows(request, view, now, (100 * MS, 100 * MS, 8.0)) is sent
