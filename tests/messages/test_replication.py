"""Replicas: merging, comparison, streams, epochs, learners, the scrub, and random faults over a network."""

from __future__ import annotations

import asyncio
import random

import pytest

from hollowusher.messages import records
from hollowusher.messages.partition.partition_table import (
    BUCKET_COUNT,
    CLOCK_MARGIN_MS,
    PartitionTable,
    RecordCache,
)
from hollowusher.messages.records import MessageKey, MessageState, MessageStatus
from hollowusher.messages.replication.anti_entropy import compare_with_summary
from hollowusher.messages.replication.deferred_copies import MAX_DEFERRAL_S
from hollowusher.messages.replication.outgoing_record import OutgoingRecord
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.messages.replication.replication_stream import MAX_QUEUED_BYTES
from hollowusher.protocol.placement import PartitionPlacement
from hollowusher.protocol.replication import RecordBatch, ReplicaSummary, ReplicateRequest, ReplicateResponse
from hollowusher.simulation.addresses import host_of
from hollowusher.storage.memory import MemoryLog
from hollowusher.transport.interface import PeerError
from tests.support.message_store import EDGE_ADDRESS, EPOCH_MS, StoreCluster, message, play

KEPT_MS = 60_000 + CLOCK_MARGIN_MS


def new_table(log: MemoryLog | None = None) -> PartitionTable:
    return PartitionTable(0, log or MemoryLog(segments=256), RecordCache(100_000), 60_000)


def put_record(sequence: int, body: bytes = b"body") -> bytes:
    new = message(f"m{sequence}", body=body)
    return records.pack_put(0, (1, sequence), records.AcceptedMessage(EPOCH_MS, EPOCH_MS, 1, new))


def state_record(
    key: MessageKey, version: records.RecordVersion, status: MessageStatus, ended_ms: int = EPOCH_MS
) -> bytes:
    return records.pack_state(0, key, MessageState(version, status, ended_wall_ms=ended_ms, id=f"m{key[1]}"))


def host(cluster: StoreCluster, store: int, partition: int = 0) -> PartitionReplica:
    return cluster.stores[store].service._replicas[partition]


def content(cluster: StoreCluster, store: int) -> dict[MessageKey, list[int]]:
    """Return the version summaries at a store, except those of messages that it may have dropped already."""
    retained_since = cluster.wall_ms() - 50_000
    return {
        key: entry.version_summary()
        for key, entry in sorted(host(cluster, store).table.entries.items())
        if entry.state is None or not entry.status.has_ended or entry.state.ended_wall_ms > retained_since
    }


