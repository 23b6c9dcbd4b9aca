"""A lease lasts longer than the delivery that it is for, also where the timeout of the route has changed."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.delivery.callback_delivery import RESPONSE_TIMEOUT_S, START_WITHIN_S
from hollowusher.delivery.lease_poller import MAX_LEASE_AGE_S
from hollowusher.delivery.outcome import DeliveryOutcome, WorkerFeedback
from hollowusher.delivery.pull_dispatcher import UNCLAIMED_JOB_TTL_S
from hollowusher.delivery.worker_client import LATE_RESPONSE_S, Endpoint
from hollowusher.dispatch.dispatcher import Dispatcher
from hollowusher.messages import records
from hollowusher.messages.partition.active_messages import START_WITHIN_MS
from hollowusher.messages.partition.callback_jobs import CALLBACK_LEASE_S
from hollowusher.messages.partition.message_leases import (
    PULL_DELIVERY_ALLOWANCE_S,
    PULL_GRACE_S,
    PUSH_GRACE_S,
)
from hollowusher.protocol.leases import FinishLease, LeasedJob, LeaseUpdateResponse
from hollowusher.protocol.membership import Member
from hollowusher.protocol.worker_list import PlatformWorker, PlatformWorkerList
from tests.messages.test_partition import Partition
from tests.support.dispatch import ModelWorkers
from tests.support.message_store import EDGE_ADDRESS, ROUTE, StoreCluster, configuration, message, play

SHORT_MS, LONG_MS = 2_500, 12_000
REPORT_ALLOWANCE_S = 2.0  # for the report of the result: its calls and their retries


def with_timeout(generation: int, timeout_ms: int) -> bytes:
    return configuration(generation, [{**ROUTE, "timeoutMs": timeout_ms}])


def expires_after_s(partition: Partition, limit_s: float = 60.0) -> float:
    """Return the seconds until the message that is leased can be leased again."""
    started = partition.now
    while not partition.lease():
        assert partition.now - started < limit_s
        partition.sleep(0.1)
    return partition.now - started


def covers(expires_s: float, timeout_ms: int) -> bool:
    """Return whether a lease lasted for a delivery by this timeout, and not for a much longer one."""
    return timeout_ms / 1000 + PUSH_GRACE_S <= expires_s < timeout_ms / 1000 + PUSH_GRACE_S + 0.2


# Guards against: a constant of the edge process that outgrows the store's allowance for it.
def test_grace_covers_latest_start_late_response_and_report() -> None:
    latest_start_s = MAX_LEASE_AGE_S + 2 * START_WITHIN_MS / 1000
    assert latest_start_s + LATE_RESPONSE_S + REPORT_ALLOWANCE_S <= PUSH_GRACE_S


def test_pull_lease_begins_to_count_when_the_worker_has_the_job() -> None:
    assert MAX_LEASE_AGE_S + UNCLAIMED_JOB_TTL_S < PULL_DELIVERY_ALLOWANCE_S + PULL_GRACE_S


def test_callback_lease_covers_latest_start_response_and_report() -> None:
    latest_start_s = MAX_LEASE_AGE_S + START_WITHIN_S
    assert latest_start_s + RESPONSE_TIMEOUT_S + REPORT_ALLOWANCE_S <= CALLBACK_LEASE_S


# Guards against: a job that is longer than the old timeout ran again every few seconds, without end.
@pytest.mark.parametrize(("accepted_ms", "newest_ms"), [(SHORT_MS, LONG_MS), (LONG_MS, SHORT_MS)])
def test_lease_covers_timeout_of_newest_configuration(accepted_ms: int, newest_ms: int) -> None:
    partition = Partition()
    partition.configure(with_timeout(2, accepted_ms))
    partition.put(message("m1", timeout_ms=accepted_ms))
    partition.configure(with_timeout(3, newest_ms))
    [grant] = partition.lease()
    assert grant.job.message.timeout_ms == newest_ms
    assert covers(expires_after_s(partition), newest_ms)


# Guards against: a lease that shrinks or grows beneath its delivery, which keeps its timeout.
@pytest.mark.parametrize("takeover", [False, True])
def test_lease_keeps_its_timeout_through_change_and_takeover(takeover: bool) -> None:
    partition = Partition()
    partition.configure(with_timeout(2, LONG_MS))
    partition.put(message("m1", timeout_ms=LONG_MS))
    partition.lease()
    partition.configure(with_timeout(3, SHORT_MS))
    if takeover:
        partition = partition.taken_over()
        partition.configure(with_timeout(3, SHORT_MS))
    assert covers(expires_after_s(partition), LONG_MS)


# Guards against: a new primary that does not know the raised timeout yet and ends the lease early.
def test_new_primary_keeps_raised_lease_before_it_has_that_configuration() -> None:
    partition = Partition()
    partition.put(message("m1", timeout_ms=SHORT_MS))
    partition.configure(with_timeout(2, LONG_MS))
    partition.lease()
    assert covers(expires_after_s(partition.taken_over()), LONG_MS)


# Guards against: a lease of an older version's record, which does not tell its timeout, that ends too early.
def test_lease_without_recorded_timeout_lasts_by_longest_known_one() -> None:
    partition = Partition()
    partition.configure(with_timeout(2, SHORT_MS))
    key = partition.put(message("m1", timeout_ms=LONG_MS))
    [grant] = partition.lease()
    state = partition.table.entries[key].state
    assert state is not None
    state.version, state.holder_timeout_ms = (1, state.version[1] + 1), 0
    partition.table.apply(records.pack_state(0, key, state), partition.wall_ms)
    successor = partition.taken_over()
    successor.configure(with_timeout(2, SHORT_MS))
    assert covers(expires_after_s(successor), LONG_MS)
    assert grant.job.message.timeout_ms == SHORT_MS


# Guards against: a message without a known route whose lease has no length.
def test_lease_of_message_without_route_covers_accepted_timeout() -> None:
    partition = Partition()
    partition.put(message("m1", route="other", timeout_ms=LONG_MS))
    [grant] = partition.lease()
    assert grant.job.message.timeout_ms == LONG_MS
    assert covers(expires_after_s(partition), LONG_MS)


class _EdgeProcess:
    """A dispatcher on the cluster's edge process, with its own copy of the cluster state."""

    def __init__(self, cluster: StoreCluster, workers: ModelWorkers) -> None:
        self._cluster = cluster
        self.state = ClusterState()
        cluster.load_state(self.state)
        me = Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 1)
        settings = BootSettings(node_name="edge-1", machine_class="edge", ip="10.1.0.1")
        self.dispatcher = Dispatcher(me, cluster.edge, self.state, self, settings, workers, random.Random(1))

    def learn(self) -> None:
        """Receive all updates that the controllers have published."""
        self._cluster.load_state(self.state)

    async def finish(self, request: FinishLease, deadline: float) -> LeaseUpdateResponse:
        answer: Any = await self._cluster.call(0, request)
        assert isinstance(answer, LeaseUpdateResponse)
        return answer


