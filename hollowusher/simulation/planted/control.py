"""Planted faults of the control plane: agreement, chain, orders, distribution."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from hollowusher.configuration import orders
from hollowusher.coordination.chain import chain_replicator
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.messages.partition.partition_primary import PartitionPrimary
from hollowusher.messages.records import MessageStatus
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ChainWritten
from hollowusher.simulation.planted.registry import HERDS, Patches, attack, planted
from hollowusher.simulation.stand_ins import ProcessParts

# ---- the control plane


@planted("LOST", "CONFIG", kinds=("kill", "power", "disk", "cut", "cut_one_way", *HERDS))
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

    real = patches.set(chain_replicator.ChainReplicator, "_forward_to_successor", pass_on)


@planted("CONFIG", script=(attack(2, "cut_core", "edge-3", for_s=10.0), attack(15, "cut_core", for_s=10.0)))
def _reads_not_confirmed(patches: Patches) -> None:
    async def confirms(agreement: ViewConsensus, epoch: int) -> bool:
        return True

    patches.set(ViewConsensus, "majority_confirms", confirms)
    from hollowusher.coordination.controller.voter_group import VoterGroup

    patches.set(VoterGroup, "has_quorum", lambda group, view: True)


@planted(
    "LOST",
    "CONFIG",
    "MIXED",
    "TWICE",
    script=(
        attack(3, "disk", "edge-1", for_s=0.5),
        attack(3.1, "power", "edge-2", for_s=2.0, beside=True),
        attack(3.2, "kill", "edge-3", for_s=0.6, beside=True),
        attack(10, "herd_disk", "edge-1"),
        attack(20, "herd_disk", "edge-3"),
    ),
)
def _wiped_voter_votes(patches: Patches) -> None:
    async def disk_id(parts: ProcessParts) -> str:
        return f"disk of {parts.settings.node_name}"

    patches.set(ProcessParts, "_disk_id", disk_id)


@planted("CONFIG")
def _if_match_not_checked(patches: Patches) -> None:
    real = orders.apply_order

    def apply(state: Any, order: Any) -> Any:
        matching = attrs.evolve(order, if_match=state.generation) if attrs.has(type(order)) else order
        return real(state, matching)

    from hollowusher.coordination.controller import state_service

    patches.set(state_service, "apply_order", apply)


@planted("CONFIG")
def _repeated_order_forgotten(patches: Patches) -> None:
    patches.set(orders, "_generation_taken", lambda state, digest: None)


@planted("CONFIG")
def _generation_not_checked(patches: Patches) -> None:
    patches.set(orders, "_check_generation", lambda state, content: None)


@planted(test="tests/coordination/test_cluster_state.py")
def _older_items_replace_newer(patches: Patches) -> None:
    def apply(state: ClusterState, item: Any) -> bool:
        state._sources[item.key] = (item.origin, item.counter)
        if state.versions.get(item.key) == list(item.version):
            return False
        state.versions[item.key] = list(item.version)
        state._store_value(item)
        return True

    patches.set(ClusterState, "_apply", apply)


@planted("CONFIG", "UNSERVED", "ROUTE", "MIXED")
def _configuration_not_distributed(patches: Patches) -> None:
    real = ClusterState._apply

    def apply(state: ClusterState, item: Any) -> bool:
        if item.key == "configuration" and state.configuration is not None:
            return False
        return real(state, item)

    patches.set(ClusterState, "_apply", apply)


@planted("LOST", "MIXED")
def _completed_told_too_soon(patches: Patches) -> None:
    real = PartitionPrimary.status

    def status(primary: PartitionPrimary, key: Any, want_body: bool) -> Any:
        answer = real(primary, key, want_body)
        entry = primary.table.entries.get(key)
        leased = entry is not None and entry.status is MessageStatus.LEASED
        return evolve(answer, state="completed") if leased else answer

    patches.set(PartitionPrimary, "status", status)
