"""Tests of ownership, of worker flow control, and of the dispatcher with fake stores and workers."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from typing import ClassVar

import pytest

from hollowusher.balancing.balancer import GOOD_TRIALS
from hollowusher.configuration.model import Service
from hollowusher.coordination.rendezvous import choose
from hollowusher.delivery.outcome import DeliveryOutcome, WorkerFeedback
from hollowusher.dispatch import ownership
from hollowusher.dispatch.dispatcher import Dispatcher
from hollowusher.dispatch.ownership import (
    Destination,
    assign_owners,
    preferred_owner,
    worker_destination,
)
from hollowusher.dispatch.worker_flow_control import CONTROL_PERIOD_S, WorkerFlowControl
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.leases import JobsWaiting
from hollowusher.protocol.membership import Member
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from tests.support.dispatch import (
    ADDRESSES,
    STORE_1,
    STORE_2,
    Cluster,
    LeasingStores,
    ModelWorkers,
    clock,
    dispatcher,
    edge,
    job,
    listed_worker,
    play,
    route,
)

SVC = Service("svc")


class TestOwnership:
    MEMBERS: ClassVar[list[Member]] = [edge(f"e{number}") for number in range(10)]

    def test_every_destination_has_one_owner_in_any_order_of_the_inputs(self) -> None:
        wanted = [worker_destination("svc", f"i-{n}", "z1") for n in range(40)]
        owners = assign_owners(wanted, self.MEMBERS)
        assert set(owners) == {each.key for each in wanted}
        assert owners == assign_owners(reversed(wanted), list(reversed(self.MEMBERS)))

    def test_no_process_has_much_more_than_its_share(self) -> None:
        wanted = [worker_destination("svc", f"i-{n}", "z1") for n in range(200)]
        assert max(Counter(assign_owners(wanted, self.MEMBERS).values()).values()) <= 25

    def test_no_process_owns_two_of_a_few_destinations(self) -> None:
        wanted = [worker_destination("svc", f"i-{n}", "z1") for n in range(8)]
        assert max(Counter(assign_owners(wanted, self.MEMBERS).values()).values()) == 1

    def test_removing_a_member_moves_few_other_destinations(self) -> None:
        wanted = [worker_destination("svc", f"i-{n}", "z1") for n in range(200)]
        before, after = assign_owners(wanted, self.MEMBERS), assign_owners(wanted, self.MEMBERS[1:])
        moved = [key for key in before if before[key] != after[key] and before[key] != "e0"]
        assert len(moved) <= 40

    def test_a_process_of_the_destinations_zone_is_preferred(self) -> None:
        members = [edge("e1", "z1"), edge("e2", "z2"), edge("e3", "z2")]
        for number in range(20):
            assert preferred_owner(worker_destination("svc", f"i-{number}", "z1"), members) == "e1"
            assert preferred_owner(worker_destination("svc", f"i-{number}", "z2"), members) in ("e2", "e3")
            assert preferred_owner(worker_destination("svc", f"i-{number}", "z9"), members) in (
                "e1",
                "e2",
                "e3",
            )

    def test_without_members_nothing_is_owned(self) -> None:
        assert assign_owners([Destination("svc/i-1")], []) == {}
        assert preferred_owner(Destination("svc/i-1"), []) is None

    def test_above_max_rankings_each_destination_gets_its_preferred_owner(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(ownership, "MAX_RANKINGS", 10)
        wanted = [Destination(f"svc/10.0.0.{n}:80") for n in range(20)]
        names = [member.name for member in self.MEMBERS]
        assert assign_owners(wanted, self.MEMBERS) == {each.key: choose(each.key, names) for each in wanted}


def fill(control: WorkerFlowControl, now: float, most: int = 100) -> list[str]:
    """Send up to `most` jobs while the flow control allows it; return their leases."""
    leases = list[str]()
    while control.jobs_allowed(now) > 0 and len(leases) < most:
        lease = f"{now}-{len(leases)}"
        control.record_sent(now, lease)
        leases.append(lease)
    return leases


class TestWorkerFlowControl:
    def test_the_first_jobs_are_allowed_at_once(self) -> None:
        control = WorkerFlowControl(100.0, 8)
        assert control.bundle == 0.0
        assert control.jobs_allowed(100.0) == 3

    def test_the_bundle_grows_by_the_integral_rule_and_paces_the_rest(self) -> None:
        control = WorkerFlowControl(0.0, 16)
        fill(control, 0.0)
        assert control.jobs_allowed(0.001) == 0
        delivered = 3
        for tick in range(1, 60):
            delivered += len(fill(control, tick * CONTROL_PERIOD_S + 0.001))
        assert delivered == control.in_flight
        assert 16 <= control.in_flight <= 32
        assert control.bundle > 0

    def test_jobs_in_flight_stay_close_to_the_slots(self) -> None:
        control = WorkerFlowControl(0.0, 4)
        for tick in range(200):
            fill(control, tick * CONTROL_PERIOD_S)
        assert 4 <= control.in_flight <= 6

    def test_a_busy_worker_keeps_up_its_rate_and_its_bundle_stays_bounded(self) -> None:
        """Eight slots run 40 jobs of 0.2 s per second; the flow control must allow at least 90 % of them."""
        control, due, done = WorkerFlowControl(0.0, 8), list[tuple[float, str]](), 0
        for step in range(4_000):
            now = step * 0.005
            while due and due[0][0] <= now:
                control.record_feedback(now, due.pop(0)[1], WorkerFeedback.DONE)
                done += 1
            due += [(now + 0.2, lease) for lease in fill(control, now)]
        assert done >= 0.9 * 40 * 20 * 8 / 8
        assert control.bundle <= 2.0 * CONTROL_PERIOD_S * 40 * 1.3

    def test_an_idle_period_does_not_grow_the_bundle(self) -> None:
        control = WorkerFlowControl(0.0, 8)
        control.record_sent(0.0, "a")
        control.record_feedback(0.2, "a", WorkerFeedback.DONE)
        for second in range(1, 100):
            control.jobs_allowed(float(second))
        per_timer = CONTROL_PERIOD_S / (0.2 / 8)
        assert control.bundle <= per_timer + 1e-6
        assert control.jobs_allowed(100.0) <= 8 + 4

    def test_a_full_rejection_pauses_the_worker(self) -> None:
        control = WorkerFlowControl(0.0, 8)
        control.record_sent(0.0, "a")
        control.record_feedback(0.01, "a", WorkerFeedback.FULL)
        assert control.jobs_allowed(0.02) == 0
        assert control.jobs_allowed(0.2) > 0

    def test_slots_lost_by_rejections_grow_back_up_to_the_listed_capacity(self) -> None:
        control, due = WorkerFlowControl(0.0, 4), list[tuple[float, str]]()
        control.record_sent(0.0, "a")
        control.record_feedback(0.01, "a", WorkerFeedback.FULL)
        assert control.slots == 1
        for step in range(20, 2_000):
            now = step * 0.005
            while due and due[0][0] <= now:
                control.record_feedback(now, due.pop(0)[1], WorkerFeedback.DONE)
            due += [(now + 0.1, lease) for lease in fill(control, now)]
        assert control.slots == 4

    def test_each_consecutive_rejection_doubles_the_pause(self) -> None:
        control = WorkerFlowControl(0.0, 8)
        for number, pause in enumerate([0.05, 0.1, 0.2, 0.4, 0.8, 0.8]):
            control.record_sent(0.0, str(number))
            control.record_feedback(0.0, str(number), WorkerFeedback.FULL)
            assert control.resumes_at(0.0) == pytest.approx(pause)

    def test_the_slots_of_an_endpoint_without_capacity_shrink_on_rejections(self) -> None:
        control = WorkerFlowControl(0.0)
        for lease in ("a", "b", "c"):
            control.record_sent(0.0, lease)
        control.record_feedback(0.01, "c", WorkerFeedback.FULL)
        assert control.slots == 2
        assert control.free_slots(1.0) == 0
        control.record_feedback(1.0, "a", WorkerFeedback.DONE)
        assert control.free_slots(1.0) == 1

    def test_an_endpoint_that_answers_quickly_gets_more_slots(self) -> None:
        control, due = WorkerFlowControl(0.0), list[tuple[float, str]]()
        for step in range(2_000):
            now = step * 0.005
            while due and due[0][0] <= now:
                control.record_feedback(now, due.pop(0)[1], WorkerFeedback.DONE)
            due += [(now + 0.1, lease) for lease in fill(control, now)]
        assert control.slots > 20

    def test_a_rate_rejection_does_not_change_the_slots(self) -> None:
        control = WorkerFlowControl(0.0)
        control.record_sent(0.0, "a")
        control.record_feedback(0.01, "a", WorkerFeedback.RATE)
        assert control.slots == 8
        assert control.free_slots(0.02) == 0
        assert control.free_slots(0.5) > 0

    def test_a_lost_response_makes_a_worker_suspect_until_trials_succeed(self) -> None:
        control = WorkerFlowControl(0.0, 8)
        control.record_sent(0.0, "a")
        assert control.record_feedback(0.3, "a", WorkerFeedback.LOST)
        assert control.jobs_allowed(0.4) == 0
        assert control.resumes_at(0.4) == pytest.approx(0.8)
        now = 0.9
        for trial in range(GOOD_TRIALS):
            assert control.jobs_allowed(now) == 1
            control.record_sent(now, f"t{trial}")
            assert control.jobs_allowed(now) == 0  # at most one trial job in flight
            control.record_feedback(now + 0.1, f"t{trial}", WorkerFeedback.DONE)
            now += 0.1
        assert not control.is_suspect
        assert control.jobs_allowed(now + 0.1) > 1

    def test_each_failed_trial_doubles_the_wait(self) -> None:
        control, now, waits = WorkerFlowControl(0.0, 8), 0.0, list[float]()
        for number in range(4):
            control.record_sent(now, f"a{number}")
            control.record_feedback(now, f"a{number}", WorkerFeedback.LOST)
            waits.append(control.resumes_at(now) - now)
            now = control.resumes_at(now)
        assert waits == pytest.approx([0.5, 1.0, 2.0, 4.0])

    def test_a_suspect_worker_gets_jobs_if_suspects_are_not_isolated(self) -> None:
        control = WorkerFlowControl(0.0, 8)
        control.record_sent(0.0, "a")
        control.record_feedback(0.3, "a", WorkerFeedback.LOST)
        assert control.jobs_allowed(0.4, isolates_suspects=False) > 1
        assert (
            control.next_check_at(0.4, isolates_suspects=False)
            <= 0.4 + CONTROL_PERIOD_S
            < control.next_check_at(0.4)
        )

    def test_only_five_consecutive_failures_make_a_worker_suspect(self) -> None:
        control = WorkerFlowControl(0.0, 8)
        suspicions = []
        for number in range(5):
            control.record_sent(0.0, str(number))
            suspicions.append(control.record_feedback(0.1, str(number), WorkerFeedback.FAILED))
        assert suspicions == [False] * 4 + [True]

    def test_a_job_in_flight_beyond_the_response_timeout_makes_a_worker_suspect(self) -> None:
        control = WorkerFlowControl(0.0, 8)
        control.record_sent(0.0, "a")
        control.record_feedback(0.1, "a", WorkerFeedback.DONE)
        control.record_sent(1.0, "b")
        assert control.free_slots(1.9) > 0
        assert control.free_slots(2.2) == 0
        assert control.is_suspect

    def test_each_connection_failure_lengthens_the_pause(self) -> None:
        control = WorkerFlowControl(0.0, 8)
        for number, pause in enumerate([0.1, 0.2, 0.4, 0.8, 1.0, 1.0]):
            control.record_sent(0.0, str(number))
            control.record_feedback(0.0, str(number), WorkerFeedback.UNREACHABLE)
            assert control.resumes_at(0.0) == pytest.approx(pause)

    def test_a_worker_in_its_warm_up_gets_fewer_jobs(self) -> None:
        control = WorkerFlowControl(0.0, 10)
        control.update_listing(10, 5.0)
        for tick in range(120):
            fill(control, tick * CONTROL_PERIOD_S)
        assert control.in_flight == 4
        fill(control, 5.1)
        assert control.in_flight > 4

    def test_another_worker_at_the_address_ends_dispatch(self) -> None:
        control = WorkerFlowControl(0.0, 8)
        control.record_sent(0.0, "a")
        control.record_feedback(0.1, "a", WorkerFeedback.GONE)
        assert control.jobs_allowed(100.0) == 0

    def test_jobs_in_flight_never_exceed_the_connections(self) -> None:
        control = WorkerFlowControl(0.0, 50)
        control.limit_slots(5)
        for tick in range(100):
            fill(control, tick * CONTROL_PERIOD_S)
        assert control.in_flight == 5

    def test_the_controller_gain_is_divided_among_balancers(self) -> None:
        alone, shared = WorkerFlowControl(0.0, 8), WorkerFlowControl(0.0, 8, balancers=4)
        alone.jobs_allowed(CONTROL_PERIOD_S)
        shared.jobs_allowed(CONTROL_PERIOD_S)
        assert shared.bundle == pytest.approx(alone.bundle / 4)


def simple_cluster(workers: int = 2, members: int = 1, capacity: int = 4) -> Cluster:
    names = [edge(f"e{number}") for number in range(1, members + 1)]
    return Cluster(
        names, [SVC], [route()], [listed_worker(n, capacity=capacity) for n in range(1, workers + 1)]
    )


def model(cluster: Cluster, run_s: float = 0.2, queue_size: int = 2) -> ModelWorkers:
    assert cluster.state.workers is not None
    return ModelWorkers({w.address: w.capacity for w in cluster.state.workers.workers}, run_s, queue_size)


class TestDispatcher:
    def test_jobs_run_in_time_and_their_lease_ends_are_reported(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            workers = model(cluster)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            stores.add(STORE_1, [job(n) for n in range(40)])
            await asyncio.sleep(3)
            assert stores.results() == {"success": 40}
            assert stores.finished["0-1-7-1"].signature == "s-m7"
            # 40 jobs of 0.2 s on 8 slots take at least 1 s
            assert max(stores.finish_times.values()) < 1.6
            assert subject.metrics.success == 40 and subject.metrics.in_flight == 0
            assert workers.begun[0][0] < 0.02
            await subject.stop(3)

        play(work)

    def test_each_store_has_at_most_one_request_in_flight(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            subject = dispatcher(cluster, stores, model(cluster))
            subject.start()
            for wave in range(30):
                stores.add(STORE_1, [job(wave * 10 + n) for n in range(3)])
                await asyncio.sleep(0.1)
            await asyncio.sleep(2)
            assert stores.most_outstanding == 1
            assert stores.results() == {"success": 90}
            await subject.stop(3)

        play(work)

    def test_an_idle_service_is_polled_about_once_a_second(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            subject = dispatcher(cluster, stores, model(cluster))
            subject.start()
            await asyncio.sleep(20)
            assert 18 <= len(stores.requests) <= 22
            await subject.stop(3)

        play(work)

    def test_owners_share_the_workers_and_each_delivers_only_to_its_own(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(workers=8, members=3), LeasingStores()
            clients = [model(cluster) for _ in range(3)]
            subjects = [dispatcher(cluster, stores, clients[n], f"e{n + 1}") for n in range(3)]
            for subject in subjects:
                subject.start()
            keys = [key for subject in subjects for key in subject.owned().get("svc", [])]
            assert len(keys) == len(set(keys)) == 8
            stores.add(STORE_1, [job(n) for n in range(100)])
            await asyncio.sleep(4)
            assert stores.results() == {"success": 100}
            used = [{address for _, address, _ in client.begun} for client in clients]
            assert not used[0] & used[1] and not used[1] & used[2] and not used[0] & used[2]
            await asyncio.gather(*(subject.stop(3) for subject in subjects))

        play(work)

    def test_the_workers_of_a_dead_member_go_to_the_others(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(workers=8, members=2), LeasingStores()
            subject = dispatcher(cluster, stores, model(cluster))
            subject.start()
            assert len(subject.owned()["svc"]) < 8
            cluster.put("member/e2", evolve(cluster.state.members["e2"], status=1))
            assert len(subject.owned()["svc"]) == 8
            await subject.stop(3)

        play(work)

    def test_jobs_follow_the_placement_to_the_new_primary(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            subject = dispatcher(cluster, stores, model(cluster))
            subject.start()
            await asyncio.sleep(0.3)
            stores.down.add(ADDRESSES[STORE_1])
            cluster.place(STORE_2)
            stores.add(STORE_2, [job(1)])
            await asyncio.sleep(0.3)
            assert stores.results() == {"success": 1}
            await asyncio.sleep(6)
            asked = [address for at, address, _ in stores.requests if at > 5]
            assert asked and set(asked) == {ADDRESSES[STORE_2]}
            await subject.stop(3)

        play(work)

    def test_a_store_with_waiting_jobs_is_polled_until_it_is_idle(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            subject = dispatcher(cluster, stores, model(cluster))
            subject.start()
            stores.add(STORE_2, [job(1), job(2)])
            subject.handle(JobsWaiting("svc", STORE_2))
            subject.handle(JobsWaiting("unknown", STORE_2))
            await asyncio.sleep(1)
            assert stores.results() == {"success": 2}
            await asyncio.sleep(9)
            assert not [1 for at, address, _ in stores.requests if at > 5 and address == ADDRESSES[STORE_2]]
            await subject.stop(3)

        play(work)

    def test_a_failing_store_is_polled_with_exponential_backoff(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            stores.down.add(ADDRESSES[STORE_1])
            subject = dispatcher(cluster, stores, model(cluster))
            subject.start()
            await asyncio.sleep(5)
            times = [at for at, _, _ in stores.requests]
            pauses = [b - a for a, b in itertools.pairwise(times)]
            assert pauses[0] == pytest.approx(0.052, abs=0.01)
            assert pauses[-1] == pytest.approx(0.502, abs=0.01)
            stores.down.clear()
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(1)
            assert stores.results() == {"success": 1}
            await subject.stop(3)

        play(work)

    def test_a_draining_worker_gets_no_new_jobs_and_completes_its_jobs_in_flight(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            workers = model(cluster)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            stores.add(STORE_1, [job(n) for n in range(60)])
            await asyncio.sleep(0.5)
            cluster.list_workers([listed_worker(1, state="draining"), listed_worker(2)])
            await asyncio.sleep(0)
            drained_at = clock()
            await asyncio.sleep(4)
            assert [
                1
                for at, address, _ in workers.begun
                if at < drained_at and address == listed_worker(1).address
            ]
            assert not [
                1
                for at, address, _ in workers.begun
                if at > drained_at and address == listed_worker(1).address
            ]
            assert [endpoint.instance_id for endpoint in workers.retired] == ["i-1"]
            assert stores.results() == {"success": 60}
            await subject.stop(3)

        play(work)

    def test_a_worker_that_is_no_longer_listed_gets_no_new_jobs(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(workers=1), LeasingStores()
            workers = model(cluster)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            await asyncio.sleep(0.5)
            cluster.list_workers([])
            stores.add(STORE_1, [job(n) for n in range(3)])
            await asyncio.sleep(4)
            assert workers.begun == []
            # Jobs leased by the request in flight are released at once; then no request follows.
            assert set(stores.results()) <= {"not_run"}
            assert not [1 for at, _, _ in stores.requests if at > 2]
            cluster.list_workers([listed_worker(1)])
            stores.add(STORE_1, [job(9)])
            await asyncio.sleep(1)
            assert stores.finished["0-1-9-1"].result == "success"
            await subject.stop(3)

        play(work)

    def test_a_worker_listed_at_a_reused_address_is_a_new_worker(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(workers=1), LeasingStores()
            workers = model(cluster)
            workers.answers[listed_worker(1).address] = DeliveryOutcome("not_run", WorkerFeedback.GONE)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(2)
            tries = len(workers.begun)
            assert tries == 1  # GONE (status 421): another worker has the address
            workers.answers.clear()
            cluster.list_workers([evolve(listed_worker(2), address=listed_worker(1).address)])
            stores.add(STORE_1, [job(2)])
            await asyncio.sleep(1)
            assert workers.endpoints[-1].instance_id == "i-2"
            assert stores.finished["0-1-2-1"].result == "success"
            await subject.stop(3)

        play(work)

    def test_a_refused_job_is_offered_to_another_worker(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            workers = model(cluster)
            workers.answers[listed_worker(1).address] = DeliveryOutcome("not_run", WorkerFeedback.FULL)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            stores.add(STORE_1, [job(n) for n in range(6)])
            await asyncio.sleep(2)
            assert stores.results() == {"success": 6}
            assert subject.metrics.requeued > 0
            await subject.stop(3)

        play(work)

    def test_under_a_rate_ceiling_a_refused_job_goes_back_to_the_store(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            cluster.configure([Service("svc", rate_per_s=20.0)], [route()])
            workers = model(cluster)
            workers.answers = {
                listed_worker(n).address: DeliveryOutcome("not_run", WorkerFeedback.RATE, retry_ms=100)
                for n in (1, 2)
            }
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(1)
            assert len(workers.begun) == 1
            assert stores.finished["0-1-1-1"].result == "not_run"
            assert stores.finished["0-1-1-1"].retry_ms == 100
            await subject.stop(3)

        play(work)

    def test_a_job_that_no_worker_takes_in_time_is_released(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(workers=1, capacity=1), LeasingStores()
            workers = model(cluster, run_s=3.0)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            await asyncio.sleep(0.1)
            stores.add(STORE_1, [job(1)])
            stores.add(STORE_2, [job(n) for n in range(2, 9)])
            subject.handle(JobsWaiting("svc", STORE_2))
            await asyncio.sleep(1.5)
            assert (
                stores.results().get("not_run", 0)
                + len(workers.begun)
                + sum(len(queue) for queue in stores.queues.values())
                == 8
            )
            assert all(stores.finish_times[lease] <= 0.7 for lease in stores.finished)
            await subject.stop(5)

        play(work)

    def test_workers_are_not_flooded_if_their_listed_capacity_is_too_high(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(workers=1, capacity=20), LeasingStores()
            workers = ModelWorkers({listed_worker(1).address: 3}, queue_size=1)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            stores.add(STORE_1, [job(n, start_within_ms=5_000) for n in range(40)])
            await asyncio.sleep(8)
            refused = subject.metrics.not_run
            assert refused < 60
            assert subject.metrics.success == 40
            await subject.stop(3)

        play(work)

    def test_jobs_of_a_removed_route_are_released(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            workers = model(cluster)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            stores.add(STORE_1, [job(1, route_name="gone"), job(2)])
            await asyncio.sleep(1)
            assert stores.finished["0-1-1-1"].result == "not_run"
            assert stores.finished["0-1-2-1"].result == "success"
            assert [message for _, _, message in workers.begun] == ["m2"]
            await subject.stop(3)

        play(work)

    def test_no_job_of_a_removed_service_is_delivered(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            workers = model(cluster)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            await asyncio.sleep(0.1)
            cluster.configure([Service("other")], [route(upstream="other")])
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(2)
            assert workers.begun == []
            await subject.stop(3)

        play(work)

    def test_the_timeout_comes_from_the_current_configuration(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            workers = model(cluster)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            cluster.configure([SVC], [route(timeout_ms=700)])
            stores.add(STORE_1, [job(1, timeout_ms=1000)])
            await asyncio.sleep(1)
            assert workers.timeouts == [0.7]
            await subject.stop(3)

        play(work)

    # Guards against: a delivery that outlives its lease, by a timeout that the store does not know yet.
    @pytest.mark.parametrize(("covered_ms", "timeout_s"), [(1_000, 1.0), (20_000, 12.0), (0, 12.0)])
    def test_no_delivery_is_longer_than_its_lease_covers(self, covered_ms: int, timeout_s: float) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            workers = model(cluster)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            cluster.configure([SVC], [route(timeout_ms=12_000)])
            stores.add(STORE_1, [job(1, timeout_ms=covered_ms)])
            await asyncio.sleep(1)
            assert workers.timeouts == [timeout_s]
            await subject.stop(3)

        play(work)

    def test_a_delivery_to_a_fixed_endpoint_has_no_instance_id(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            address = "10.3.0.1:9000"
            cluster = Cluster([edge("e1")], [Service("svc", fixed=address, max_connections=7)], [route()], [])
            stores, workers = LeasingStores(), ModelWorkers({address: 4})
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            stores.add(STORE_1, [job(n, start_within_ms=5_000) for n in range(30)])
            await asyncio.sleep(6)
            assert stores.results() == {"success": 30}
            assert workers.endpoints[0].instance_id == "" and workers.endpoints[0].max_connections == 7
            assert workers.max_in_flight[address] <= 6
            await subject.stop(3)

        play(work)

    def test_pull_services_are_not_pushed(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            cluster.configure([Service("svc", pull=True)], [route()])
            subject = dispatcher(cluster, stores, model(cluster))
            subject.start()
            await asyncio.sleep(1)
            assert subject.owned() == {} and stores.requests == []
            await subject.stop(3)

        play(work)

    def test_a_lease_end_is_reported_until_acknowledged_and_the_job_runs_once(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            workers = model(cluster)
            stores.refuse_finishes = 10
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(30)
            assert stores.finish_calls == 11
            assert stores.results() == {"success": 1}
            assert len(workers.begun) == 1
            await subject.stop(3)

        play(work)

    def test_an_expired_job_is_released_from_any_position_in_the_queue(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(workers=1, capacity=1), LeasingStores()
            workers = model(cluster, run_s=2.0)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            subject.handle(JobsWaiting("svc", STORE_2))
            await asyncio.sleep(0.01)  # both stores have a request for all the jobs that the worker may take
            stores.add(STORE_1, [job(n, start_within_ms=9_000) for n in range(3)])
            await asyncio.sleep(0.01)
            stores.add(STORE_2, [job(n, start_within_ms=200) for n in range(3, 9)])
            await asyncio.sleep(0.5)
            given_back = [lease for lease, finish in stores.finished.items() if finish.result == "not_run"]
            assert given_back
            assert all(stores.finish_times[lease] < 0.3 for lease in given_back)
            await subject.stop(9)

        play(work)

    def test_a_planned_stop_releases_queued_jobs_and_waits_for_running_ones(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            workers = model(cluster, run_s=1.0)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            await asyncio.sleep(0.1)
            stores.add(STORE_1, [job(n, start_within_ms=5_000) for n in range(60)])
            stores.add(STORE_2, [job(n, start_within_ms=5_000) for n in range(60, 80)])
            subject.handle(JobsWaiting("svc", STORE_2))
            await asyncio.sleep(0.3)
            begun = len(workers.begun)
            stopped = loop.time()
            await subject.stop(6)
            assert len(workers.begun) == begun
            assert loop.time() - stopped < 3
            left = sum(len(queue) for queue in stores.queues.values())
            assert stores.results()["success"] == begun
            assert stores.results().get("not_run", 0) == 80 - begun - left
            assert subject.metrics.in_flight == 0

        play(work)

    def test_no_job_leased_before_a_freeze_is_started_after_it(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(workers=1, capacity=1), LeasingStores()
            workers = model(cluster, run_s=0.3)
            process = SimulatedProcess("e1")

            async def begin() -> Dispatcher:
                subject = dispatcher(cluster, stores, workers)
                subject.start()
                return subject

            subject = await process.run(begin())
            process.context.copy().run(subject.handle, JobsWaiting("svc", STORE_2))
            await asyncio.sleep(0.01)  # both stores have a request for all the jobs that the worker may take
            stores.add(STORE_1, [job(n, start_within_ms=60_000) for n in range(8)])
            stores.add(STORE_2, [job(n, start_within_ms=60_000) for n in range(8, 16)])
            await asyncio.sleep(0.1)
            leased = 16 - sum(len(queue) for queue in stores.queues.values())
            begun = len(workers.begun)
            assert leased > begun
            loop.freeze(process)
            await asyncio.sleep(2.0)
            loop.thaw(process)
            await asyncio.sleep(0.05)
            assert subject.metrics.frozen == 1
            assert stores.results()["not_run"] == leased - begun
            again = {message for _, _, message in workers.begun[begun:]}
            assert not again & {f"m{finish.split('-')[2]}" for finish in stores.finished}

        play(work)

    def test_a_stop_ends_within_its_grace_period(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            cluster, stores = simple_cluster(), LeasingStores()
            workers = model(cluster, run_s=100.0)
            subject = dispatcher(cluster, stores, workers)
            subject.start()
            stores.add(STORE_1, [job(1)])
            await asyncio.sleep(0.3)
            stopped = loop.time()
            await subject.stop(4)
            assert loop.time() - stopped <= 4

        play(work)


def test_a_sole_worker_that_is_down_at_first_gets_trials_until_it_recovers() -> None:
    """Regression test for simulation seed 403, message m000510.

    An endpoint that was down when its owner started never got a trial job again."""
    control = WorkerFlowControl(0.0)
    now = 0.0
    assert control.jobs_allowed(now, isolates_suspects=False) >= 1
    control.record_sent(now, "first")
    control.record_feedback(now, "first", WorkerFeedback.UNREACHABLE)
    for number in range(40):  # more failures than the initial credit allows jobs
        now += 1.0
        if control.jobs_allowed(now, isolates_suspects=False):
            control.record_sent(now, f"down-{number}")
            control.record_feedback(now, f"down-{number}", WorkerFeedback.UNREACHABLE)
    assert control.is_suspect
    tries = 0
    for number in range(40):
        now += 1.0
        if control.jobs_allowed(now, isolates_suspects=False):
            tries += 1
            control.record_sent(now, f"up-{number}")
            control.record_feedback(now + 0.01, f"up-{number}", WorkerFeedback.DONE)
    assert not control.is_suspect
    assert tries >= 20