class _PunctualWorkers(ModelWorkers):
    """Workers that stop working on a job at the timeout that they are given."""

    successes = 0

    async def deliver(self, endpoint: Endpoint, job: LeasedJob, timeout_s: float) -> DeliveryOutcome:
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await super().deliver(endpoint, job, timeout_s)
        except TimeoutError:
            return DeliveryOutcome("unknown", WorkerFeedback.LOST, reason="timeout")
        self.successes += outcome.result == "success"
        return outcome


# Guards against: the same with the real store and dispatcher, of which one may learn of the change 4 s later.
@pytest.mark.parametrize("learns_later", ["neither", "store", "edge"])
def test_message_succeeds_once_after_its_timeout_was_raised(learns_later: str) -> None:
    workers = _PunctualWorkers({"10.2.0.1:8080": 4}, run_s=8.0)

    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        worker = PlatformWorker("i-1", "s", "10.2.0.1:8080", "z", 4, "ready", 0)
        cluster.publish("workers", PlatformWorkerList([worker]))
        cluster.configure(with_timeout(2, SHORT_MS))
        await asyncio.sleep(1.0)
        edge = _EdgeProcess(cluster, workers)
        reference = await cluster.stored(message("m1", timeout_ms=SHORT_MS, delay_ms=2_000))
        cluster.stores[0].ignores_updates = learns_later == "store"
        cluster.configure(with_timeout(3, LONG_MS))
        if learns_later != "edge":
            edge.learn()
        edge.dispatcher.start()
        await asyncio.sleep(4.0)
        cluster.stores[0].ignores_updates = False
        cluster.configure(with_timeout(3, LONG_MS))
        edge.learn()
        await asyncio.sleep(40.0)
        assert (await cluster.status(reference)).state == "completed"
        await edge.dispatcher.stop(3.0)

    play(work)
    assert workers.successes == 1
    assert workers.timeouts[-1] == LONG_MS / 1000
    assert workers.max_in_flight == {"10.2.0.1:8080": 1}
    assert len(workers.begun) == (1 if learns_later == "neither" else 2)
