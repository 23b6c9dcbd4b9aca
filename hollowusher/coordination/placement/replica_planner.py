"""Planning of replica and learner changes.  The module performs no I/O and reads no clock.

A replica is replaced in two steps.  First a learner copies all records of the partition.  When the primary
has reported that the learner has caught up, the learner replaces the replica, provided that at most f of the
new replicas are down.  Each partition replaces one replica at a time.

A copy is started when a replica is lost, missing or retiring, or when the partition has too few replicas.
While the cluster is in a steady state, copies are also started for balance, one at a time: a store that was
added, or that returned after its replicas were replaced, receives replicas from the store that has the most.

Sources: Ongaro, "Consensus: bridging theory and practice" (2014), chapter 4: a server catches up before it
becomes a voting member, and the membership changes by one server at a time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence

from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.coordination.placement.placement_draft import PlacementDraft, replicas_after
from hollowusher.coordination.rendezvous import weight
from hollowusher.coordination.store_id import store_name
from hollowusher.protocol.placement import PartitionPlacement

MIN_BALANCE_GAIN = 2  # minimum difference in replicas between two stores for a balancing move


class ReplicaPlanner:
    """Chooses the replicas and learners in a placement draft."""

    def __init__(self, draft: PlacementDraft) -> None:
        self.draft = draft
        self.states = draft.states

    # ---- promotion

    def promote_learners(self, partition: int, ready: Collection[LearnerReport]) -> None:
        """Promote at most one learner that has caught up.

        The promotion starts a new epoch, so the primary has to report the remaining learners again before the
        next promotion.
        """
        entry = self.draft.entries[partition]
        for learner in entry.learners:
            if LearnerReport(partition, entry.epoch, learner) in ready and learner in self.states.usable:
                self._promote(entry, learner)
                return

    def _promote(self, entry: PartitionPlacement, learner: str) -> None:
        replaced = self._replica_to_replace(entry, learner)
        if replaced is None and not self.draft.missing_replica_count(entry):
            return
        replicas = replicas_after(entry, learner, replaced)
        down = sum(replica not in self.states.live for replica in replicas)
        if down <= self.draft.tolerance:
            self.draft.promote(entry, learner, replaced)

    def _replica_to_replace(self, entry: PartitionPlacement, learner: str) -> str | None:
        """Return the replica that a learner replaces.

        Return None if the learner becomes an additional replica or if it must not be promoted.
        """
        candidates = [
            replica
            for replica in entry.replicas
            if replica != entry.primary and self.states.is_replaceable(replica)
        ]
        if candidates:
            return min(candidates, key=lambda replica: self._replacement_rank(replica, learner))
        if self.draft.missing_replica_count(entry):
            return None
        return self._replica_to_offload(entry, learner)

    def _replacement_rank(self, replica: str, learner: str) -> tuple[bool, bool, bool]:
        """Return a sort key: the replica with the smallest key is replaced first.

        The order is: the replica on the lost disk of the learner's own machine, replicas on other lost disks,
        replicas that are not live, and replicas on live stores that are retiring.
        """
        return (
            store_name(replica) != store_name(learner),
            not self.states.has_lost_disk(replica),
            replica in self.states.live,
        )

    # ---- learners

    def update_learners(self, partition: int, lost: Collection[LearnerReport] = ()) -> None:
        """Assign one learner for each replica that needs a copy and for each replica below the target count.

        Remove the learners that are no longer needed or that their primary has reported as lost.
        """
        entry = self.draft.entries[partition]
        retained = self._retained_learners(entry, lost)
        removed = {learner for learner in entry.learners if learner not in retained}
        replicas_to_copy = [replica for replica in entry.replicas if self.needs_copy(replica)]
        target_count = len(replicas_to_copy) + self.draft.missing_replica_count(entry)
        learners = list(retained)
        while len(learners) < target_count:
            new_learner = self._choose_learner(entry, replicas_to_copy, learners, removed)
            if new_learner is None:
                break
            learners.append(new_learner)
        if learners != entry.learners:
            self.draft.set_learners(entry, learners)

    def needs_copy(self, replica: str) -> bool:
        """Return whether a replica has to be copied to a learner."""
        return self.states.is_retiring(replica) or self.states.is_missing(replica)

    def _retained_learners(self, entry: PartitionPlacement, lost: Collection[LearnerReport]) -> list[str]:
        """Return the current learners to keep.

        These are usable learners not reported as lost: at most one for each replica that is not live or is
        retiring, and one for each replica below the target count.  If none is needed for these reasons, keep
        only the learner of a balancing move.
        """
        usable = [
            learner
            for learner in entry.learners
            if learner in self.states.usable
            and LearnerReport(entry.partition, entry.epoch, learner) not in lost
        ]
        needed = sum(
            replica not in self.states.live or self.states.is_retiring(replica) for replica in entry.replicas
        )
        target_count = needed + self.draft.missing_replica_count(entry)
        if target_count == 0:
            return [learner for learner in usable if self._replica_to_offload(entry, learner) is not None][:1]
        return usable[:target_count]

    def _choose_learner(
        self,
        entry: PartitionPlacement,
        replicas_to_copy: Sequence[str],
        learners: Sequence[str],
        excluded: Collection[str],
    ) -> str | None:
        """Return the store that becomes the next learner; None if no usable store is free.

        The order of preference is: a machine that has returned with another disk; a store in the home zone
        while that zone holds less than a commit quorum; a store in the zone with the fewest replicas of the
        partition; the store with the fewest replicas and learners.
        """
        taken = {*entry.replicas, *learners}
        free = [store_id for store_id in self.states.usable if store_id not in {*taken, *excluded}]
        returned = {store_name(replica) for replica in replicas_to_copy}
        kept = [store_id for store_id in taken if store_id not in replicas_to_copy]
        zones = Counter(self.states.zone(store_id) for store_id in kept)
        key = f"partition/{entry.partition}"
        return min(
            free,
            default=None,
            key=lambda store_id: (
                store_name(store_id) not in returned,
                -self.draft.home_replica_count([*kept, store_id], entry.primary),
                zones[self.states.zone(store_id)],
                self.draft.copy_load[store_id],
                -weight(key, store_id),
            ),
        )

    # ---- balance

    def start_balancing_move(self) -> None:
        """In a steady state, add one learner on a store with few replicas.

        The learner later replaces a replica on a store that has at least `MIN_BALANCE_GAIN` more replicas.
        """
        if not self._is_steady():
            return
        load = self.draft.replica_load
        moves = [
            (load[offloaded] - load[store_id], -entry.partition, store_id)
            for entry in self.draft.entries.values()
            for store_id in sorted(self.states.usable)
            if self.states.is_stable(store_id) and store_id not in entry.replicas
            if (offloaded := self._replica_to_offload(entry, store_id)) is not None
        ]
        if moves:
            _, negated_partition, learner = max(moves)
            self.draft.set_learners(self.draft.entries[-negated_partition], [learner])

    def _is_steady(self) -> bool:
        """Return whether no partition has learners, and every replica is stable and not retiring."""
        return all(
            not entry.learners and all(self._is_steady_replica(replica) for replica in entry.replicas)
            for entry in self.draft.entries.values()
        )

    def _is_steady_replica(self, replica: str) -> bool:
        return self.states.is_stable(replica) and not self.states.is_retiring(replica)

    def _replica_to_offload(self, entry: PartitionPlacement, learner: str) -> str | None:
        """Return the replica whose replacement by a learner best reduces the imbalance of replica load.

        The replacement must not reduce the number of zones or the number of replicas in the home zone.
        Return None if no replica qualifies or if not all replicas are live.
        """
        if learner in entry.replicas or not self.draft.has_all_replicas_live(entry):
            return None
        load = self.draft.replica_load
        zone_count = self._zone_count(entry.replicas)
        home_count = self.draft.home_replica_count(entry.replicas, entry.primary)
        candidates = [
            replica
            for replica in entry.replicas
            if replica != entry.primary
            and load[replica] - load[learner] >= MIN_BALANCE_GAIN
            and self._zone_count(replicas_after(entry, learner, replica)) >= zone_count
            and self.draft.home_replica_count(replicas_after(entry, learner, replica), entry.primary)
            >= home_count
        ]
        return max(candidates, key=lambda replica: (load[replica], replica), default=None)

    def _zone_count(self, replicas: Collection[str]) -> int:
        return len({self.states.zone(replica) for replica in replicas})