class TestTable:
    def test_records_merge_in_any_order(self) -> None:
        history = [
            put_record(1),
            state_record((1, 1), (1, 3), MessageStatus.LEASED),
            put_record(2),
            state_record((1, 1), (2, 1), MessageStatus.QUEUED),
            state_record((1, 1), (2, 5), MessageStatus.COMPLETED),
            state_record((1, 2), (2, 2), MessageStatus.DEAD_LETTER),
            put_record(4),
        ]
        expected: list[int] = []
        for seed in range(20):
            table, shuffled = new_table(), history * 2
            random.Random(seed).shuffle(shuffled)
            for record in shuffled:
                table.apply(record, EPOCH_MS)
            expected = expected or table.bucket_digests()
            assert table.bucket_digests() == expected
            assert table.entries[(1, 1)].status is MessageStatus.COMPLETED
            assert table.read_put_record(table.entries[(1, 1)]) is None
            assert table.read_put_record(table.entries[(1, 2)]) == put_record(2)

    def test_replay_restores_the_same_table(self) -> None:
        for seed in range(10):
            random_source = random.Random(seed)
            log = MemoryLog(segments=256)
            table = new_table(log)
            for sequence in range(50):
                table.apply(put_record(sequence), EPOCH_MS)
                if random_source.random() < 0.5:
                    status = random_source.choice(list(MessageStatus))
                    table.apply(state_record((1, sequence), (1, 100 + sequence), status), EPOCH_MS)
            table.fence_older_epochs(7)
            log._unsynced.clear()
            after_log = log.crash(random_source)
            after = new_table(after_log)
            for position, record in after_log.replay():
                after.replay(record, records.unpack_header(record), position, EPOCH_MS)
            assert after.bucket_digests() == table.bucket_digests()
            assert after.minimum_epoch == 7
            assert after_log.free_bytes() == log.free_bytes()

    def test_dropped_messages_release_all_log_space(self) -> None:
        log = MemoryLog(segments=256)
        empty = log.free_bytes()
        table = new_table(log)
        for sequence in range(10):
            table.apply(put_record(sequence), EPOCH_MS)
            table.apply(state_record((1, sequence), (1, 50 + sequence), MessageStatus.DEAD_LETTER), EPOCH_MS)
            table.apply(put_record(sequence), EPOCH_MS)
        assert table.forget_expired(EPOCH_MS + KEPT_MS) == []
        assert len(table.forget_expired(EPOCH_MS + KEPT_MS + 1)) == 10
        assert log.free_bytes() == empty
        assert table._cache.used_bytes == 0
        assert table.put_bytes == 0

    def test_expired_end_is_not_merged(self) -> None:
        table = new_table()
        table.apply(state_record((1, 1), (1, 2), MessageStatus.COMPLETED), EPOCH_MS + KEPT_MS + 1)
        assert table.entries == {}

    def test_replay_drops_message_whose_end_was_dropped(self) -> None:
        log = MemoryLog(segments=256)
        record = put_record(1)
        position = log.append(record)
        table = new_table(log)
        certain_ms = EPOCH_MS + 60_000 + KEPT_MS + 1  # the retention of the message, and then that of its end
        table.replay(record, records.unpack_header(record), position, certain_ms)
        table.drop_outdated_messages(certain_ms - 1)
        assert len(table.entries) == 1
        table.drop_outdated_messages(certain_ms)
        assert table.entries == {}

    def test_live_records_survive_segment_reuse(self) -> None:
        log = MemoryLog(segment_bytes=4096, segments=16)
        table = new_table(log)
        log.set_move(table.relocate)
        table.fence_older_epochs(3)
        table.apply(put_record(0), EPOCH_MS)
        table.apply(state_record((1, 0), (1, 1), MessageStatus.QUEUED), EPOCH_MS)

        async def work() -> None:
            for sequence in range(2, 400):
                table.apply(put_record(sequence, b"x" * 300), EPOCH_MS)
                table.apply(
                    state_record((1, sequence), (1, 500 + sequence), MessageStatus.COMPLETED), EPOCH_MS
                )
                for key in table.forget_expired(EPOCH_MS + KEPT_MS + 1):
                    assert key != (1, 0)
                await log.sync()

        asyncio.run(work())
        first = table.entries[(1, 0)]
        first.cached_put_record = None
        assert table.read_put_record(first) == put_record(0)
        after_log = log.crash(random.Random(1))
        after = new_table(after_log)
        for position, record in after_log.replay():
            after.replay(record, records.unpack_header(record), position, EPOCH_MS)
        assert after.entries[(1, 0)].version == (1, 1)
        assert after.minimum_epoch == 3

    def test_minimum_epoch_never_decreases(self) -> None:
        table = new_table()
        table.fence_older_epochs(5)
        table.fence_older_epochs(3)
        assert table.minimum_epoch == 5


class TestComparing:
    def reconcile(self, one: PartitionTable, other: PartitionTable) -> int:
        """Compare two tables as the primary does, without a network; return the number of records sent."""
        moved = 0
        buckets = compare_with_summary(other, ReplicaSummary(0, 1, "x", one.bucket_digests())).buckets
        while buckets:
            answer = compare_with_summary(other, ReplicaSummary(0, 1, "x", [], one.bucket_versions(buckets)))
            more, incomplete = answer.extra
            pushed = list(one.requested_records(answer.wanted, incomplete))
            for record in answer.records:
                one.apply(record, EPOCH_MS)
            for record in pushed:
                other.apply(record, EPOCH_MS)
            moved += len(answer.records) + len(pushed)
            if not more:
                break
        return moved

    @pytest.mark.parametrize("seed", range(8))
    def test_both_tables_get_all_newest_records(self, seed: int) -> None:
        random_source = random.Random(seed)
        one, other, complete = new_table(), new_table(), new_table()
        for sequence in range(300):
            made = [
                put_record(sequence),
                state_record((1, sequence), (1, 1000 + sequence), MessageStatus.LEASED),
            ]
            if random_source.random() < 0.3:
                made.append(state_record((1, sequence), (2, sequence), MessageStatus.COMPLETED))
            for record in made:
                chosen = random_source.choice([(one,), (other,), (one, other)])
                for table in (*chosen, complete):
                    table.apply(record, EPOCH_MS)
        self.reconcile(one, other)
        assert one.bucket_digests() == other.bucket_digests() == complete.bucket_digests()
        assert self.reconcile(one, other) == 0

    def test_only_differing_records_are_sent(self) -> None:
        one, other = new_table(), new_table()
        for sequence in range(500):
            for table in (one, other):
                table.apply(put_record(sequence), EPOCH_MS)
        one.apply(state_record((1, 7), (1, 900), MessageStatus.LEASED), EPOCH_MS)
        other.apply(put_record(600), EPOCH_MS)
        assert self.reconcile(one, other) == 2

    def test_large_difference_is_sent_in_parts(self) -> None:
        one, other = new_table(), new_table()
        for sequence in range(0, 300 * BUCKET_COUNT, BUCKET_COUNT):
            other.apply(put_record(sequence, b"x" * 4_000), EPOCH_MS)
        assert self.reconcile(one, other) == 300
        assert one.bucket_digests() == other.bucket_digests()


