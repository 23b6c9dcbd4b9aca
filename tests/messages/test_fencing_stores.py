"""A store that was deposed, cut off or frozen says nothing that it cannot know, and hands out nothing old."""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.protocol.leases import ExtendLease, LeaseRequest, LeaseResponse
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import MessageStatusRequest
from tests.support.message_store import EDGE_ADDRESS, StoreCluster, message, play

RECEIVER = "callback:10.9.0.1:8080"
CALLBACK_URL = "http://10.9.0.1:8080/done"


async def depose_unheard(cluster: StoreCluster) -> None:
    """Another primary takes over while the first one is cut off from all stores and controllers."""
    cluster.stores[0].cut(*cluster.stores[1:])
    cluster.stores[0].deaf = True
    cluster.place([cluster.entry(0, 2, primary=1)])
    await asyncio.sleep(1.0)


class TestReadsOfAMessage:
    def test_a_deposed_primary_does_not_tell_an_old_state(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            await depose_unheard(cluster)
            [job] = await cluster.lease(store=1)
            assert await cluster.finish(job.lease, "success", store=1, signature="s") == "taken"
            assert (await cluster.status(reference, store=1)).state == "completed"
            assert (await cluster.status(reference, store=0)).state == "unavailable"

        play(work)

    def test_a_deposed_primary_does_not_deny_a_message_that_its_successor_has_accepted(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            await depose_unheard(cluster)
            reference = await cluster.stored(message("m1"), store=1)
            assert (await cluster.status(reference, store=0)).state == "unavailable"

        play(work)

    def test_a_denial_is_confirmed_after_the_question_however_lately_a_quorum_followed(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            cluster.stores[0].cut(*cluster.stores[1:])
            assert (await cluster.status("0-9-9")).state == "unavailable"

        play(work)

    def test_an_end_is_reported_only_once_it_is_committed(self) -> None:
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

    def test_in_calm_times_a_state_costs_no_further_message(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            before = cluster.network.messages
            assert (await cluster.status(reference)).state == "queued"
            assert cluster.network.messages == before + 2

        play(work)

    def test_a_state_is_confirmed_where_nothing_was_heard_for_a_while(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            await asyncio.sleep(5.0)
            assert (await cluster.status(reference)).state == "queued"
            assert (await cluster.status("0-9-9")).state == "unknown"

        play(work)

    @pytest.mark.parametrize("frozen_s", [0.5, 1.2, 5.0, 20.0])
    def test_a_primary_that_was_frozen_asks_before_it_tells(self, frozen_s: float) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            cluster.stores[0].freeze()
            cluster.stores[0].deaf = True
            question = asyncio.create_task(cluster.call(0, MessageStatusRequest(reference), timeout=30.0))
            cluster.place([cluster.entry(0, 2, primary=1)])
            await asyncio.sleep(frozen_s)
            [job] = await cluster.lease(store=1)
            assert await cluster.finish(job.lease, "success", store=1) == "taken"
            cluster.stores[0].thaw()
            assert (await question).state in ("unavailable", "not_primary")

        play(work)


class TestEndsOfLeases:
    def test_a_deposed_primary_does_not_call_a_lease_of_its_successor_gone(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            await depose_unheard(cluster)
            [job] = await cluster.lease(store=1, pull=True, visibility_ms=3_000)
            assert await cluster.finish(job.lease, "success", store=1) == "taken"
            assert await cluster.finish(job.lease, "success", store=0) == "unavailable"
            assert (await cluster.call(0, ExtendLease(job.lease))).status == "unavailable"

        play(work)

    @pytest.mark.parametrize("frozen_s", [0.5, 1.2, 5.0, 20.0])
    def test_words_that_lie_unread_over_a_freeze_keep_their_lease(self, frozen_s: float) -> None:
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


class TestClockOfTheDay:
    """A step of the clock neither ends nor forgets a message, whatever is done while it lasts."""

    @pytest.mark.parametrize("step_s", [-3_600, -30, 30, 100, 3_600])
    def test_a_step_forgets_nothing(self, step_s: int, monkeypatch: pytest.MonkeyPatch) -> None:
        async def work(cluster: StoreCluster) -> None:
            begun_at, right = cluster.loop.time(), cluster.wall_ms
            monkeypatch.setattr(
                cluster, "wall_ms", lambda: right() + (cluster.loop.time() > begun_at + 10.0) * step_s * 1000
            )
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            [job] = await cluster.lease()
            assert await cluster.finish(job.lease, "success", signature="s") == "taken"
            await asyncio.sleep(50.0)  # status_s is 60
            assert (await cluster.status(reference)).state == "completed"
            cluster.place([cluster.entry(0, 2, primary=1)])
            await asyncio.sleep(1.0)
            assert (await cluster.status(reference, store=1)).state == "completed"

        play(work)

    @pytest.mark.parametrize("step_s", [-3_600, 30, 100, 3_600])
    def test_a_step_before_a_takeover_ends_nothing(
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
    def test_a_deposed_primary_hands_out_no_call_back(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0", callback_url=CALLBACK_URL))
            [job] = await cluster.lease()
            assert await cluster.finish(job.lease, "success", signature="s") == "taken"
            await depose_unheard(cluster)
            [told] = await cluster.lease(store=1, service=RECEIVER)
            assert await cluster.finish(told.lease, "success", store=1) == "taken"
            assert await cluster.lease(store=0, service=RECEIVER, wait_ms=100) == []

        play(work)

    def test_a_call_back_that_was_not_confirmed_is_owed_still(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0", callback_url=CALLBACK_URL))
            [job] = await cluster.lease()
            assert await cluster.finish(job.lease, "success", signature="s") == "taken"
            cluster.stores[0].cut(*cluster.stores[1:])
            await asyncio.sleep(1.0)
            assert await cluster.lease(service=RECEIVER, wait_ms=100) == []
            cluster.network.heal_all()
            [told] = await cluster.lease(service=RECEIVER, wait_ms=5_000)
            assert await cluster.finish(told.lease, "success") == "taken"

        play(work)

    def test_a_dispatcher_that_is_judged_dead_gets_no_lease_until_it_is_back(self) -> None:
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

    def test_a_long_poll_of_a_dispatcher_that_is_judged_dead_meanwhile_brings_nothing(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            polling = asyncio.create_task(cluster.lease(wait_ms=1_000))
            await asyncio.sleep(0.1)
            cluster.announce(Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 1, status=1))
            await asyncio.sleep(0.1)
            await cluster.stored(message("m0"))
            assert await polling == []

        play(work)

    def test_a_pull_job_stays_leased_for_its_time_from_the_latest_moment_of_its_hand_over(self) -> None:
        """Its process gives a job back that is older than 0.8 s, and offers it for 0.15 s at most."""

        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            await cluster.lease(pull=True, visibility_ms=3_000)
            transferred_at = cluster.loop.time() + 0.95
            assert len(await cluster.lease(pull=True, wait_ms=9_000, visibility_ms=3_000)) == 1
            assert cluster.loop.time() - transferred_at >= 3.0

        play(work)

    def test_an_answer_tells_how_long_after_its_request_the_jobs_were_leased(self) -> None:
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
