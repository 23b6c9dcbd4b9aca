"""Planted faults of membership: voters, views, placements, machines that come and go."""

from __future__ import annotations

from typing import Any

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.chain.chain_replicator import ChainReplicator
from hollowusher.coordination.consensus import paxos as view
from hollowusher.coordination.consensus import (
    reconfiguration,
    view_consensus,
    voter_health,
    voter_instructions,
    voter_state_machine,
)
from hollowusher.coordination.consensus import voter_set as voter_plan
from hollowusher.coordination.consensus.paxos import Acceptor
from hollowusher.coordination.consensus.seed_service import SeedService
from hollowusher.coordination.consensus.voter_state_machine import VoterStateMachine
from hollowusher.coordination.controller import view_reconfigurator
from hollowusher.coordination.distribution.cluster_client import ClusterClient
from hollowusher.coordination.placement import store_retirement
from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.coordination.placement.replica_planner import ReplicaPlanner
from hollowusher.messages.lease_service import LeaseService
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ChainWrite
from hollowusher.protocol.view import ReadView, ViewResponse
from hollowusher.simulation.cluster import DeploymentSize
from hollowusher.simulation.planted.registry import NEVER_S, Patches, fault_at, planted_fault

DARK_WITH_PLAIN_SEEDS = (fault_at(3, "seed_turnover", how="plain"), fault_at(4, "dark"))
TWO_REPLACED = (
    fault_at(3, "replace", "edge-3", for_s=1.0),
    fault_at(4, "replace", "edge-2", for_s=1.0),
    fault_at(5, "replace", "edge-1", for_s=1.0),
)


# ---- votes and views


@planted_fault("LIVENESS", "CONFIG", "LOST", fault_kinds=("herd_kill", "herd_power", "dark"))
def _votes_never_saved(patches: Patches) -> None:
    real = Acceptor.dump
    patches.replace(Acceptor, "dump", lambda acceptor: real(Acceptor(acceptor.name, acceptor.disk_id)))


def _released_at_once(patches: Patches, kind: type[Any]) -> None:
    """Have outputs of a kind leave before the disk has what they tell of."""
    real = VoterStateMachine._run_when_durable

    def run_when_durable(machine: VoterStateMachine, effect: Any) -> None:
        if isinstance(effect, kind):
            if machine._is_dirty and machine._after_save is None:
                machine._start_save()
            machine._run(effect, durable=True)
        else:
            real(machine, effect)

    patches.replace(VoterStateMachine, "_run_when_durable", run_when_durable)


@planted_fault(test="tests/coordination/consensus/test_view_consensus.py")
def _ballot_used_again(patches: Patches) -> None:
    _released_at_once(patches, voter_state_machine._OwnVote)


@planted_fault(test="tests/coordination/consensus/test_view_consensus.py")
def _promise_sent_before_it_is_saved(patches: Patches) -> None:
    _released_at_once(patches, voter_instructions.SendResponse)


@planted_fault("CONFIG", "LOST", "LIVENESS", fault_kinds=("cut_core", "cut_both", "race"))
def _majority_of_one(patches: Patches) -> None:
    for module in (view, view_consensus, voter_health, reconfiguration):
        if "quorum_size" in module.__dict__:
            patches.replace(module, "quorum_size", lambda base: 1)
        if "min_chain_length" in module.__dict__:
            patches.replace(module, "min_chain_length", lambda base: 1)


@planted_fault("LIVENESS", script=TWO_REPLACED)
def _voter_never_removed(patches: Patches) -> None:
    patches.replace(voter_plan, "_voters_to_replace", lambda base, health, now: [])


@planted_fault("LIVENESS", script=TWO_REPLACED)
def _newcomers_never_vote(patches: Patches) -> None:
    patches.replace(view_reconfigurator, "plan_voter_set_change", lambda *arguments, **named: None)


@planted_fault("LIVENESS", "LOST", script=DARK_WITH_PLAIN_SEEDS, size=DeploymentSize(plain_edges=3))
def _seed_forgets_the_view(patches: Patches) -> None:
    real_seed, real_client = SeedService.handle, ClusterClient.handle

    async def handle(seed: SeedService, message: Any) -> Any:
        answer = await real_seed(seed, message)
        return ViewResponse(None) if isinstance(answer, ViewResponse) else answer

    async def ask(client: ClusterClient, message: Any) -> Any:
        return ViewResponse(None) if isinstance(message, ReadView) else await real_client(client, message)

    patches.replace(SeedService, "handle", handle)
    patches.replace(ClusterClient, "handle", ask)


# ---- the chain's state as a whole


def _passed_on(patches: Patches, **lost: Any) -> None:
    """Have members keep states without some of their parts."""
    real = ChainReplicator._fill_record

    def whole(replicator: ChainReplicator, write: ChainWrite) -> ChainWrite | None:
        kept = real(replicator, write)
        return None if kept is None else evolve(kept, state=evolve(kept.state, **lost))

    patches.replace(ChainReplicator, "_fill_record", whole)


@planted_fault(
    "CONFIG",
    script=(
        fault_at(2, "ack_lost", how="all", for_s=3.0),
        fault_at(3, "kill", "edge-1", for_s=1.0, beside=True),
        fault_at(12, "ack_lost", how="all", for_s=3.0),
        fault_at(13, "kill", "edge-2", for_s=1.0, beside=True),
    ),
)
def _history_not_passed_on(patches: Patches) -> None:
    _passed_on(patches, history=[])


