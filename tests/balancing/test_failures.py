"""How one balancer handles each kind of failure, observed through its events, and how it recovers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hollowusher.balancing import (
    Arrival,
    Discovery,
    Effect,
    JobClass,
    ListKind,
    Outcome,
    Prices,
    Probe,
    Probed,
    Reading,
    Refuse,
    Send,
    Wake,
    Watch,
    Woken,
)
from tests.support.balancer import (
    MS,
    SAFE,
    SITE,
    UNSAFE,
    Node,
    S,
    SimulatedWorkers,
    only,
    sends,
    site,
    workers,
)

# --- the balancer itself ----------------------------------------------------------------------------


def test_early_wake_is_followed_by_another() -> None:
    """A clock coarser than 1 ns can wake the balancer early; without a new wake-up it would hang."""
    node = Node(site(tick_ns=2 * MS))
    node.step()
    asked = [a.in_ns for a in node.arrive("r", "safe", left=S) if isinstance(a, Wake)]
    refused: list[int] = []
    while asked and not refused:
        node.now += max(1, min(asked) - 221)
        actions = node.step(Woken())
        asked = [a.in_ns for a in actions if isinstance(a, Wake)]
        refused = [node.now for a in actions if a == Refuse("r")]
    assert refused and refused[0] < 1001 * S


# --- overload ---------------------------------------------------------------------------------------


def test_crowded_queue_is_served_by_worth_and_ordinary_one_by_arrival() -> None:
    """If a crowded queue were served by arrival alone, the class with the longest aim would take a full
    worker.
    """
    dear = JobClass("dear", aim_ns=800 * MS, deadline_ns=5 * S, stretch=2.0, effect=Effect.UNSAFE, worth=10)
    cheap = replace(dear, name="cheap", worth=1)
    brief = replace(SAFE, aim_ns=100 * MS)  # t_d is 25 ms, so a wait above 50 ms makes the queue crowded
    for waited, first in ((10 * MS, "cheap"), (300 * MS, "dear")):
        node = Node(site(classes=(dear, cheap, brief)), free={1: 1.0})
        node.arrive("c", "cheap")
        node.run(1)
        node.arrive("d", "dear")
        node.run(waited)
        node.listing(ListKind.CHANGES, *workers(1))
        node.run(200 * MS)
        assert sends(a for _, a in node.log)[0].request == first[0]


def test_class_with_long_aim_does_not_take_capacity_denied_to_head() -> None:
    """Otherwise a class with a long aim, which tolerates a longer wait, would keep every worker full."""
    quick = replace(SAFE, name="quick", late_share=0.5)
    patient = replace(quick, name="patient", aim_ns=2 * S)
    brief = replace(quick, name="brief", aim_ns=110 * MS)  # sets the timer period to 27 ms
    node = Node(site(classes=(quick, patient, brief)), workers(1), free={1: 1.0})  # one slot, 51 ms per job
    node.arrive("w", "patient")
    node.serve(sends(node.run(100 * MS))[0], run=51 * MS)
    # The second job is sent after 51 ms, when its wait equals the expected wait at the worker.
    for name in ("p1", "p2"):
        node.arrive(name, "patient")
        node.started(sends(node.run(100 * MS))[0])
    node.arrive("q", "quick")  # a wait of 102 ms at the worker exceeds half of its aim
    node.arrive("p3", "patient")
    assert sends(node.run(125 * MS)) == []
    node.ended(Send("p1", 1, 0), Outcome.OK)
    node.ended(Send("p2", 1, 0), Outcome.OK)
    assert {s.request for s in sends(node.run(2 * S))} == {"q", "p3"}


def test_job_with_time_left_by_its_stretch_keeps_queue_position() -> None:
    """If the limit for late jobs depended on the aim alone, this job would go behind all others after 130 ms,
    although it may wait for 440 ms. In a busy fleet every second job would then end late because it lost its
    place.
    """
    # One slot, 400 ms per job, 800 ms allowed by the stretch.
    node = Node(only(SAFE), workers(1), free={1: 1.0})
    node.arrive("w", "safe")
    node.serve(sends(node.run(60 * MS))[0], run=400 * MS)
    node.arrive("busy", "safe")
    node.started(sends(node.run(60 * MS))[0])
    node.arrive("first", "safe")
    node.run(250 * MS)
    node.arrive("second", "safe")
    node.run(10 * MS)
    node.ended(Send("busy", 1, 0), Outcome.OK, reading=Reading(free_slots=1.0))
    assert [s.request for s in sends(node.run(30 * MS))] == ["first"]


# --- readings ---------------------------------------------------------------------------------------


def test_job_does_not_wait_long_for_reading_of_idle_worker() -> None:
    """Most probes return within a few ms. To wait 100 ms for one would use half of the shortest aim."""
    node = Node(SITE, workers(1, 2))
    node.answers_probes = False
    node.run(2 * S)
    node.arrive("r", "safe")
    assert [s.request for s in sends(node.run(30 * MS))] == ["r"]


def test_lost_probe_is_retried() -> None:
    """Otherwise a worker whose probe was lost would never be read again. Probes are at least 2.5 s apart."""
    node = Node(SITE, workers(1))
    node.answers_probes = False
    for i in range(8):
        node.arrive(f"r{i}", "safe")
        node.run(500 * MS)
    first, second = (t for t, a in node.log if a == Probe(1))
    assert 2500 * MS <= second - first <= 3100 * MS


def test_probes_are_triggered_and_limited_by_jobs() -> None:
    """With probes twice a second for each worker, 200 balancers with 200 workers would send more probes than
    jobs.
    """
    node = Node(only(SAFE), workers(*range(1, 201)), free=dict.fromkeys(range(1, 201), 2.0))
    node.run(5 * S)
    assert not [a for _, a in node.log if isinstance(a, Probe)]
    for i in range(50):
        node.arrive(f"r{i}", "safe")
        for send in sends(node.run(200 * MS)):
            node.started(send)
            node.ended(send, Outcome.OK)
    assert len({a.request for _, a in node.log if isinstance(a, Send)}) == 50
    # Up to three probes for each waiting job, plus the saved-up probes of twelve jobs.
    assert 50 <= len([a for _, a in node.log if isinstance(a, Probe)]) <= 3 * (50 + 12)


def test_job_waits_for_reading_and_skips_full_worker() -> None:
    """In a large fleet a balancer has no recent reading of the worker whose timer fires next."""
    for seed in range(10):
        node = Node(only(SAFE), workers(1, 2), seed=seed, free={1: 2.0, 2: 2.0})
        node.arrive("a", "safe")
        node.serve(sends(node.run(100 * MS))[0])
        node.free[1] = 0.0
        for i in range(3):  # one second apart, so that every reading is outdated
            node.run(S)
            node.arrive(f"b{i}", "safe")
            made = sends(node.run(400 * MS))
            for send in made:
                node.started(send)
                node.ended(send, Outcome.OK)
        assert [s.worker for s in made] == [2]


def test_repeated_reading_counts_as_probe_result() -> None:
    """Otherwise a worker with slow refreshes would receive no bundle between them, and jobs would cross
    zones.
    """
    node = Node(only(SAFE), workers(1), free={1: 2.0})
    for i in range(6):
        node.arrive(f"r{i}", "safe")
        made = sends(node.run(90 * MS))  # within the 100 ms for which a bundle waits for a reading
        assert len(made) == 1
        node.started(made[0])
        node.ended(made[0], Outcome.OK)
        node.run(600 * MS)


def test_full_worker_without_readings_is_retried() -> None:
    """Without readings nothing corrects the estimate of other balancers' jobs, so it must expire."""
    node = Node(only(SAFE), workers(1))
    node.arrive("a", "safe")
    node.ended(sends(node.run(300 * MS))[0], Outcome.FULL)  # the job is late, so it may only use free slots
    assert sends(node.run(3 * S)) == [Send("a", 1, 0)]


