"""Calls of pull workers at any edge process.

A repeated job end is acknowledged again, and the status is 409 only if the lease is gone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from urllib.parse import quote

import pytest
from multidict import CIMultiDict

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.intake.admission import ClientRequest
from hollowusher.intake.intake_service import IntakeService
from hollowusher.intake.pull_worker_headers import worker_lease_id
from hollowusher.intake.store_client import StoreClient
from hollowusher.protocol.leases import LeasedJob
from hollowusher.simulation.addresses import host_of
from hollowusher.simulation.event_loop import SimulatedProcess
from tests.support.message_store import StoreCluster, message, play

IDS = ["m", "a/b", "50%", "a b", "what?", "50%25"]
RESULTS = ["200", "500", "422", "503", "429", "400", "504"]
SIGNATURE = "3e1b.07"


class EdgeProcess:
    """An edge process without sockets, with the interface that pull workers use."""

    def __init__(self, cluster: StoreCluster, number: int) -> None:
        address = f"10.1.0.{number}:7780"
        cluster.network.power_on(host_of(address))
        self.state = ClusterState()
        self.cluster = cluster
        self.name_in_path: Callable[[str], str] = lambda name: name  # as a worker's library writes it
        transport = cluster.network.transport(SimulatedProcess(f"edge-{number}"), address)
        store = StoreClient(transport, self.state, cluster.loop.time)
        self.intake = IntakeService(
            self.state, store, None, lambda service, partitions: [0], cluster.loop.time
        )

    async def call(self, path: str, job: LeasedJob, result: str = "") -> int:
        """Make a worker's call about a job; return the status of the response."""
        self.cluster.load_state(self.state)
        headers = {"Host": "10.0.0.1", "X-Lease-Id": worker_lease_id(job.lease, job.message.id)}
        if result:
            headers["X-Job-Result"] = result
        if result == "200":
            headers["X-Server-Signature"] = SIGNATURE
        target = f"/{path}/{self.name_in_path(job.message.id)}"
        answer = await self.intake.handle(ClientRequest("POST", target, CIMultiDict(headers), b""))
        return answer.status

    async def end(self, job: LeasedJob, result: str) -> int:
        return await self.call("job-end", job, result)

    async def extend(self, job: LeasedJob) -> int:
        return await self.call("job-extend", job)


async def lease_pull_job(cluster: StoreCluster) -> tuple[EdgeProcess, EdgeProcess, LeasedJob]:
    """Start the cluster; return two edge processes and a job that a pull worker has leased."""
    await cluster.start()
    edges = EdgeProcess(cluster, 11), EdgeProcess(cluster, 12)
    await cluster.stored(message("m", ordering_key="k"))
    (job,) = await cluster.lease(pull=True, visibility_ms=3_000)
    return *edges, job


@pytest.mark.parametrize("result", RESULTS)
def test_a_repeated_end_is_acknowledged_at_another_edge(result: str) -> None:
    async def work(cluster: StoreCluster) -> None:
        one, other, job = await lease_pull_job(cluster)
        assert await one.end(job, result) == 200
        assert await other.end(job, result) == 200
        assert await one.end(job, result) == 200

    play(work)


@pytest.mark.parametrize("result", RESULTS)
def test_a_repeated_end_is_acknowledged_after_the_primary_is_lost(result: str) -> None:
    async def work(cluster: StoreCluster) -> None:
        one, other, job = await lease_pull_job(cluster)
        assert await one.end(job, result) == 200
        cluster.stores[0].kill()
        cluster.place([cluster.entry(0, 2, 1)])
        assert await other.end(job, result) == 200

    play(work)


@pytest.mark.parametrize("result", RESULTS)
def test_a_repeated_end_is_acknowledged_after_the_primary_restarts(result: str) -> None:
    async def work(cluster: StoreCluster) -> None:
        one, other, job = await lease_pull_job(cluster)
        assert await one.end(job, result) == 200
        cluster.stores[0].kill(power=False)
        await cluster.stores[0].start()
        cluster.announce(cluster.stores[0].member())
        cluster.place([cluster.entry(0, 2, 0)])
        assert await other.end(job, result) == 200

    play(work)


@pytest.mark.parametrize("result", RESULTS)
def test_an_end_whose_response_was_lost_with_the_primary_is_acknowledged(result: str) -> None:
    """The worker repeats the job end at another edge, which cannot know whether the first was taken."""

    async def work(cluster: StoreCluster) -> None:
        one, other, job = await lease_pull_job(cluster)
        first = asyncio.ensure_future(one.end(job, result))
        await asyncio.sleep(0.004)
        cluster.stores[0].kill()
        cluster.place([cluster.entry(0, 2, 1)])
        assert await other.end(job, result) == 200
        assert await first in (200, 503)

    play(work)


@pytest.mark.parametrize("message_id", IDS)
@pytest.mark.parametrize("write", [str, partial(quote, safe=""), quote], ids=["plain", "quoted", "path"])
def test_a_worker_may_percent_encode_the_id_in_the_path(message_id: str, write: Callable[[str], str]) -> None:
    """Libraries for HTTP do so; the end of such a job got 409."""

    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        edge = EdgeProcess(cluster, 11)
        edge.name_in_path = write
        await cluster.stored(message(message_id))
        (job,) = await cluster.lease(pull=True, visibility_ms=3_000)
        assert await edge.extend(job) == 200
        assert await edge.end(job, "200") == 200

    play(work)


def test_without_a_primary_the_status_is_503_and_not_409() -> None:
    async def work(cluster: StoreCluster) -> None:
        one, other, job = await lease_pull_job(cluster)
        for store in cluster.stores:
            store.kill()
        assert await one.end(job, "200") == 503
        assert await other.extend(job) == 503

    play(work)


def test_a_lease_can_be_extended_at_any_edge_and_after_a_takeover() -> None:
    async def work(cluster: StoreCluster) -> None:
        one, other, job = await lease_pull_job(cluster)
        for edge in (one, other, one, other):
            await asyncio.sleep(2.0)
            assert await edge.extend(job) == 200
        cluster.stores[0].kill()
        cluster.place([cluster.entry(0, 2, 1)])
        for edge in (one, other):
            await asyncio.sleep(2.0)
            assert await edge.extend(job) == 200
        assert await one.end(job, "200") == 200
        assert await other.extend(job) == 409

    play(work)


def test_a_job_is_not_granted_again_before_its_visibility_timeout() -> None:
    async def work(cluster: StoreCluster) -> None:
        one, _, job = await lease_pull_job(cluster)
        await asyncio.sleep(2.0)
        assert await one.extend(job) == 200
        last_extension = cluster.loop.time()
        cluster.stores[0].kill()
        cluster.place([cluster.entry(0, 2, 1)])
        (again,) = await cluster.lease(store=1, wait_ms=8_000, pull=True, visibility_ms=3_000)
        assert cluster.loop.time() - last_extension >= 3.0
        assert again.message.ordering_key == "k"
        assert await one.end(job, "200") == 409
        assert await one.end(again, "200") == 200

    play(work)
