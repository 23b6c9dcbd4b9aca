"""The placement that one run of the planner changes.  No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from hollowusher.coordination.placement.replica_states import ReplicaStates
from hollowusher.coordination.placement.zone_policy import ZonePolicy
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.placement import PartitionPlacement, Placement


class PlacementDraft:
    """A placement under construction, with the load of the stores in it.

    Invariant: a partition's epoch is greater than in the former placement if its primary, the primary's
    incarnation or its replicas have changed, or a learner was removed; otherwise it is the same.
    """

    def __init__(
        self,
        placement: Placement,
        states: ReplicaStates,
        tolerance: int,
        policy: ZonePolicy = ZonePolicy.SPREAD,
    ) -> None:
        entries = placement.partitions
        self.entries = {entry.partition: entry for entry in entries}
        self.states = states
        self.tolerance = tolerance
        self.policy = policy
        self.primary_load = Counter(entry.primary for entry in entries)
        self.replica_load = Counter(replica for entry in entries for replica in entry.replicas)
        learner_load = Counter(learner for entry in entries for learner in entry.learners)
        self.copy_load = self.replica_load + learner_load  # learners removed in this run still count
        self._former_epochs = {entry.partition: entry.epoch for entry in entries}

    # ---- questions

    @property
    def target_replica_count(self) -> int:
        """How many replicas a partition should have."""
        return min(2 * self.tolerance + 1, len(self.states.usable))

    def missing_replica_count(self, entry: PartitionPlacement) -> int:
        """Return how many replicas a partition lacks."""
        return max(0, self.target_replica_count - len(entry.replicas))

    def live_replica_count(self, entry: PartitionPlacement) -> int:
        """Return how many replicas of a partition are live."""
        return sum(replica in self.states.live for replica in entry.replicas)

    def has_all_replicas_live(self, entry: PartitionPlacement) -> bool:
        """Return whether all replicas are live, so that a move costs no more than a hand-over."""
        return self.live_replica_count(entry) == len(entry.replicas)

    def home_replica_count(self, replicas: Sequence[str], primary: str) -> int:
        """Return how many of these replicas are at home: in the zone of a primary, up to a commit quorum.

        It is 0 where the replicas are to be spread.
        """
        if self.policy is ZonePolicy.SPREAD:
            return 0
        zone = self.states.zone(primary)
        return min(self.tolerance + 1, sum(self.states.zone(replica) == zone for replica in replicas))

    # ---- changes

    def set_primary(self, entry: PartitionPlacement, primary: str) -> None:
        """Make a live replica the primary, in a new epoch."""
        self.primary_load[entry.primary] -= 1
        self.primary_load[primary] += 1
        self.entries[entry.partition] = evolve(
            entry,
            epoch=entry.epoch + 1,
            primary=primary,
            primary_incarnation=self.states.incarnation(primary),
        )

    def promote(self, entry: PartitionPlacement, learner: str, replaced: str | None) -> None:
        """Make a learner a replica in the place of another one, or an additional one, in a new epoch."""
        learners = [other for other in entry.learners if other != learner]
        self.replica_load[learner] += 1
        if replaced is not None:
            self.replica_load[replaced] -= 1
        self.entries[entry.partition] = evolve(
            entry,
            epoch=entry.epoch + 1,
            replicas=replicas_after(entry, learner, replaced),
            learners=learners,
        )

    def set_learners(self, entry: PartitionPlacement, learners: Sequence[str]) -> None:
        """Set the learners; the removal of one starts a new epoch, which voids the reports about it."""
        epoch = entry.epoch
        if set(entry.learners) - set(learners):
            epoch = max(epoch, self._former_epochs[entry.partition] + 1)
        self.copy_load.update(learner for learner in learners if learner not in entry.learners)
        self.entries[entry.partition] = evolve(entry, epoch=epoch, learners=list(learners))


def replicas_after(entry: PartitionPlacement, learner: str, replaced: str | None) -> list[str]:
    """Return a partition's replicas with a learner in the place of another one, or as an additional one."""
    if replaced is None:
        return [*entry.replicas, learner]
    return [learner if replica == replaced else replica for replica in entry.replicas]
