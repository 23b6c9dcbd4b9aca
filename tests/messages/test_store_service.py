"""The store service over a simulated network: message lifecycle, quorums, takeovers and waiting requests."""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.protocol.leases import ExtendLease, LeaseRequest
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import MessageStatusResponse
from tests.support.message_store import EDGE_ADDRESS, SYNC_S, StoreCluster, configuration, message, play


class TestLifeOfAMessage:
    def test_put_lease_finish_status(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m1"))
            assert await cluster.status(reference, body=True) == MessageStatusResponse("queued", "", b"m1")
            [job] = await cluster.lease()
            assert (job.message.id, job.message.body, job.attempt) == ("m1", b"m1", 0)
            assert await cluster.lease() == []
            assert await cluster.finish(job.lease, "success", signature="sig") == "taken"
            assert await cluster.status(reference, body=True) == MessageStatusResponse(
                "completed", "sig", None
            )

        play(work)

    def test_single_store_needs_no_peers(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m1"))
            [job] = await cluster.lease()
            assert await cluster.finish(job.lease, "success") == "taken"

        play(work, stores=1, tolerated=0)

    def test_same_id_is_stored_once(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            first, second = await asyncio.gather(cluster.put(message("m1")), cluster.put(message("m1")))
            assert first == second == await cluster.put(message("m1"))
            assert len(await cluster.lease(most=5)) == 1

        play(work)

    def test_repeated_result_gets_the_same_response(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m1"))
            [job] = await cluster.lease()
            assert [await cluster.finish(job.lease, "failed") for _ in range(2)] == ["taken", "taken"]
            [again] = await cluster.lease(wait_ms=1_000)
            assert again.attempt == 1
            assert [await cluster.finish(again.lease, "success") for _ in range(2)] == ["taken", "taken"]
            assert await cluster.finish(job.lease, "success") == "gone"

        play(work)

    def test_invalid_requests_are_answered(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            assert await cluster.finish("nonsense", "success") == "gone"
            assert (await cluster.call(0, ExtendLease("0-1-2"))).status == "gone"
            assert (await cluster.status("x")).state == "unknown"
            assert (await cluster.status("0-1-1")).state == "unknown"
            assert (await cluster.status("7-1-1")).state == "not_primary"

        play(work)

    def test_only_the_primary_serves_requests(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            assert (await cluster.put(message("m1"), store=1)).status == "not_primary"
            assert (await cluster.status("0-1-1", store=2)).state == "not_primary"
            assert await cluster.finish("0-1-1-1", "success", store=1) == "not_primary"

        play(work)


class TestQuorum:
    def test_put_is_stored_after_two_syncs(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            begun = cluster.loop.time()
            await cluster.stored(message("m1"))
            assert cluster.loop.time() - begun >= SYNC_S
            holders = [
                store
                for store in cluster.stores
                if any(b"m1" in record for _, record in store.log.crash(cluster.random_source).replay())
            ]
            assert len(holders) >= 2

        play(work)

    def test_put_commits_without_one_replica(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            cluster.stores[1].kill()
            for number in range(5):
                begun = cluster.loop.time()
                await cluster.stored(message(f"m{number + 1}"))
                assert cluster.loop.time() - begun < 0.1

        play(work)

    def test_put_is_not_acknowledged_without_quorum(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            for store in cluster.stores[1:]:
                store.kill()
            assert (await cluster.put(message("m1"))).status == "unknown"
            assert await cluster.lease(most=1) == []
            assert (await cluster.status(reference)).state == "unavailable"
            assert (await cluster.status(reference, body=True)).body == b"m0"
            await cluster.stores[1].start()
            await asyncio.sleep(2.0)
            assert (await cluster.status(reference)).state == "queued"
            assert (await cluster.put(message("m1"))).status == "stored"
            assert {job.message.id for job in await cluster.lease(most=5)} == {"m0", "m1"}

        play(work)

    def test_lease_without_quorum_is_cancelled(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            cluster.stores[0].cut(*cluster.stores[1:])
            assert await cluster.lease(wait_ms=1_500) == []
            cluster.network.heal_all()
            await asyncio.sleep(2.0)
            assert len(await cluster.lease(wait_ms=1_000)) == 1

        play(work)


class TestTakeover:
    def test_next_primary_has_all_messages_and_leases(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            references = [await cluster.stored(message(f"m{n}")) for n in range(20)]
            leased = await cluster.lease(most=5)
            ended = leased[0]
            assert await cluster.finish(ended.lease, "success", signature="s0") == "taken"
            cluster.stores[0].kill()
            cluster.place([cluster.entry(0, 2, primary=1)])
            await asyncio.sleep(0.5)
            states = [(await cluster.status(reference, store=1)).state for reference in references]
            assert states == ["completed"] + ["queued"] * 19
            assert (await cluster.put(message("m1"), store=1)).reference == references[1]
            rest = await cluster.lease(store=1, most=30)
            assert len(rest) == 15  # four leases of the old primary are still valid
            for job in leased[1:]:
                assert await cluster.finish(job.lease, "success", store=1) == "taken"
            assert await cluster.finish(ended.lease, "success", store=1) == "taken"

        play(work)

    def test_power_loss_of_all_stores_loses_nothing(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            references = [await cluster.stored(message(f"m{n}")) for n in range(10)]
            jobs = await cluster.lease(most=3)
            await cluster.finish(jobs[0].lease, "success", signature="s0")
            await cluster.finish(jobs[1].lease, "refused")
            for store in cluster.stores:
                store.kill()
            await asyncio.sleep(1.0)
            await asyncio.gather(*(store.start() for store in cluster.stores))
            await asyncio.sleep(2.0)
            states = [(await cluster.status(reference)).state for reference in references]
            assert states == ["completed", "dead_letter"] + ["queued"] * 8

        for seed in range(5):
            play(work, seed=seed)

    def test_old_primary_is_fenced(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            old = cluster.stores[0]
            old.freeze()
            cluster.place([cluster.entry(0, 2, primary=1)])
            await asyncio.sleep(2.0)
            [job] = await cluster.lease(store=1)
            cluster.stores[0].thaw()
            assert await cluster.lease(store=0) == []
            assert (await cluster.put(message("m1"))).status in ("unknown", "not_primary")
            assert await cluster.finish(job.lease, "success", store=1) == "taken"

        play(work)

    def test_partitioned_primary_grants_nothing(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            cluster.stores[0].cut(*cluster.stores[1:])
            cluster.stores[0].ignores_updates = True
            cluster.place([cluster.entry(0, 2, primary=1)])
            await asyncio.sleep(1.0)
            assert len(await cluster.lease(store=1)) == 1
            assert await cluster.lease(store=0, wait_ms=500) == []

        play(work)

    def test_request_waits_for_takeover(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            cluster.place([cluster.entry(0, 2, primary=2)])
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert (await cluster.status(reference, store=2)).state == "queued"

        play(work)

    def test_queue_survives_change_of_replicas(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            cluster.place([cluster.entry(0, 2, primary=0, replicas=[0, 1, 2])])
            await cluster.stored(message("m0"))
            [job] = await cluster.lease()
            cluster.place([cluster.entry(0, 3, primary=0, replicas=[0, 1, 3])])
            await asyncio.sleep(1.0)
            assert await cluster.finish(job.lease, "success") == "taken"
            assert (
                cluster.stores[3].service._replicas[0].table.entries.keys()
                == cluster.stores[0].service._replicas[0].table.entries.keys()
            )

        play(work, stores=4)

    def test_planned_stop_waits_for_new_placement(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            stopping = cluster.stores[0].process.run(cluster.stores[0].service.stop())
            await asyncio.sleep(0.5)
            assert not stopping.done()
            await cluster.stored(message("m0"))
            cluster.place([cluster.entry(0, 2, primary=1)])
            await asyncio.wait_for(stopping, 1.0)
            assert len(await cluster.lease(store=1, wait_ms=500)) == 1

        play(work)

    def test_planned_stop_times_out(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await asyncio.wait_for(cluster.stores[0].process.run(cluster.stores[0].service.stop()), 4.5)

        play(work)


class TestWaiting:
    def test_waiting_request_gets_new_job_at_once(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("warm"))
            await cluster.lease()
            waiting = asyncio.create_task(cluster.lease(wait_ms=5_000))
            await asyncio.sleep(1.0)
            begun = cluster.loop.time()
            await cluster.put(message("m1"))
            [job] = await waiting
            assert job.message.id == "m1"
            assert cluster.loop.time() - begun < 0.05

        play(work)

    def test_waiting_request_times_out(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            begun = cluster.loop.time()
            assert await cluster.lease(wait_ms=700) == []
            assert cluster.loop.time() - begun == pytest.approx(0.7, abs=0.02)

        play(work)

    def test_concurrent_jobs_go_to_all_waiting_requests(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            waiting = [asyncio.create_task(cluster.lease(wait_ms=5_000)) for _ in range(3)]
            await asyncio.sleep(0.5)
            await asyncio.gather(*(cluster.put(message(f"m{n}")) for n in range(3)))
            jobs = [job for task in waiting for job in await task]
            assert sorted(job.message.id for job in jobs) == ["m0", "m1", "m2"]

        play(work)

    def test_requeued_jobs_go_to_all_waiting_requests(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            for number in range(3):
                await cluster.stored(message(f"m{number}"))
            assert len(await cluster.lease(most=3)) == 3
            waiting = [asyncio.create_task(cluster.lease(wait_ms=3_000, incarnation=2)) for _ in range(3)]
            await asyncio.sleep(0.1)
            cluster.announce(Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 2))
            await asyncio.sleep(0.2)
            assert all(task.done() for task in waiting)
            assert sorted(job.message.id for task in waiting for job in task.result()) == ["m0", "m1", "m2"]

        play(work)

    # Guards against: jobs of a store's last partitions that wait until the first ones have none.
    def test_the_most_urgent_job_of_all_partitions_is_leased_first(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start(partitions=3)
            for number, partition in enumerate((2, 0, 1, 0, 2)):
                await cluster.put(message(f"m{number}"), partition=partition)
                await asyncio.sleep(0.01)
            await cluster.put(message("urgent", priority=-1), partition=2)
            leased = [job.message.id for _ in range(6) for job in await cluster.lease()]
            assert leased == ["urgent", "m0", "m1", "m2", "m3", "m4"]

        play(work)

    def test_dispatchers_are_notified_of_unrequested_jobs(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m1"))
            await asyncio.sleep(0.2)
            assert [note.service for note in cluster.job_notifications] == ["s"]
            await asyncio.sleep(1.0)
            assert 3 <= len(cluster.job_notifications) <= 5
            await cluster.lease()
            await asyncio.sleep(0.5)
            count = len(cluster.job_notifications)
            await asyncio.sleep(2.0)
            assert len(cluster.job_notifications) == count

        play(work)

    def test_delayed_message_is_leased_when_due(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            accepted = cluster.loop.time()
            await cluster.stored(message("m1", delay_ms=1_500))
            assert await cluster.lease() == []
            [_] = await cluster.lease(wait_ms=5_000)
            assert 1.5 <= cluster.loop.time() - accepted < 1.6

        play(work)

    def test_rate_limit_spreads_jobs(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            cluster.configure(configuration(2, s=20.0))
            for number in range(120):
                await cluster.stored(message(f"m{number}"))
            times: list[float] = []
            while len(times) < 110:
                jobs = await cluster.lease(most=50, wait_ms=1_000)
                times += [cluster.loop.time()] * len(jobs)
            for start in times:
                assert sum(start <= time <= start + 5 for time in times) <= 20 * 5 * 1.1 + 5
            assert times[-1] - times[0] < 110 / 19 + 1

        play(work)


class TestLeasesOfDeadDispatchers:
    def test_push_leases_of_restarted_dispatcher_are_released_at_once(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m1"))
            await cluster.lease()
            assert await cluster.lease() == []
            cluster.announce(Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 2))
            assert len(await cluster.lease(wait_ms=200, incarnation=2)) == 1

        play(work)

    def test_push_leases_of_dead_but_not_of_leaving_dispatcher_are_released(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m1"))
            await cluster.lease()
            cluster.announce(Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 1, status=1, leaving=True))
            assert await cluster.lease(wait_ms=200) == []
            cluster.announce(Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 1, status=3))
            assert await cluster.lease(wait_ms=200) == []
            other = await cluster.call(0, LeaseRequest("edge-2", 1, "s", 1, 200))
            assert len(other.jobs) == 1

        play(work)

    def test_pull_leases_outlive_their_dispatcher_until_they_expire(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m1"))
            [job] = await cluster.lease(pull=True, visibility_ms=3_000)
            cluster.announce(Member("edge-1", "edge", EDGE_ADDRESS, "z", "r", 2))
            for _ in range(4):
                await asyncio.sleep(1.0)
                assert (await cluster.call(0, ExtendLease(job.lease))).status == "taken"
            extended_at = cluster.loop.time()
            assert len(await cluster.lease(pull=True, wait_ms=10_000, visibility_ms=3_000)) == 1
            assert cluster.loop.time() - extended_at >= 3.0
            assert (await cluster.call(0, ExtendLease(job.lease))).status == "gone"
            assert await cluster.finish(job.lease, "success") == "gone"

        play(work)

    def test_paused_primary_does_not_expire_leases(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m1"))
            [job] = await cluster.lease(pull=True, visibility_ms=3_000)
            other = asyncio.create_task(cluster.lease(pull=True, wait_ms=7_000, visibility_ms=3_000))
            await asyncio.sleep(0.1)
            cluster.stores[0].freeze()
            await asyncio.sleep(5.0)
            cluster.stores[0].thaw()
            await asyncio.sleep(0.2)
            assert (await cluster.call(0, ExtendLease(job.lease), timeout=20.0)).status == "taken"
            assert await other == []

        play(work)

    def test_extension_requires_quorum(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m1"))
            [job] = await cluster.lease(pull=True, visibility_ms=30_000)
            cluster.stores[0].cut(*cluster.stores[1:])
            await asyncio.sleep(1.0)
            assert (await cluster.call(0, ExtendLease(job.lease))).status == "unavailable"

        play(work)


class TestCallBacks:
    URL = "http://10.9.0.1:8080/done"
    SERVICE = "callback:10.9.0.1:8080"

    def test_call_back_is_pending_until_delivered(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m1", callback_url=self.URL))
            [job] = await cluster.lease()
            assert await cluster.lease(service=self.SERVICE) == []
            await cluster.finish(job.lease, "success", signature="sig")
            [callback_job] = await cluster.lease(service=self.SERVICE, wait_ms=100)
            assert (callback_job.message.id, callback_job.message.callback_url) == ("m1", self.URL)
            assert (callback_job.state, callback_job.signature, callback_job.message.body) == (
                "completed",
                "sig",
                b"",
            )
            assert await cluster.finish(callback_job.lease, "failed") == "taken"
            [again] = await cluster.lease(service=self.SERVICE, wait_ms=2_000)
            assert again.lease != callback_job.lease
            assert await cluster.finish(again.lease, "success") == "taken"
            assert await cluster.lease(service=self.SERVICE, wait_ms=5_000) == []

        play(work)

    def test_pending_call_back_survives_takeover(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            for name in ("m1", "m2"):
                await cluster.stored(message(name, callback_url=self.URL))
            for job in await cluster.lease(most=2):
                await cluster.finish(job.lease, "refused")
            callback_job = await cluster.lease(service=self.SERVICE, most=2, wait_ms=100)
            await cluster.finish(callback_job[0].lease, "success")
            cluster.stores[0].kill()
            cluster.place([cluster.entry(0, 2, primary=1)])
            [left] = await cluster.lease(store=1, service=self.SERVICE, most=2, wait_ms=1_000)
            assert left.message.id == callback_job[1].message.id
            assert left.state == "dead_letter"

        play(work)


def test_lease_request_covers_all_partitions() -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start(partitions=4)
        for number in range(4):
            answer = await cluster.put(message(f"m{number}"), partition=number)
            assert answer.status == "stored"
        answer = await cluster.call(0, LeaseRequest("edge-1", 1, "s", 10, 0))
        assert sorted(job.message.id for job in answer.jobs) == ["m0", "m1", "m2", "m3"]

    play(work)