def test_low_worth_class_is_not_starved() -> None:
    """Two slots serve 10 jobs per second while 20 valuable and 10 cheap jobs arrive; some of each must be
    served.
    """
    dear = replace(UNSAFE, name="dear", worth=10.0)
    cheap = replace(dear, name="cheap", worth=1.0)
    simulation = SimulatedWorkers(Node(site(classes=(dear, cheap)), workers(1), free={1: 2.0}), run=200 * MS)
    for i in range(300):
        simulation.play(50 * MS, 50 * MS, "dear", f"dear{i}-")
        if i % 2:
            simulation.node.arrive(f"cheap{i}", "cheap")
    served = [name[0] for name in simulation.answered]
    assert served.count("d") > served.count("c") > 5


# --- one of three workers is faulty: it receives few jobs, and its full share after recovery ---------


def three_workers(job_class: JobClass = SAFE) -> SimulatedWorkers:
    """Return three simulated workers with two slots each, and their balancer."""
    return SimulatedWorkers(Node(only(job_class), workers(1, 2, 3), free={1: 2.0, 2: 2.0, 3: 2.0}))


def share(of: list[Send], worker: int) -> float:
    """Return the share of sends that went to a worker."""
    return sum(s.worker == worker for s in of) / len(of)


@pytest.mark.parametrize("fault", ["silent", "failing", "refusing"])
def test_faulty_worker_receives_only_trials_until_trusted_again(fault: str) -> None:
    """The silent worker is hardest to detect: it answers probes with free slots but runs nothing."""
    simulation = three_workers()
    simulation.play(3 * S)
    bad: set[int] = getattr(simulation, fault)
    bad.add(3)
    simulation.play(3 * S, prefix="t")  # time to detect the fault
    assert share(simulation.play(5 * S, prefix="u"), 3) < 0.1
    bad.clear()
    simulation.play(10 * S, prefix="v")  # the next trial comes after at most 9.6 s
    assert share(simulation.play(5 * S, prefix="w"), 3) > 0.15


