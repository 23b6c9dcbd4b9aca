"""The placement draft that one planner run modifies.  The module performs no I/O and reads no clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from hollowusher.coordination.placement.replica_states import ReplicaStates
from hollowusher.coordination.placement.zone_policy import ZonePolicy
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.placement import PartitionPlacement, Placement


class PlacementDraft:
    """A placement under construction, with the number of primaries and replicas on each store.

    Invariant: the epoch of a partition is greater than in the original placement if its primary, the
    incarnation of its primary or its replicas have changed, or if a learner was removed.  Otherwise the epoch
    is unchanged.
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
        self.copy_load = self.replica_load + learner_load  # still includes learners removed in this run
        self._original_epochs = {entry.partition: entry.epoch for entry in entries}

    # ---- queries

    @property
    def target_replica_count(self) -> int:
        """The number of replicas that each partition should have."""
        return min(2 * self.tolerance + 1, len(self.states.usable))

    def missing_replica_count(self, entry: PartitionPlacement) -> int:
        """Return how many replicas a partition needs to reach the target count."""
        return max(0, self.target_replica_count - len(entry.replicas))

    def live_replica_count(self, entry: PartitionPlacement) -> int:
        """Return how many replicas of a partition are live."""
        return sum(replica in self.states.live for replica in entry.replicas)

    def has_all_replicas_live(self, entry: PartitionPlacement) -> bool:
        """Return whether all replicas are live; only then does a move cost no more than a handover."""
        return self.live_replica_count(entry) == len(entry.replicas)

    def home_replica_count(self, replicas: Sequence[str], primary: str) -> int:
        """Return how many of `replicas` are in the home zone, which is the zone of `primary`.

        The count is limited to the size of a commit quorum.  It is 0 under `ZonePolicy.SPREAD`, which has no
        home zones.
        """
        if self.policy is ZonePolicy.SPREAD:
            return 0
        zone = self.states.zone(primary)
        return min(self.tolerance + 1, sum(self.states.zone(replica) == zone for replica in replicas))

    # ---- changes

    def set_primary(self, entry: PartitionPlacement, primary: str) -> None:
        """Make a live replica the primary and start a new epoch."""
        self.primary_load[entry.primary] -= 1
        self.primary_load[primary] += 1
        self.entries[entry.partition] = evolve(
            entry,
            epoch=entry.epoch + 1,
            primary=primary,
            primary_incarnation=self.states.incarnation(primary),
        )

    def promote(self, entry: PartitionPlacement, learner: str, replaced: str | None) -> None:
        """Make a learner a replica and start a new epoch.

        The learner takes the place of the replica `replaced`, or is added if `replaced` is None.
        """
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
        """Set the learners; removing a learner starts a new epoch, which invalidates the reports about it."""
        epoch = entry.epoch
        if set(entry.learners) - set(learners):
            epoch = max(epoch, self._original_epochs[entry.partition] + 1)
        self.copy_load.update(learner for learner in learners if learner not in entry.learners)
        self.entries[entry.partition] = evolve(entry, epoch=epoch, learners=list(learners))


def replicas_after(entry: PartitionPlacement, learner: str, replaced: str | None) -> list[str]:
    """Return a partition's replicas after a learner replaces `replaced`, or is added if that is None."""
    if replaced is None:
        return [*entry.replicas, learner]
    return [learner if replica == replaced else replica for replica in entry.replicas]
