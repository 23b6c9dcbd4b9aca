"""Planted faults of stores: what is on disk, replicas, takeovers, answers to edge processes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from typing import Any

from hollowusher.coordination.chain import chain_replicator
from hollowusher.intake import store_client
from hollowusher.messages import records
from hollowusher.messages.lease_service import LeaseService
from hollowusher.messages.partition.partition_primary import PartitionPrimary
from hollowusher.messages.partition.partition_table import PartitionTable
from hollowusher.messages.replication import anti_entropy, partition_replicator
from hollowusher.messages.replication.catch_up_pacing import CatchUpPacer
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.messages.replication.partition_replicator import PartitionReplicator
from hollowusher.messages.store_service import StoreService
from hollowusher.protocol.leases import LeaseUpdateResponse
from hollowusher.protocol.messages import PutResponse
from hollowusher.simulation.planted.registry import (
    SIMULTANEOUS_FAULTS,
    TAKEOVER_FAULTS,
    Patches,
    fault_at,
    planted_fault,
)
from hollowusher.storage.memory import MemoryLog, MemorySlot
from hollowusher.transport.interface import PeerError

# ---- storage


@planted_fault("LOST", "MIXED", "UNSERVED", fault_kinds=SIMULTANEOUS_FAULTS)
def _no_sync_before_202(patches: Patches) -> None:
    async def sync(log: MemoryLog) -> None:
        await asyncio.sleep(0)

    patches.replace(MemoryLog, "sync", sync)


@planted_fault("LOST", "CONFIG", fault_kinds=SIMULTANEOUS_FAULTS)
def _control_state_not_saved(patches: Patches) -> None:
    async def save(replicator: Any) -> bool:
        return True

    patches.replace(chain_replicator.ChainReplicator, "_save", save)


@planted_fault("LOST", "CONFIG", fault_kinds=SIMULTANEOUS_FAULTS)
def _slots_saved_later(patches: Patches) -> None:
    real = MemorySlot.save

    async def save(slot: MemorySlot, value: bytes) -> None:
        asyncio.get_running_loop().create_task(_later(real(slot, value)))

    async def _later(work: Any) -> None:
        await asyncio.sleep(0.5)
        await work

    patches.replace(MemorySlot, "save", save)


# ---- replication


@planted_fault("LOST", "MIXED", "UNSERVED", fault_kinds=("store_alone",))
def _one_replica_commits(patches: Patches) -> None:
    real = PartitionReplica.set_placement

    def place(replica: PartitionReplica, placement: Any, tolerated: int) -> None:
        real(replica, placement, tolerated)
        replica.commit_quorum = 1

    patches.replace(PartitionReplica, "set_placement", place)


@planted_fault(test="tests/messages/test_replication.py")
def _fence_not_checked(patches: Patches) -> None:
    patches.replace(PartitionTable, "fence_older_epochs", lambda table, epoch: None)


@planted_fault(test="tests/messages/test_replication.py")
def _old_primary_serves_on(patches: Patches) -> None:
    patches.replace(PartitionReplica, "resign", lambda replica: None)


@planted_fault("LOST", "MIXED", "TWICE", "ORDER", "UNSERVED", fault_kinds=("lag_kill",))
def _takeover_without_comparing(patches: Patches) -> None:
    patches.replace(PartitionReplica, "may_serve", lambda replica, now: True)


@planted_fault("MIXED", "TWICE", "ORDER", "LOST", fault_kinds=("herd_kill", "kill"))
def _oldest_state_wins_at_replay(patches: Patches) -> None:
    real = PartitionTable.replay

    def replayed(table: PartitionTable, record: bytes, header: Any, position: Any, wall_ms: int) -> None:
        if header.kind == records.RecordKind.STATE:
            key, _ = records.unpack_state(record, header.version)
            entry = table.entries.get(key)
            if entry is not None and entry.state is not None:
                return
        real(table, record, header, position, wall_ms)

    patches.replace(PartitionTable, "replay", replayed)


@planted_fault("MIXED", "LOST", "TWICE", "UNSERVED", fault_kinds=("disk", "stop"))
def _learned_states_ignored(patches: Patches) -> None:
    real = PartitionTable._merge_state

    def merge(table: PartitionTable, record: bytes, version: Any, wall_ms: int, position: Any) -> Any:
        if version[0] < table.minimum_epoch and position is None:
            return None
        return real(table, record, version, wall_ms, position)

    patches.replace(PartitionTable, "_merge_state", merge)


# ---- answers to edge processes


@planted_fault("LOST", "MIXED", "UNSERVED", fault_kinds=("store_alone",))
def _put_answered_before_commit(patches: Patches) -> None:
    async def put(service: StoreService, request: Any) -> PutResponse:
        primary = await service._access.wait_for_primary(request.partition)
        if primary is None:
            return PutResponse("not_primary")
        kept = primary.put(request.message, service._now(), service._wall_ms())
        service._process_effects(service._replicas[request.partition])
        if isinstance(kept, PutResponse):
            return kept
        return PutResponse("stored", records.format_reference(request.partition, kept.key))

    patches.replace(StoreService, "_put", put)


@planted_fault("TWICE", "MIXED", "LOST", fault_kinds=("store_alone",))
def _end_not_recorded_before_answer(patches: Patches) -> None:
    async def answer(_service: LeaseService, _replica: Any, _primary: Any, taken: Any) -> LeaseUpdateResponse:
        return taken if isinstance(taken, LeaseUpdateResponse) else LeaseUpdateResponse("taken")

    patches.replace(LeaseService, "_lease_answer", answer)


@planted_fault("REFUSED", fault_kinds=(*TAKEOVER_FAULTS, "resets"))
def _put_repeated_to_another_partition(patches: Patches) -> None:
    real = store_client.StoreClient._call

    async def call(client: Any, target: Any, request: Any, deadline: float) -> Any:
        try:
            return await real(client, target, request, deadline)
        except PeerError as error:
            raise PeerError(error.step, error.peer, error.reason, sent=False) from None
        except store_client.PrimaryMovedError:
            raise PeerError("PutRequest", target.address, "moved", sent=False) from None

    patches.replace(store_client.StoreClient, "_call", call)


@planted_fault(
    "REFUSED",
    script=(
        fault_at(1, "resets", for_s=5.0),
        fault_at(9, "resets", for_s=5.0),
        fault_at(17, "kill", "store-1", for_s=1.0),
        fault_at(18, "resets", for_s=5.0, beside=True),
    ),
)
def _unknown_put_answered_503(patches: Patches) -> None:
    real = store_client.StoreClient.put

    async def put(client: Any, *arguments: Any, **named: Any) -> PutResponse:
        answer = await real(client, *arguments, **named)
        return PutResponse("unavailable") if answer.status == "unknown" else answer

    patches.replace(store_client.StoreClient, "put", put)


@planted_fault("TWICE", "MIXED", fault_kinds=(*TAKEOVER_FAULTS, "resets"))
def _repeated_put_kept_twice(patches: Patches) -> None:
    real = PartitionPrimary.put

    def put(primary: PartitionPrimary, message: Any, now: float, wall_ms: int) -> Any:
        primary._lifecycle.keys_by_id.pop(message.id, None)
        return real(primary, message, now, wall_ms)

    patches.replace(PartitionPrimary, "put", put)


@planted_fault("LOST", "UNSERVED", fault_kinds=("replace", "disk"), long_delay_s=25.0)
def _delay_begins_anew_at_each_repair(patches: Patches) -> None:
    def without_ages(_table: Any, found: Iterable[bytes], _read_wall_ms: Any) -> Iterator[bytes]:
        yield from found

    patches.replace(anti_entropy, "with_ages", without_ages)
    patches.replace(partition_replicator, "with_ages", without_ages)


@planted_fault(
    "LOST",
    "UNSERVED",
    fault_kinds=("disk_full", "kill", "stop"),
    test="tests/messages/test_disk_recovers.py",
)
def _refused_takeover_never_tried_again(patches: Patches) -> None:
    patches.replace(PartitionReplicator, "retry_storage", lambda replicator: None)


@planted_fault(
    "LOST", "UNSERVED", test="tests/simulation/test_long_days.py::test_large_bodies_outlive_lost_disks"
)
def _catch_up_at_a_fixed_pace(patches: Patches) -> None:
    fixed_bytes_per_s = 3 * 1024 * 1024

    def wait_s(_pacer: CatchUpPacer, _peer: str, sent_bytes: int, *_others: object) -> float:
        return sent_bytes / fixed_bytes_per_s

    patches.replace(CatchUpPacer, "wait_s", wait_s)