def test_slow_worker_is_avoided_and_trusted_again() -> None:
    """The jobs of a worker that is ten times slower end late even without waiting, though it reports free
    slots.
    """
    simulation = three_workers()
    simulation.play(3 * S)
    simulation.slow[3] = 10.0
    simulation.play(3 * S, prefix="t")
    assert share(simulation.play(5 * S, prefix="u"), 3) < 0.1
    simulation.slow.clear()
    simulation.play(12 * S, prefix="v")
    assert share(simulation.play(5 * S, prefix="w"), 3) > 0.15


def test_no_worker_is_excluded_when_all_slow_down() -> None:
    """A slowdown of all workers has a shared cause, and excluding all of them would leave no capacity."""
    simulation = three_workers()
    simulation.play(3 * S)
    simulation.slow = {1: 4.0, 2: 4.0, 3: 4.0}
    sent = simulation.play(6 * S, every=190 * MS, prefix="t")
    assert all(share(sent, w) > 0.1 for w in (1, 2, 3))
    simulation.slow.clear()
    simulation.play(3 * S, prefix="u")
    before = len(simulation.answered)
    simulation.play(5 * S, prefix="v")
    assert len(simulation.answered) - before > 128  # of 135


def test_each_worker_is_still_tried_when_all_fail() -> None:
    """The cause may be the balancer itself, so it must detect when the fault has ended."""
    simulation = three_workers()
    simulation.failing = {1, 2, 3}
    simulation.play(5 * S)
    assert {s.worker for s in simulation.play(10 * S, prefix="t")} == {1, 2, 3}
    simulation.failing.clear()
    simulation.play(12 * S, prefix="u")
    before = len(simulation.answered)
    simulation.play(5 * S, prefix="v")
    assert len(simulation.answered) - before > 128


def test_third_worker_serves_when_two_are_faulty() -> None:
    simulation = three_workers()
    simulation.play(3 * S)
    simulation.silent.add(1)
    simulation.failing.add(2)
    simulation.play(3 * S, prefix="t")
    before = len(simulation.answered)
    assert share(simulation.play(5 * S, every=74 * MS, prefix="u"), 1) < 0.1
    assert len(simulation.answered) - before > 60  # of 68, although most workers look faulty