@planted_fault(
    "LIVENESS",
    "LOST",
    "MIXED",
    "TWICE",
    "UNSERVED",
    script=(
        fault_at(2, "kill", "store-1", for_s=2.0),
        fault_at(7, "disk", "store-2", for_s=1.0),
        fault_at(13, "power", "edge-1", for_s=4.0),
        fault_at(20, "disk", "store-3", for_s=1.0),
    ),
)
def _placement_not_passed_on(patches: Patches) -> None:
    _passed_on(patches, placement=None)


@planted_fault(
    "RETIRE",
    script=(
        fault_at(3, "retire", "store-1", how="plain"),
        fault_at(4.5, "power", "edge-1", for_s=4.0, beside=True),
    ),
    size=DeploymentSize(3, 1, 4),
)
def _retiring_not_passed_on(patches: Patches) -> None:
    _passed_on(patches, retiring={})


@planted_fault(test="tests/coordination/chain/test_chain.py")
def _state_of_an_older_epoch_installed(patches: Patches) -> None:
    def record_saved(member: ChainMember, write: ChainWrite) -> None:
        member.state, member.state_epoch = write.state, member.epoch

    patches.replace(ChainReplicator, "_rejection_reason", lambda replicator, write: "")
    patches.replace(ChainMember, "accepts", lambda member, write: member.in_chain)
    patches.replace(ChainMember, "record_saved", record_saved)


@planted_fault(
    "CONFIG",
    "LOST",
    script=(
        fault_at(2, "cut_core", "edge-1", for_s=3.0, how="refuse"),
        fault_at(9, "cut_core", "edge-2", for_s=3.0, how="refuse"),
        fault_at(16, "cut_core", "edge-3", for_s=3.0, how="refuse"),
        fault_at(23, "cut_core", "edge-1", for_s=3.0, how="refuse"),
    ),
)
def _chain_skips_a_silent_member(patches: Patches) -> None:
    real = ChainReplicator._forward_to_successor

    async def pass_on(replicator: ChainReplicator, write: ChainWrite) -> Any:
        answer = await real(replicator, write)
        if answer.ok or not answer.unreachable:
            return answer
        committed = replicator.member.commit(write)
        if committed is not None:
            replicator._on_state(committed)
        return evolve(answer, ok=True, unreachable="")

    patches.replace(ChainReplicator, "_forward_to_successor", pass_on)


# ---- placements


@planted_fault("LIVENESS", script=(fault_at(3, "disk", "store-1", for_s=1.0),))
def _lost_disk_not_replaced(patches: Patches) -> None:
    real = ReplicaPlanner.needs_copy

    def needs(planner: Any, replica: str) -> bool:
        return real(planner, replica) and not planner.states.has_lost_disk(replica)

    patches.replace(ReplicaPlanner, "needs_copy", needs)


@planted_fault("LIVENESS", script=(fault_at(3, "replace", "store-1", for_s=1.0, how="lost"),))
def _gone_store_not_replaced(patches: Patches) -> None:
    patches.replace(ReplicaPlanner, "needs_copy", lambda planner, replica: False)


@planted_fault("LOST", "UNSERVED", "LIVENESS", fault_kinds=("disk", "replace"))
def _learner_promoted_early(patches: Patches) -> None:
    real = ReplicaPlanner.promote_learners

    def promote(planner: Any, number: int, caught_up: Any) -> None:
        entry = planner.draft.entries[number]
        real(planner, number, [LearnerReport(number, entry.epoch, learner) for learner in entry.learners])

    patches.replace(ReplicaPlanner, "promote_learners", promote)


@planted_fault("LOST", "LIVENESS", "UNSERVED", fault_kinds=("retire",), size=DeploymentSize(3, 1, 4))
def _emptied_too_early(patches: Patches) -> None:
    patches.replace(store_retirement, "is_store_placed", lambda planned, name: False)
    patches.replace(store_retirement, "RETIRED_AFTER_S", 0.0)


@planted_fault("LIVENESS", "RETIRE", fault_kinds=("retire",), size=DeploymentSize(3, 1, 4))
def _emptied_never(patches: Patches) -> None:
    patches.replace(store_retirement, "RETIRED_AFTER_S", NEVER_S)


@planted_fault(
    "TWICE",
    "MIXED",
    "ORDER",
    "LOST",
    "CEILING",
    "UNSERVED",
    fault_kinds=("replace", "retire", "stop", "split"),
)
def _moved_primary_serves_on(patches: Patches) -> None:
    real = PartitionReplica.set_placement

    def place(replica: PartitionReplica, placed: Any, tolerated: int) -> None:
        if replica.primary is None or placed.primary == replica.own_store_id:
            real(replica, placed, tolerated)

    patches.replace(PartitionReplica, "set_placement", place)


@planted_fault(test="tests/messages/test_store_service.py")
def _lease_given_without_followers(patches: Patches) -> None:
    async def committed(service: LeaseService, replica: Any, grant: Any) -> bool:
        return True

    patches.replace(LeaseService, "_is_committed", committed)
    patches.replace(PartitionReplica, "has_recent_quorum", lambda replica, now, within_s: True)
