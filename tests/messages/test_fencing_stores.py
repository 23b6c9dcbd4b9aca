"""A deposed, disconnected or paused primary reports no stale state and grants no leases."""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.protocol.leases import ExtendLease, LeaseRequest, LeaseResponse
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import MessageStatusRequest
from tests.support.message_store import EDGE_ADDRESS, StoreCluster, message, play

RECEIVER = "callback:10.9.0.1:8080"
CALLBACK_URL = "http://10.9.0.1:8080/done"


async def depose_unreachable_primary(cluster: StoreCluster) -> None:
    """Let store 1 take over while store 0 is disconnected from all other stores and all controllers."""
    cluster.stores[0].cut(*cluster.stores[1:])
    cluster.stores[0].ignores_updates = True
    cluster.place([cluster.entry(0, 2, primary=1)])
    await asyncio.sleep(1.0)


class TestMessageStatus:
    def test_deposed_primary_does_not_report_stale_state(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            await depose_unreachable_primary(cluster)
            [job] = await cluster.lease(store=1)
            assert await cluster.finish(job.lease, "success", store=1, signature="s") == "taken"
            assert (await cluster.status(reference, store=1)).state == "completed"
            assert (await cluster.status(reference, store=0)).state == "unavailable"

        play(work)

    def test_deposed_primary_does_not_report_message_of_successor_as_unknown(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            await depose_unreachable_primary(cluster)
            reference = await cluster.stored(message("m1"), store=1)
            assert (await cluster.status(reference, store=0)).state == "unavailable"

        play(work)

    def test_unknown_message_requires_new_confirmation(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            cluster.stores[0].cut(*cluster.stores[1:])
            assert (await cluster.status("0-9-9")).state == "unavailable"

        play(work)

    def test_end_is_reported_only_after_commit(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            [job] = await cluster.lease()
            cluster.stores[0].cut(*cluster.stores[1:])
            ending = asyncio.create_task(cluster.finish(job.lease, "success", signature="s"))
            await asyncio.sleep(0.05)
            assert (await cluster.status(reference)).state == "unavailable"
            assert await ending == "unavailable"

        play(work)

    def test_status_with_recent_quorum_needs_no_replica_message(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            before = cluster.network.messages
            assert (await cluster.status(reference)).state == "queued"
            assert cluster.network.messages == before + 2

        play(work)

    def test_status_of_idle_primary_is_confirmed_by_quorum(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            await asyncio.sleep(5.0)
            assert (await cluster.status(reference)).state == "queued"
            assert (await cluster.status("0-9-9")).state == "unknown"

        play(work)

    @pytest.mark.parametrize("frozen_s", [0.5, 1.2, 5.0, 20.0])
    def test_paused_primary_confirms_quorum_before_it_reports_status(self, frozen_s: float) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            cluster.stores[0].freeze()
            cluster.stores[0].ignores_updates = True
            question = asyncio.create_task(cluster.call(0, MessageStatusRequest(reference), timeout=30.0))
            cluster.place([cluster.entry(0, 2, primary=1)])
            await asyncio.sleep(frozen_s)
            [job] = await cluster.lease(store=1)
            assert await cluster.finish(job.lease, "success", store=1) == "taken"
            cluster.stores[0].thaw()
            assert (await question).state in ("unavailable", "not_primary")

        play(work)


class TestLeaseUpdates:
    def test_deposed_primary_does_not_report_lease_of_successor_as_gone(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            await depose_unreachable_primary(cluster)
            [job] = await cluster.lease(store=1, pull=True, visibility_ms=3_000)
            assert await cluster.finish(job.lease, "success", store=1) == "taken"
            assert await cluster.finish(job.lease, "success", store=0) == "unavailable"
            assert (await cluster.call(0, ExtendLease(job.lease))).status == "unavailable"

        play(work)

    @pytest.mark.parametrize("frozen_s", [0.5, 1.2, 5.0, 20.0])
    def test_extension_unread_during_pause_keeps_lease(self, frozen_s: float) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            [job] = await cluster.lease(pull=True, visibility_ms=1_000)
            other = asyncio.create_task(
                cluster.lease(pull=True, wait_ms=round(frozen_s * 1000) + 900, visibility_ms=1_000)
            )
            await asyncio.sleep(0.9)
            cluster.stores[0].freeze()
            extending = asyncio.create_task(cluster.call(0, ExtendLease(job.lease), timeout=30.0))
            await asyncio.sleep(frozen_s)
            cluster.stores[0].thaw()
            assert (await extending).status == "taken"
            assert await cluster.finish(job.lease, "success") == "taken"
            assert await other == []

        play(work)


class TestWallClockSteps:
    """A step of the wall clock neither ends a message nor drops an ended one early."""

    @pytest.mark.parametrize("step_s", [-3_600, -30, 30, 100, 3_600])
    def test_clock_step_does_not_drop_ended_message(
        self, step_s: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def work(cluster: StoreCluster) -> None:
            begun_at, right = cluster.loop.time(), cluster.wall_ms
            monkeypatch.setattr(
                cluster, "wall_ms", lambda: right() + (cluster.loop.time() > begun_at + 10.0) * step_s * 1000
            )
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            [job] = await cluster.lease()
            assert await cluster.finish(job.lease, "success", signature="s") == "taken"
            await asyncio.sleep(50.0)  # less than status_s, the retention of ended messages, which is 60 s
            assert (await cluster.status(reference)).state == "completed"
            cluster.place([cluster.entry(0, 2, primary=1)])
            await asyncio.sleep(1.0)
            assert (await cluster.status(reference, store=1)).state == "completed"

        play(work)

    @pytest.mark.parametrize("step_s", [-3_600, 30, 100, 3_600])
    def test_clock_step_before_takeover_keeps_delay(
        self, step_s: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def work(cluster: StoreCluster) -> None:
            begun_at, right = cluster.loop.time(), cluster.wall_ms
            monkeypatch.setattr(
                cluster, "wall_ms", lambda: right() + (cluster.loop.time() > begun_at + 2.0) * step_s * 1000
            )
            await cluster.start()
            reference = await cluster.stored(message("m0", delay_ms=8_000))
            sent_at = cluster.loop.time()
            await asyncio.sleep(3.0)
            cluster.place([cluster.entry(0, 2, primary=1)])
            await asyncio.sleep(1.0)
            assert (await cluster.status(reference, store=1)).state == "queued"
            assert len(await cluster.lease(store=1, wait_ms=6_000)) == 1
            assert cluster.loop.time() - sent_at == pytest.approx(8.0, abs=0.1)

        play(work)


class TestGrants:
    def test_deposed_primary_grants_no_call_back(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0", callback_url=CALLBACK_URL))
            [job] = await cluster.lease()
            assert await cluster.finish(job.lease, "success", signature="s") == "taken"
            await depose_unreachable_primary(cluster)
            [callback_job] = await cluster.lease(store=1, service=RECEIVER)
            assert await cluster.finish(callback_job.lease, "success", store=1) == "taken"
            assert await cluster.lease(store=0, service=RECEIVER, wait_ms=100) == []

        play(work)

    def test_call_back_without_quorum_stays_pending(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0", callback_url=CALLBACK_URL))
            [job] = await cluster.lease()
            assert await cluster.finish(job.lease, "success", signature="s") == "taken"
            cluster.stores[0].cut(*cluster.stores[1:])
            await asyncio.sleep(1.0)
            assert await cluster.lease(service=RECEIVER, wait_ms=100) == []
            cluster.network.heal_all()
            [callback_job] = await cluster.lease(service=RECEIVER, wait_ms=5_000)
            assert await cluster.finish(callback_job.lease, "success") == "taken"

        play(work)

    def test_dead_dispatcher_gets_no_lease_until_it_is_alive(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            edge = Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 1)
            cluster.announce(Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 1, status=1))
            await asyncio.sleep(0.1)
            assert await cluster.lease(wait_ms=300) == []
            cluster.announce(Member(edge.name, edge.role, edge.address, "z", "r", 1, status=2))
            await asyncio.sleep(0.1)
            assert len(await cluster.lease()) == 1

        play(work)

    def test_long_poll_of_dispatcher_declared_dead_grants_nothing(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            polling = asyncio.create_task(cluster.lease(wait_ms=1_000))
            await asyncio.sleep(0.1)
            cluster.announce(Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 1, status=1))
            await asyncio.sleep(0.1)
            await cluster.stored(message("m0"))
            assert await polling == []

        play(work)

    def test_pull_lease_covers_visibility_timeout_after_latest_delivery(self) -> None:
        """A lease must cover the visibility timeout even if the job reaches its worker late.

        The dispatcher returns jobs that are older than 0.8 s, and an offer to a worker lasts up to 0.15 s.
        """

        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            await cluster.lease(pull=True, visibility_ms=3_000)
            transferred_at = cluster.loop.time() + 0.95
            assert len(await cluster.lease(pull=True, wait_ms=9_000, visibility_ms=3_000)) == 1
            assert cluster.loop.time() - transferred_at >= 3.0

        play(work)

    def test_response_contains_time_from_request_to_lease(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            asking = asyncio.create_task(cluster.call(0, LeaseRequest("edge-1", 1, "s", 1, 2_000)))
            await asyncio.sleep(0.7)
            await cluster.stored(message("m0"))
            await asyncio.sleep(0.1)
            cluster.stores[0].freeze()
            await asyncio.sleep(1.0)
            cluster.stores[0].thaw()
            answer = await asking
            assert isinstance(answer, LeaseResponse)
            assert len(answer.jobs) == 1
            assert 690 <= answer.leased_after_ms <= 740

        play(work)
