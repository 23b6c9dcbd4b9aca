"""Planted faults of the control plane: agreement, chain, orders, distribution."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from hollowusher.configuration import orders
from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.chain import chain_replicator
from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.chain.pending_change import PendingChange
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.coordination.controller.worker_list_timing import WorkerListTiming
from hollowusher.messages.partition.partition_primary import PartitionPrimary
from hollowusher.messages.records import MessageStatus
from hollowusher.messages.replication.partition_replicator import PartitionReplicator
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ChainWritten
from hollowusher.simulation.planted.registry import SIMULTANEOUS_FAULTS, Patches, fault_at, planted_fault
from hollowusher.simulation.stand_ins import SimulatedRoleProcess
from hollowusher.transport.fenced_transport import FencedTransport

# ---- the control plane


@planted_fault(
    "LOST", "CONFIG", fault_kinds=("kill", "power", "disk", "cut", "cut_one_way", *SIMULTANEOUS_FAULTS)
)
def _chain_answers_from_the_head(patches: Patches) -> None:
    async def pass_on(replicator: Any, write: Any) -> ChainWritten:
        asyncio.get_running_loop().create_task(_later(replicator, write))
        committed = replicator.member.commit(write)
        if committed is not None:
            replicator._on_state(committed)
        return ChainWritten(True, write.epoch)

    async def _later(replicator: Any, write: Any) -> None:
        await asyncio.sleep(2.0)
        await real(replicator, write)

    real = patches.replace(chain_replicator.ChainReplicator, "_forward_to_successor", pass_on)


@planted_fault(test="tests/coordination/controller/test_orders_of_deposed_head.py")
def _order_answered_for_the_state_held(patches: Patches) -> None:
    def on_answer(change: PendingChange, member: ChainMember) -> None:
        change.saved_state = member.state

    patches.replace(PendingChange, "on_saved", lambda change, write: None)
    patches.replace(PendingChange, "on_answer", on_answer)


@planted_fault(
    "CONFIG", script=(fault_at(2, "cut_core", "edge-3", for_s=10.0), fault_at(15, "cut_core", for_s=10.0))
)
def _reads_not_confirmed(patches: Patches) -> None:
    async def confirms(agreement: ViewConsensus, epoch: int) -> bool:
        return True

    patches.replace(ViewConsensus, "quorum_confirms", confirms)
    from hollowusher.coordination.controller.voter_monitor import VoterMonitor

    patches.replace(VoterMonitor, "has_quorum", lambda monitor, view: True)


@planted_fault(
    "LOST",
    "CONFIG",
    "MIXED",
    "TWICE",
    script=(
        fault_at(3, "disk", "edge-1", for_s=0.5),
        fault_at(3.1, "power", "edge-2", for_s=2.0, beside=True),
        fault_at(3.2, "kill", "edge-3", for_s=0.6, beside=True),
        fault_at(10, "herd_disk", "edge-1"),
        fault_at(20, "herd_disk", "edge-3"),
    ),
)
def _wiped_voter_votes(patches: Patches) -> None:
    async def disk_id(parts: SimulatedRoleProcess) -> str:
        return f"disk of {parts.settings.node_name}"

    patches.replace(SimulatedRoleProcess, "_disk_id", disk_id)


@planted_fault("CONFIG")
def _if_match_not_checked(patches: Patches) -> None:
    real = orders.apply_order

    def apply(state: Any, order: Any) -> Any:
        matching = attrs.evolve(order, if_match=state.generation) if attrs.has(type(order)) else order
        return real(state, matching)

    patches.replace(orders, "apply_order", apply)


@planted_fault("CONFIG")
def _repeated_order_forgotten(patches: Patches) -> None:
    patches.replace(orders, "_generation_taken", lambda state, digest: None)


@planted_fault("CONFIG")
def _generation_not_checked(patches: Patches) -> None:
    patches.replace(orders, "_check_generation", lambda state, content: None)


@planted_fault(test="tests/coordination/test_cluster_state.py")
def _older_items_replace_newer(patches: Patches) -> None:
    def apply(state: ClusterState, item: Any) -> bool:
        state._sources[item.key] = (item.origin, item.counter)
        if state.versions.get(item.key) == list(item.version):
            return False
        state.versions[item.key] = list(item.version)
        state._store_value(item)
        return True

    patches.replace(ClusterState, "_apply", apply)


@planted_fault("CONFIG", "UNSERVED", "ROUTE", "MIXED")
def _configuration_not_distributed(patches: Patches) -> None:
    real = ClusterState._apply

    def apply(state: ClusterState, item: Any) -> bool:
        if item.key == "configuration" and state.configuration is not None:
            return False
        return real(state, item)

    patches.replace(ClusterState, "_apply", apply)


@planted_fault("LOST", "MIXED")
def _completed_told_too_soon(patches: Patches) -> None:
    real = PartitionPrimary.status

    def status(primary: PartitionPrimary, key: Any, *, want_body: bool) -> Any:
        answer = real(primary, key, want_body=want_body)
        entry = primary.table.entries.get(key)
        leased = entry is not None and entry.status is MessageStatus.LEASED
        return evolve(answer, state="completed") if leased else answer

    patches.replace(PartitionPrimary, "status", status)


@planted_fault("FENCED", fault_kinds=("split",))
def _deposed_primary_calls_on(patches: Patches) -> None:
    async def call(transport: FencedTransport, address: str, message: Any, limit_s: float) -> Any:
        return await transport._transport.call(address, message, limit_s)

    patches.replace(FencedTransport, "call", call)
    patches.replace(PartitionReplicator, "on_rejected", lambda *arguments: None)


@planted_fault("DRAIN", test="tests/simulation/test_list_outages.py")
def _list_read_after_a_fixed_pause(patches: Patches) -> None:
    def from_settings(_cls: type[WorkerListTiming], settings: BootSettings) -> WorkerListTiming:
        return WorkerListTiming(settings.cloud_api.rate_per_s, max_backoff_s=4.0)

    patches.replace(WorkerListTiming, "from_settings", classmethod(from_settings))