def test_trial_prefers_repeatable_job() -> None:
    """A trial may lose its job, so a job that cannot be repeated must not be used while a safe one waits."""
    only_x = site(classes=(replace(SAFE, kind="x"), replace(UNSAFE, kind="x")))
    # Two healthy workers, so that the fault belongs to the first worker alone.
    others = workers(2, 3, kind="y")
    simulation = SimulatedWorkers(Node(only_x, workers(1, kind="x") + others, free={1: 2.0, 2: 2.0, 3: 2.0}))
    simulation.failing.add(1)
    simulation.play(S)
    simulation.failing.clear()
    simulation.play(3 * S, every=0)
    for i in range(20):
        simulation.node.arrive(f"unsafe{i}", "unsafe")
        simulation.node.arrive(f"safe{i}", "safe")
        sent = simulation.play(500 * MS, every=0)
        if sent:
            break
    assert sent[0].request.startswith("safe")


# --- the list ---------------------------------------------------------------------------------------


def test_empty_list_stops_sends_and_new_list_resumes_them() -> None:
    simulation = three_workers()
    simulation.play(2 * S)
    simulation.node.listing(ListKind.FULL)
    assert simulation.play(S, prefix="t") == []
    simulation.node.listing(ListKind.FULL, *workers(3, 1, 2))
    assert {s.worker for s in simulation.play(2 * S, prefix="u")} == {1, 2, 3}


def test_list_order_has_no_effect() -> None:
    sent = []
    for ids in ((1, 2, 3), (3, 1, 2)):
        simulation = SimulatedWorkers(Node(only(SAFE), (), free={1: 2.0, 2: 2.0, 3: 2.0}))
        simulation.node.listing(ListKind.FULL, *workers(*ids))
        simulation.play(3 * S)
        sent.append((len(simulation.answered), {s.worker for s in simulation.sent}))
    assert sent[0] == sent[1]


def test_failed_list_call_keeps_known_workers() -> None:
    simulation = three_workers()
    simulation.play(S)
    simulation.node.listing(ListKind.FAILED)
    assert {s.worker for s in simulation.play(3 * S, prefix="t")} == {1, 2, 3}


def test_repeatedly_restarting_worker_stays_within_cold_budget() -> None:
    """Each list entry reports a new start, so the worker never warms up and the others take its jobs."""
    simulation = three_workers()
    for i in range(10):
        simulation.node.listing(ListKind.CHANGES, replace(workers(3)[0], started_ns=simulation.node.now))
        simulation.play(S, prefix=f"t{i}-")
    # Limit for all balancers: twice a tenth of two slots, so 0.4 slots or 4 jobs of 100 ms per second.
    assert sum(s.worker == 3 for s in simulation.sent) <= 40
    assert len(simulation.answered) > 255  # of 270


# --- zones ------------------------------------------------------------------------------------------


def test_unreachable_zone_is_replaced_by_other_zone() -> None:
    far = [replace(w, zone="b") for w in workers(3, 4)]
    prices = Prices(cross_zone=0.1)
    simulation = SimulatedWorkers(
        Node(only(SAFE, prices=prices), workers(1, 2) + far, free=dict.fromkeys((1, 2, 3, 4), 2.0))
    )
    near = simulation.play(3 * S, every=100 * MS)
    assert share(near, 1) + share(near, 2) > 0.9
    simulation.refusing = {1, 2}
    simulation.play(3 * S, prefix="t")
    before = len(simulation.answered)
    simulation.play(5 * S, prefix="u")
    assert len(simulation.answered) - before > 128  # of 135, served by the two reachable workers


# --- traffic ----------------------------------------------------------------------------------------


def test_burst_after_low_load_does_not_flood_workers() -> None:
    """N must not grow without demand. Three workers of two slots run six jobs, and a few more may wait."""
    simulation = three_workers()
    simulation.play(20 * S, every=S)
    for i in range(60):
        simulation.node.arrive(f"burst{i}", "safe")
    simulation.node.run(60 * MS)  # each timer has fired once
    simulation._work()
    assert len(simulation.sent) - 20 <= 12


def test_new_balancer_serves_first_jobs_without_readings() -> None:
    """Without any probe result a balancer must send anyway after 2 t_d and one timer period, 150 ms."""
    node = Node(only(SAFE), workers(1, 2, 3))
    node.arrive("first", "safe")
    assert [s.request for s in sends(node.run(150 * MS))] == ["first"]


