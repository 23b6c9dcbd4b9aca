"""Older and wrong rules, planted to see that the model check of a partition finds them."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from hollowusher.coordination.placement import replica_states
from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.coordination.placement.replica_planner import ReplicaPlanner
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.protocol.placement import PartitionPlacement
from hollowusher.simulation.model_check import head_model as partition_head

OLD_GONE_S = 8.0


def _old_planner() -> dict[tuple[Any, str], Any]:
    """A store that is away is copied and replaced after 8 s, whatever else is known (issue 40, C)."""
    return {
        (replica_states, "MISSING_AFTER_S"): OLD_GONE_S,
        (replica_states, "MISSING_AFTER_LEAVING_S"): OLD_GONE_S,
        (replica_states, "GONE_AFTER_S"): OLD_GONE_S,
        (replica_states, "UNDERLOADED_SHARE"): -1.0,
        (replica_states.ReplicaStates, "has_left"): lambda self, store_id: False,
    }


def _early_promotion() -> dict[tuple[Any, str], Any]:
    """A learner takes a replica's place before it is reported."""
    promote = ReplicaPlanner.promote_learners

    def promote_at_once(self: Any, number: int, caught_up: Any) -> None:
        entry = self.draft.entries[number]
        promote(self, number, {LearnerReport(number, entry.epoch, learner) for learner in entry.learners})

    return {(ReplicaPlanner, "promote_learners"): promote_at_once}


def _commit_without_learner() -> dict[tuple[Any, str], Any]:
    """Commits do not wait for a learner that was reported."""
    settle = PartitionReplica._commit_if_replicated

    def settle_without(self: PartitionReplica, proposal: Any) -> bool:
        self.required_learners = set()
        return settle(self, proposal)

    return {(PartitionReplica, "_commit_if_replicated"): settle_without}


def _epoch_led_again() -> dict[tuple[Any, str], Any]:
    """A restarted primary leads the epoch of its earlier life."""

    def is_led_by(self: PartitionReplica, incarnation: int) -> bool:
        return self.placement is not None and self.placement.primary == self.own_store_id

    return {(PartitionReplica, "_is_led_by"): is_led_by}


def _small_takeover() -> dict[tuple[Any, str], Any]:
    """A new primary serves without asking any other replica."""
    return {(PartitionReplica, "takeover_quorum"): property(lambda self: 1)}


def _forgotten_learner() -> dict[tuple[Any, str], Any]:
    """A placement that comes during a takeover, in its epoch, adds no learner to the peers (issue 82)."""
    apply = PartitionReplica.apply_placement

    def apply_without_peers(
        self: PartitionReplica, placement: PartitionPlacement, *arguments: Any, **keywords: Any
    ) -> bool:
        takes_over = self.primary is None and self.epoch == placement.epoch
        known = self.peer_progress
        begins = apply(self, placement, *arguments, **keywords)
        if takes_over and self.epoch:
            self.peer_progress = known
        return begins

    return {(PartitionReplica, "apply_placement"): apply_without_peers}


PLANTED_RULES = {
    "old-planner": _old_planner,
    "early-promotion": _early_promotion,
    "commit-without-learner": _commit_without_learner,
    "epoch-led-again": _epoch_led_again,
    "small-takeover": _small_takeover,
    "forgotten-learner": _forgotten_learner,
}


@contextmanager
def planting(name: str) -> Iterator[None]:
    """Have a wrong rule in force; an empty name plants nothing."""
    changes = PLANTED_RULES[name]() if name else {}
    before = {(owner, attribute): owner.__dict__[attribute] for owner, attribute in changes}
    partition_head._PLANNED.clear()
    try:
        for (owner, attribute), value in changes.items():
            setattr(owner, attribute, value)
        yield
    finally:
        for (owner, attribute), value in before.items():
            setattr(owner, attribute, value)
        partition_head._PLANNED.clear()