class TestQuorums:
    def make(self, replicas: int, tolerated: int) -> PartitionReplica:
        ids = [f"s{n}/d" for n in range(replicas)]
        made = PartitionReplica("s0/d", new_table())
        made.set_placement(PartitionPlacement(0, 1, "s0/d", ids), tolerated)
        return made

    @pytest.mark.parametrize(
        ("replicas", "tolerated"), [(1, 0), (1, 1), (2, 1), (3, 1), (5, 2), (4, 1), (3, 0)]
    )
    def test_takeover_quorum_intersects_commit_quorum(self, replicas: int, tolerated: int) -> None:
        made = self.make(replicas, tolerated)
        assert made.commit_quorum == min(tolerated + 1, replicas)
        assert made.commit_quorum + made.takeover_quorum > replicas
        assert made.takeover_quorum <= max(made.commit_quorum, replicas)


class TestStreams:
    def test_dead_peer_is_dropped_and_catches_up(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            cluster.stores[2].kill()
            for number in range(1, 40):
                await cluster.stored(message(f"m{number}"))
                await asyncio.sleep(0.1)
            assert not host(cluster, 0).peer_progress["store-3/d1"].is_streaming
            await cluster.stores[2].start()
            await asyncio.sleep(2.0)
            await cluster.stored(message("last"))
            await asyncio.sleep(0.2)
            assert content(cluster, 2) == content(cluster, 0)

        play(work)

    def test_queue_for_unresponsive_peer_is_bounded(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            stream = cluster.stores[0].service._replicator.stream("store-3/d1")
            cluster.stores[0].cut(cluster.stores[2])
            puts = [cluster.stored(message(f"b{number}", body=b"x" * 40_000)) for number in range(300)]
            waiting = asyncio.gather(*puts)
            queued = 0
            while not waiting.done():
                await asyncio.sleep(0.0005)
                queued = max(queued, stream._queued_bytes)
            assert 4_000_000 < queued <= MAX_QUEUED_BYTES

        play(work, segments=1024)

    def test_concurrent_records_share_batches(self) -> None:
        batches: list[ReplicateRequest] = []

        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            cluster.network.observer = lambda _, __, sent: (
                batches.append(sent) if isinstance(sent, ReplicateRequest) else None
            )
            await asyncio.gather(*(cluster.stored(message(f"m{number}")) for number in range(1, 50)))
            await asyncio.sleep(MAX_DEFERRAL_S + 0.1)
            assert content(cluster, 1) == content(cluster, 0)
            assert content(cluster, 2) == content(cluster, 0)

        play(work)
        assert len(batches) < 50

    def test_older_epoch_is_rejected_after_restart(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            cluster.place([cluster.entry(0, 5, primary=1)])
            await asyncio.sleep(0.5)
            old = ReplicateRequest("store-1/d1", [RecordBatch(0, 1, [put_record(1)])], True)
            assert await cluster.call(2, old) == ReplicateResponse({0: 5})
            summary = ReplicaSummary(0, 4, "store-1/d1", [0] * 64, fence=True)
            assert (await cluster.call(2, summary)).status == "stale"
            cluster.stores[2].kill()
            await cluster.stores[2].start()
            with pytest.raises(PeerError, match="reset"):
                await cluster.call(2, old)
            assert await cluster.call(2, old) == ReplicateResponse({0: 5})
            assert (1, 1) not in host(cluster, 2).table.entries

        play(work)

    def test_epoch_received_with_records_is_durable(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.call(2, ReplicateRequest("store-2/d1", [RecordBatch(0, 7, [])], False))
            cluster.stores[2].kill()
            await cluster.stores[2].start()
            assert host(cluster, 2).table.minimum_epoch == 7

        for seed in range(4):
            play(work, seed=seed)

    def test_fenced_primary_resolves_waiting_puts(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            await asyncio.sleep(0.1)
            for store in cluster.stores[1:]:
                fence = ReplicaSummary(0, 9, "x", [0] * 64, fence=True)
                assert (await cluster.edge.call(store.address, fence, 1.0)).status == "ok"
            begun = cluster.loop.time()
            assert (await cluster.put(message("m1"))).status == "unknown"
            assert cluster.loop.time() - begun < 0.1
            assert (await cluster.put(message("m1"))).status == "not_primary"

        play(work)

    def test_full_disk_rejects_only_new_messages(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            cluster.stores[0].log = MemoryLog(segment_bytes=16_384, segments=16, sync_s=0.001)
            await cluster.start()
            count = 0
            while (await cluster.put(message(f"m{count}", body=b"x" * 1_000))).status == "stored":
                count += 1
            assert count > 20
            assert (await cluster.put(message("more", body=b"x" * 1_000))).status == "unavailable"
            for job in await cluster.lease(most=count):
                assert await cluster.finish(job.lease, "success") == "taken"
            assert (await cluster.put(message("more", body=b"x" * 1_000))).status == "stored"

        play(work)

    def test_failed_disk_accepts_no_messages(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            cluster.stores[0].log.failing = "broken"
            assert (await cluster.put(message("m1"))).status == "unavailable"
            cluster.stores[0].log.failing = ""
            put = asyncio.create_task(cluster.put(message("m2")))
            await asyncio.sleep(0.0035)
            cluster.stores[0].log.failing = "broken"
            assert (await put).status in ("stored", "unknown", "unavailable")
            assert (await cluster.put(message("m3"))).status == "unavailable"

        play(work)


class TestTakeover:
    def test_takeover_copies_records_of_single_replicas_to_all(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            reference = await cluster.stored(message("m0"))
            await asyncio.sleep(0.1)
            key = records.parse_reference(reference)
            assert key is not None
            for store, sequence in ((1, 1), (2, 2), (3, 3)):
                host(cluster, store).table.apply(put_record(sequence), cluster.wall_ms())
            newer = state_record(key[1], (1, key[1][1] + 50), MessageStatus.LEASED)
            host(cluster, 4).table.apply(newer, cluster.wall_ms())
            cluster.place([cluster.entry(0, 2, 2)])
            await asyncio.sleep(0.5)
            held = content(cluster, 2)
            assert len(held) == 4
            assert held[key[1]] == [1, key[1][1] + 50, 1]
            for store in range(5):
                known = content(cluster, store)
                assert known.keys() == held.keys()
                assert all(is_complete for _, _, is_complete in known.values())
            await asyncio.sleep(MAX_DEFERRAL_S)  # newest states that a quorum has are sent with a deferral
            assert all(content(cluster, store) == held for store in range(5))

        play(work, stores=5, tolerated=2)

    def test_records_rejected_for_old_epoch_are_sent_again(self) -> None:
        """The primary stays the same, but a replica receives the new epoch before the records arrive."""

        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            await cluster.stored(message("m0"))
            await asyncio.sleep(0.1)
            stream = cluster.stores[0].service._replicator.stream("store-2/d1")
            put = asyncio.create_task(cluster.put(message("m1")))
            while not any(lane.in_flight for lane in stream._lanes.values()):
                await asyncio.sleep(0.0001)
            for store in (1, 2):
                host(cluster, store).table.fence_older_epochs(2)
            cluster.place([cluster.entry(0, 2, 0)])
            assert (await put).status == "stored"
            await asyncio.sleep(1.0)
            assert content(cluster, 0) == content(cluster, 1) == content(cluster, 2)

        play(work)


def _entry(epoch: int, learners: list[str], primary: str = "s0/d") -> PartitionPlacement:
    return PartitionPlacement(0, epoch, primary, ["s0/d", "s1/d", "s2/d"], learners)


class TestPlacementDuringTakeover:
    """A learner that its primary forgot was never copied to, and the next lost disk lost the partition."""

    @pytest.mark.parametrize("is_epoch_durable", [False, True])
    @pytest.mark.parametrize("repeats", [1, 2])
    def test_learner_placed_in_the_epoch_of_the_takeover_is_tracked(
        self, is_epoch_durable: bool, repeats: int
    ) -> None:
        replica = PartitionReplica("s0/d", new_table())
        assert replica.apply_placement(_entry(1, []), 1, 1, now=0.0)
        replica.is_epoch_durable = is_epoch_durable
        replica.peer_progress["s1/d"].is_streaming = True
        for _ in range(repeats):
            assert not replica.apply_placement(_entry(1, ["s3/d"]), 1, 1, now=1.0)
        assert set(replica.peer_progress) == {"s1/d", "s2/d", "s3/d"}
        assert replica.peer_progress["s1/d"].is_streaming  # what the takeover has reached is kept
        assert (replica.epoch, replica.is_epoch_durable) == (1, is_epoch_durable)

    def test_learner_removed_and_placed_again_in_the_next_epoch_is_tracked(self) -> None:
        replica = PartitionReplica("s0/d", new_table())
        replica.apply_placement(_entry(1, ["s3/d"]), 1, 1, now=0.0)
        replica.peer_progress["s3/d"].is_caught_up = True
        assert replica.apply_placement(_entry(2, []), 1, 1, now=1.0)
        assert "s3/d" not in replica.peer_progress
        replica.apply_placement(_entry(2, ["s3/d"]), 1, 1, now=2.0)
        assert not replica.peer_progress["s3/d"].is_caught_up

    def test_learner_placed_after_the_primary_was_fenced_is_not_tracked(self) -> None:
        replica = PartitionReplica("s0/d", new_table())
        replica.apply_placement(_entry(1, []), 1, 1, now=0.0)
        replica.on_fenced(2)
        replica.apply_placement(_entry(1, ["s3/d"]), 1, 1, now=1.0)
        assert (replica.epoch, replica.peer_progress) == (0, {})

    @pytest.mark.parametrize("pause_s", [0.0, 0.003, 0.5])  # the epoch is on disk after 0.005 s
    def test_learner_placed_during_a_takeover_is_copied_and_reported(self, pause_s: float) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            for epoch, replicas in ((2, [0, 1, 2, 4]), (3, [0, 1, 2])):  # store 4 is no former replica
                cluster.place([cluster.entry(0, epoch, 0, replicas=replicas)])
                await asyncio.sleep(0.2)
            await cluster.stored(message("m0"))
            for store in cluster.stores[1:3]:
                store.kill()
            cluster.place([cluster.entry(0, 5, 0, replicas=[0, 1, 2])])  # not the next epoch: a takeover
            await asyncio.sleep(pause_s)
            cluster.place([cluster.entry(0, 5, 0, replicas=[0, 1, 2], learners=[3])])
            await asyncio.sleep(1.0)
            assert host(cluster, 0).primary is None
            await cluster.stores[1].start()
            await asyncio.sleep(4.0)
            assert content(cluster, 3) == content(cluster, 0)
            ready = cluster.learners_ready[0]
            assert (ready.partition, ready.epoch, ready.store_id) == (0, 5, "store-4/d1")

        play(work, stores=5)


class TestMovingReplicas:
    def test_learner_catches_up_and_is_reported(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            cluster.place([cluster.entry(0, 2, 0, replicas=[0, 1, 2])])
            for number in range(30):
                await cluster.stored(message(f"m{number}"))
            cluster.place([cluster.entry(0, 3, 0, replicas=[0, 1, 2], learners=[3])])
            await asyncio.sleep(3.0)
            ready = cluster.learners_ready[0]
            assert (ready.partition, ready.epoch, ready.store_id) == (0, 3, "store-4/d1")
            assert content(cluster, 3) == content(cluster, 0)
            await asyncio.sleep(3.0)
            assert (
                len(cluster.learners_ready) >= 2
            )  # the primary repeats the report until the placement changes

        play(work, stores=4)

    def test_report_of_a_learner_that_the_head_missed_is_repeated_at_once(self) -> None:
        """The next report came 2 s later, of 4.2 s that `catchUpS` leaves for everything."""

        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            cluster.place([cluster.entry(0, 2, 0, replicas=[0, 1, 2])])
            await asyncio.sleep(0.5)
            cluster.network.block("10.0.0.1", host_of(EDGE_ADDRESS), refuse=True)
            cluster.place([cluster.entry(0, 2, 0, replicas=[0, 1, 2], learners=[3])])
            await asyncio.sleep(1.0)
            assert not cluster.learners_ready
            cluster.network.heal_all()
            await asyncio.sleep(0.4)
            assert cluster.learners_ready

        play(work, stores=4)

    def test_store_that_is_too_large_to_be_replaced_in_time_is_told_before_a_loss(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            service = cluster.stores[0].service
            changes = []
            service.on_catch_up_size_changed = lambda: changes.append(service.catch_up_size.is_exceeded)
            service.catch_up_size.limit_bytes = 100_000
            for number in range(4):
                await cluster.stored(message(f"m{number}", body=bytes(30_000)))
            await asyncio.sleep(1.0)
            assert changes == [True]
            for job in await cluster.lease(most=4):
                assert await cluster.finish(job.lease, "success") == "taken"
            await asyncio.sleep(1.0)
            assert changes == [True, False]

        play(work)

    def test_chunks_of_many_primaries_wait_for_a_slow_disk(self) -> None:
        """Together they exceeded the unsynced bytes that a log takes, and each failed copy began anew."""

        async def work(cluster: StoreCluster) -> None:
            await cluster.start(partitions=40)
            cluster.stores[2].log.sync_s = 0.3
            calls = []
            for partition in range(40):
                keys = [(2, sequence) for sequence in range(1, 6)]
                accepted = records.AcceptedMessage(EPOCH_MS, EPOCH_MS, 1, message("m", body=bytes(50_000)))
                packed = [records.pack_put(partition, key, accepted) for key in keys]
                batch = RecordBatch(partition, 2, packed)
                calls.append(cluster.call(2, ReplicateRequest("store-1/d1", [batch], durable=True)))
            answers = await asyncio.gather(*calls)
            assert answers == [ReplicateResponse({})] * 40
            assert all(len(host(cluster, 2, partition).table.entries) == 5 for partition in range(40))

        play(work, segments=1024)

    def test_learner_does_not_count_towards_quorum(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            cluster.place([cluster.entry(0, 2, 0, replicas=[0, 1, 2], learners=[3])])
            await asyncio.sleep(0.5)
            for store in cluster.stores[1:3]:
                store.kill()
            assert (await cluster.put(message("m1"))).status == "unknown"

        play(work, stores=4)

    def test_commits_require_reported_learner(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            cluster.place([cluster.entry(0, 2, 0, replicas=[0, 1, 2], learners=[3])])
            await asyncio.sleep(1.0)
            assert cluster.learners_ready
            cluster.stores[3].freeze()
            put = asyncio.create_task(cluster.put(message("m1")))
            await asyncio.sleep(0.5)
            assert not put.done()
            cluster.stores[3].thaw()
            assert (await put).status == "stored"
            assert "m1" in {job.message.id for job in await cluster.lease(most=5)}

        play(work, stores=4)

    def test_dead_reported_learner_blocks_commits_until_next_placement(self) -> None:
        """The head controller may act on the report until it publishes a placement with a greater epoch."""

        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            cluster.place([cluster.entry(0, 2, 0, replicas=[0, 1, 2], learners=[3])])
            await asyncio.sleep(1.0)
            cluster.stores[3].kill()
            assert (await cluster.put(message("m1"))).status == "unknown"
            await asyncio.sleep(4.0)
            assert (await cluster.put(message("m1"))).status == "unknown"
            lost = cluster.learners_lost[0]
            assert (lost.partition, lost.epoch, lost.store_id) == (0, 2, "store-4/d1")
            cluster.place([cluster.entry(0, 3, 0, replicas=[0, 1, 2])])
            await asyncio.sleep(0.1)
            assert (await cluster.put(message("m1"))).status == "stored"

        play(work, stores=4)

    def test_takeover_compares_former_replicas(self) -> None:
        """Only stores 1 and 3 have a committed record; then 1 dies while 4 replaces 3."""

        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            cluster.place([cluster.entry(0, 2, 0, replicas=[0, 1, 2])])
            await asyncio.sleep(0.5)
            cluster.stores[0].cut(cluster.stores[1])
            await asyncio.sleep(1.5)
            reference = await cluster.stored(message("m1"))
            cluster.stores[0].kill()
            cluster.stores[1].cut(cluster.stores[2])
            cluster.place([cluster.entry(0, 3, 1, replicas=[0, 1, 3])])
            await asyncio.sleep(0.3)
            cluster.network.heal_all()
            state = "unavailable"
            while state == "unavailable":
                state = (await cluster.status(reference, store=1)).state
            assert state == "queued"

        play(work, stores=4)

    def test_takeover_waits_only_briefly_for_dead_former_replicas(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            cluster.place([cluster.entry(0, 2, 0, replicas=[0, 1, 2])])
            await asyncio.sleep(0.5)
            cluster.stores[2].kill()
            cluster.place([cluster.entry(0, 3, 1, replicas=[0, 1, 3])])
            await asyncio.sleep(1.5)
            await cluster.stored(message("m1"), store=1)

        play(work, stores=4)

    def test_moved_partition_is_dropped_after_retention(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            empty = cluster.stores[2].log.free_bytes()
            for number in range(5):
                await cluster.stored(message(f"m{number}"))
            cluster.place([cluster.entry(0, 2, 0, replicas=[0, 1, 3])])
            await asyncio.sleep(10.0)
            assert 0 in cluster.stores[2].service._replicas
            await asyncio.sleep(40.0)
            assert 0 not in cluster.stores[2].service._replicas
            assert cluster.stores[2].log.free_bytes() >= empty

        play(work, stores=4)


class TestScrub:
    def test_scrub_repairs_differences(self) -> None:
        async def work(cluster: StoreCluster) -> None:
            await cluster.start()
            keys = [await cluster.stored(message(f"m{number}", retention_ms=900_000)) for number in range(10)]
            await asyncio.sleep(MAX_DEFERRAL_S + 0.5)
            parsed = records.parse_reference(keys[3])
            assert parsed is not None
            for store in (1, 2):
                host(cluster, store).table._forget(parsed[1])
            extra = put_record(5)
            host(cluster, 1).table.apply(extra, cluster.wall_ms())
            await asyncio.sleep(150.0)
            assert content(cluster, 0) == content(cluster, 1) == content(cluster, 2)
            assert {job.message.id for job in await cluster.lease(most=20)} >= {"m3", "m5"}

        play(work)


class RandomFaults:
    """Random faults of one store at a time, with moving primaries and clients that retry until success."""

    def __init__(self, cluster: StoreCluster) -> None:
        self.cluster = cluster
        self.random_source = cluster.random_source
        self.epoch = 1
        self.primary = 0
        self.is_finished = False
        self.kept: dict[str, str] = {}  # message id -> reference
        self.put_order: dict[str, list[str]] = {}  # ordering key -> ids in the order of acceptance
        self.runs: list[tuple[str, str]] = []  # (id, result)
        self.succeeded: dict[str, set[str]] = {}  # id -> leases whose success was accepted
        self.running: dict[str, str] = {}  # message id -> lease of the worker that runs the message
        self.violations: list[str] = []

    async def client(self, name: str) -> None:
        for number in range(60):
            key = name if number % 2 else ""
            new = message(f"{name}-{number}", ordering_key=key, max_attempts=1_000, retention_ms=10_000_000)
            while not self.is_finished:
                try:
                    answer = await self.cluster.put(new, store=self.primary)
                except PeerError:
                    await asyncio.sleep(0.1)
                    continue
                if answer.status == "stored":
                    self.kept[new.id] = answer.reference
                    if key:
                        self.put_order.setdefault(key, []).append(new.id)
                    break
                await asyncio.sleep(0.1)
            await asyncio.sleep(self.random_source.random() * 0.6)

    async def worker(self) -> None:
        while not self.is_finished:
            try:
                jobs = await self.cluster.lease(
                    self.primary, most=3, wait_ms=300, pull=True, visibility_ms=3_000
                )
            except PeerError:
                await asyncio.sleep(0.1)
                continue
            await asyncio.gather(*(self.run(job.message.id, job.lease) for job in jobs))

    async def run(self, name: str, lease: str) -> None:
        self.check_order(name)
        if name in self.running:
            self.violations.append(f"{name} runs at two workers")
        self.running[name] = lease
        await asyncio.sleep(self.random_source.random() * 0.5)
        result = self.random_source.choice(["success", "success", "failed", "not_run"])
        self.runs.append((name, result))
        if self.running.get(name) == lease:
            del self.running[name]
        give_up_at = self.cluster.loop.time() + 2.0
        while self.cluster.loop.time() < give_up_at:
            try:
                answer = await self.cluster.finish(lease, result, store=self.primary, signature=lease)
            except PeerError:
                answer = "lost"
            if answer in ("taken", "gone"):
                if answer == "taken" and result == "success":
                    self.succeeded.setdefault(name, set()).add(lease)
                return
            await asyncio.sleep(0.1)

    def check_order(self, name: str) -> None:
        ran = {run for run, result in self.runs if result == "success"}
        key = name.partition("-")[0]
        order = self.put_order.get(key, [])
        if name in order:
            open_ones = [older for older in order[: order.index(name)] if older not in ran]
            if open_ones:
                self.violations.append(f"{name} before {open_ones}")

    async def fault(self) -> None:
        for _ in range(8):
            await asyncio.sleep(1.5 + self.random_source.random() * 2)
            victim = self.random_source.randrange(3)
            kind = self.random_source.choice(["kill", "power", "freeze", "cut", "move"])
            await self.inject_fault(victim, kind)

    async def inject_fault(self, victim: int, kind: str) -> None:
        store = self.cluster.stores[victim]
        if kind in ("kill", "power"):
            store.kill(power=kind == "power")
        elif kind == "freeze":
            store.freeze()
        elif kind == "cut":
            store.cut(*(other for other in self.cluster.stores if other is not store))
        await asyncio.sleep(self.random_source.random())
        if victim == self.primary and (kind == "move" or self.random_source.random() < 0.8):
            self.primary = (victim + self.random_source.choice([1, 2])) % 3
            self.epoch += 1
            self.cluster.place([self.cluster.entry(0, self.epoch, self.primary)])
        await asyncio.sleep(self.random_source.random() * 2)
        if kind in ("kill", "power"):
            await store.start()
        elif kind == "freeze":
            store.thaw()
        elif kind == "cut":
            self.cluster.network.heal_all()

    async def restart_all(self) -> None:
        for store in self.cluster.stores:
            store.kill()
        await asyncio.sleep(0.5)
        await asyncio.gather(*(store.start() for store in self.cluster.stores))

    async def drain(self) -> None:
        """Wait until all stored messages are completed."""
        for _ in range(600):
            states = set()
            for reference in self.kept.values():
                try:
                    states.add((await self.cluster.status(reference, store=self.primary)).state)
                except PeerError:
                    states.add("unavailable")
            if states == {"completed"}:
                return
            if "unknown" in states or "dead_letter" in states:
                break
            await asyncio.sleep(0.5)
        self.violations.append(f"states {states}")


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_lose_no_message(seed: int) -> None:
    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        faults = RandomFaults(cluster)
        workers = [asyncio.create_task(faults.worker()) for _ in range(3)]
        clients = [asyncio.create_task(faults.client(name)) for name in ("a", "b", "c")]
        await faults.fault()
        if seed % 2:
            await faults.restart_all()
        await asyncio.gather(*clients)
        await faults.drain()
        faults.is_finished = True
        await asyncio.gather(*workers)
        assert faults.violations == []
        assert len(faults.kept) == 180
        assert all(len(leases) == 1 for leases in faults.succeeded.values())
        await asyncio.sleep(25.0)
        assert content(cluster, 0) == content(cluster, 1) == content(cluster, 2)

    play(work, seed=seed)


def test_acknowledgement_of_resigned_primary_commits_nothing() -> None:
    """A late acknowledgement of records of a primary that has resigned must not commit them."""

    async def work(cluster: StoreCluster) -> None:
        await cluster.start()
        await cluster.stored(message("m0"))
        made = host(cluster, 0)
        assert made.primary is not None
        proposal = made.primary.propose_confirmation(cluster.loop.time())
        made.primary.outbox = []
        made.outstanding[proposal] = None
        made.resign()
        cluster.stores[0].service._replicator.on_acknowledged(
            "store-2/d1", [OutgoingRecord(0, proposal)], 1.0
        )
        assert not proposal.is_committed

    play(work)