def test_one_heavy_job_does_not_make_its_worker_suspect() -> None:
    """A job of 20 times the usual running time holds one slot and reports progress; the other slot works."""
    simulation = three_workers()
    simulation.play(3 * S)
    heavy = next(s for s in simulation.play(S, prefix="t") if s.worker == 3)
    node = simulation.node
    simulation.running[3] = [(node.now + 2 * S, heavy, 0)]
    node.run(1)
    sent = simulation.play(1500 * MS, prefix="u")
    assert share(sent, 3) > 0.1


@pytest.mark.parametrize(("job_class", "again"), [(SAFE, True), (UNSAFE, False)])
def test_only_safe_job_on_frozen_worker_is_repeated_elsewhere(job_class: JobClass, again: bool) -> None:
    """A working worker reports progress every second; after 2.5 missed updates it counts as silent."""
    node = Node(only(job_class), workers(1, 2), free={1: 2.0, 2: 2.0})
    node.arrive("a", job_class.name, left=10 * S)
    first = sends(node.run(100 * MS))[0]
    node.started(first)
    node.run(2300 * MS)
    assert len(sends(a for _, a in node.log)) == 1
    assert [s.worker for s in sends(node.run(2 * S))] == ([3 - first.worker] if again else [])


def test_unstarted_job_on_silent_worker_is_repeated_soon() -> None:
    """A limit of six mean running times alone would leave a job of 0.5 s unstarted for 3 s, which is too long
    if the worker or the connection is silent. Updates come every second, so a third of 2.5 update periods is
    enough.
    """
    node = Node(only(SAFE), workers(1, 2), free={1: 2.0, 2: 2.0})
    node.arrive("w", "safe")
    node.serve(sends(node.run(100 * MS))[0], run=500 * MS)
    node.arrive("a", "safe")
    first = sends(node.run(100 * MS))[0]
    assert [s.worker for s in sends(node.run(1500 * MS))] == [3 - first.worker]


def test_worker_with_overdue_start_receives_no_more_jobs() -> None:
    """The worker reports ten free slots, but a job has been unstarted for longer than half of the shortest
    aim.
    """
    node = Node(only(SAFE), workers(1), free={1: 10.0})
    node.run(S)
    node.arrive("a", "safe")
    first = sends(node.run(100 * MS))[0]
    node.run(150 * MS)
    node.arrive("b", "safe")
    assert sends(node.run(100 * MS)) == []
    node.started(first)
    assert [s.request for s in sends(node.run(100 * MS))] == ["b"]


def test_unreachable_workers_do_not_excuse_failing_worker() -> None:
    """Two workers are unreachable and one fails, which is no shared cause while the fourth worker serves
    jobs.
    """
    simulation = SimulatedWorkers(
        Node(only(SAFE), workers(1, 2, 3, 4), free=dict.fromkeys((1, 2, 3, 4), 2.0))
    )
    simulation.refusing, simulation.failing = {1, 2}, {3}
    simulation.play(3 * S, every=74 * MS)
    assert share(simulation.play(5 * S, every=74 * MS, prefix="t"), 3) < 0.15


def test_job_is_not_sent_without_free_memory() -> None:
    node = Node(only(SAFE), workers(1))
    node.step(Probed(1, True, Reading(free_slots=4.0, free_memory=4.0)))
    for name in ("a", "b"):
        node.step(Arrival(name, "safe", 5 * S, slots=1.0, memory=3.0))
    first = sends(node.run(60 * MS))
    assert len(first) == 1
    node.serve(first[0], run=50 * MS)
    assert len(sends(node.run(60 * MS))) == 1


def test_list_calls_back_off_after_failures() -> None:
    """All balancers call one service, and immediate retries after each failure would keep it overloaded."""
    node = Node(site(discovery=Discovery.ASK), workers(1))
    asked = 0
    for _ in range(200):
        if any(isinstance(a, Watch) for a in node.run(50 * MS)):
            asked += 1
            node.listing(ListKind.FAILED)
    # In 10 s: waits of 0.25, 0.5, 1, 2, 2.5 and 2.5 s, each shortened at random by up to half.
    assert 3 <= asked <= 12


def test_wait_at_worker_is_limited_by_shortest_aim() -> None:
    """Otherwise jobs with long aims would keep a worker so full that urgent jobs find no free slot."""
    patient = replace(SAFE, name="patient", aim_ns=2 * S)
    node = Node(site(classes=(SAFE, patient)), workers(1), free={1: 1.0})  # one slot, 140 ms per job
    node.arrive("w", "patient")
    node.serve(sends(node.run(100 * MS))[0], run=140 * MS)
    for name in ("p1", "p2"):  # the second job is sent after it has waited 140 ms
        node.arrive(name, "patient")
        node.started(sends(node.run(250 * MS))[0])
    # Would wait for two jobs, 280 ms, which exceeds the 200 ms of the shortest aim.
    node.arrive("p3", "patient")
    assert sends(node.run(S)) == []
    node.ended(Send("p1", 1, 0), Outcome.OK)
    assert [s.request for s in sends(node.run(S))] == ["p3"]


def test_late_start_shows_full_worker_despite_reading() -> None:
    """The worker reports two free slots, but a job waited 80 ms there: other balancers have filled them."""
    node = Node(only(SAFE), workers(1), free={1: 2.0})
    node.arrive("a", "safe")
    node.serve(sends(node.run(60 * MS))[0], run=200 * MS)
    node.arrive("b", "safe")
    sent = sends(node.run(60 * MS))[0]
    node.run(80 * MS)
    node.started(sent)
    node.arrive("c", "safe")  # one job too many: it would wait for the 100 ms until a slot becomes free
    assert sends(node.run(60 * MS)) == []


@pytest.mark.parametrize(("waiting", "goes"), [(None, False), (0.0, True)])
def test_full_worker_without_queue_length_is_assumed_to_have_queue(waiting: float | None, goes: bool) -> None:
    """Of four slots with 300 ms per job one becomes free after 75 ms; with a queue the wait is too long."""
    node = Node(only(SAFE), workers(1), free={1: 4.0})
    node.arrive("w", "safe")
    node.serve(sends(node.run(100 * MS))[0], run=300 * MS)
    node.free.clear()
    for _ in range(40):
        node.run(S)
        node.step(Probed(1, True, Reading(free_slots=0.0, waiting=waiting)))
    node.arrive("a", "safe")
    assert bool(sends(node.run(130 * MS))) is goes


def test_worker_last_reported_full_is_avoided_until_next_reading() -> None:
    """If 60 overloaded balancers forgot a full worker after seconds, it would receive more jobs than it can
    reject.
    """
    node = Node(only(SAFE), workers(1), free={1: 2.0})
    for i in range(4):
        node.arrive(f"a{i}", "safe")
        node.serve(sends(node.run(200 * MS))[0])
    node.free[1] = 0.0
    for i in range(40):  # over more than ten readings, jobs of other balancers fill the worker
        node.arrive(f"b{i}", "safe", left=400 * MS)
        for send in sends(node.run(500 * MS)):
            node.serve(send)
    node.answers_probes = False
    node.arrive("c", "safe")
    assert not sends(node.run(4 * S))
    node.answers_probes, node.free[1] = True, 2.0
    made: list[Send] = []
    for i in range(20):
        node.arrive(f"d{i}", "safe")
        for send in sends(node.run(500 * MS)):
            made.append(send)
            node.serve(send)
    assert len(made) > 5


def test_throttled_balancer_finds_worker_that_becomes_free() -> None:
    """The balancer serves fewer timers per step to save CPU time, but it must not skip any worker."""
    free = dict.fromkeys(range(1, 41), 0.0)
    node = Node(only(SAFE), workers(*free), free=free)
    node.step(*(Probed(i, True, Reading(free_slots=2.0)) for i in free))  # each worker has two slots
    for i in range(40):  # jobs that find all workers full, reading after reading
        node.arrive(f"a{i}", "safe", left=400 * MS)
        for send in sends(node.run(500 * MS)):
            node.ended(send, Outcome.FULL)
    node.arrive("b", "safe")
    node.run(S)
    before = len(sends(a for _, a in node.log))
    free.update(dict.fromkeys(free, 2.0))
    node.free = free
    for i in range(10):
        node.arrive(f"c{i}", "safe")
        node.run(300 * MS)
    assert len(sends(a for _, a in node.log)) > before
