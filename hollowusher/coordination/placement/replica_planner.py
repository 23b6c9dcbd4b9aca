"""Changes of replicas and learners.  No I/O, no clock.

A replica is replaced in two steps: a learner copies everything first; when the primary has reported that it
has caught up, it replaces the replica, provided that no more than f of the new replicas are missing.  One
replica of a partition is replaced at a time.

Copies are made where they are needed (a replica is lost, missing, retiring, or lacking).  While the cluster
is quiet they are made for balance, too, one at a time: a store that was added, or that has returned after
its replicas were replaced, gets replicas of the store that has most.

Sources: Ongaro, "Consensus: bridging theory and practice" (2014), chapter 4: a server catches up before it
counts, and servers are changed one at a time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence

from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.coordination.placement.placement_draft import PlacementDraft, replicas_after
from hollowusher.coordination.rendezvous import weight
from hollowusher.coordination.store_id import store_name
from hollowusher.protocol.placement import PartitionPlacement

MIN_BALANCE_GAIN = 2  # a move for balance has to bring two stores closer by so many replicas


class ReplicaPlanner:
    """Chooses the replicas and learners in a draft."""

    def __init__(self, draft: PlacementDraft) -> None:
        self.draft = draft
        self.states = draft.states

    # ---- promotion

    def promote_learners(self, partition: int, ready: Collection[LearnerReport]) -> None:
        """Promote a learner that has caught up.

        That starts a new epoch, in which further learners are reported again: so it is one at most.
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
        """Return the replica that a learner replaces; None where it becomes an additional one, or none."""
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
        """Return the rank in which replicas are replaced.

        The lost disk of the learner's own machine goes first, then other lost disks, then stores that are
        gone, then retiring ones.
        """
        return (
            store_name(replica) != store_name(learner),
            not self.states.has_lost_disk(replica),
            replica in self.states.live,
        )

    # ---- learners

    def update_learners(self, partition: int, lost: Collection[LearnerReport] = ()) -> None:
        """Give a partition one learner for each replica that is to be replaced or that it lacks.

        Learners that are no longer needed, or that their primary has lost, are removed.
        """
        entry = self.draft.entries[partition]
        retained = self._retained_learners(entry, lost)
        removed = {learner for learner in entry.learners if learner not in retained}
        copied = [replica for replica in entry.replicas if self.needs_copy(replica)]
        wanted = len(copied) + self.draft.missing_replica_count(entry)
        learners = list(retained)
        while len(learners) < wanted:
            found = self._choose_learner(entry, copied, learners, removed)
            if found is None:
                break
            learners.append(found)
        if learners != entry.learners:
            self.draft.set_learners(entry, learners)

    def needs_copy(self, replica: str) -> bool:
        """Return whether a copy of a replica is to be made."""
        return self.states.is_retiring(replica) or self.states.is_missing(replica)

    def _retained_learners(self, entry: PartitionPlacement, lost: Collection[LearnerReport]) -> list[str]:
        """Return the learners that stay.

        Those are live and not lost, one for each replica that is down, retiring or lacking; or else the one
        that is moved for balance.
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
        wanted = needed + self.draft.missing_replica_count(entry)
        if wanted == 0:
            return [learner for learner in usable if self._replica_to_offload(entry, learner) is not None][:1]
        return usable[:wanted]

    def _choose_learner(
        self,
        entry: PartitionPlacement,
        copied: Sequence[str],
        learners: Sequence[str],
        excluded: Collection[str],
    ) -> str | None:
        """Return the store that is to learn a partition next, None where no store is free.

        Best is a machine that has returned with another disk, then the home zone while it lacks replicas,
        then the zone with the fewest replicas, then the store with the fewest copies.
        """
        taken = {*entry.replicas, *learners}
        free = [store_id for store_id in self.states.usable if store_id not in {*taken, *excluded}]
        returned = {store_name(replica) for replica in copied}
        kept = [store_id for store_id in taken if store_id not in copied]
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
        """While the cluster is quiet, have one store that holds few replicas learn one more partition."""
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
        """Return whether nothing is being repaired, moved or retired, and every replica is stable."""
        return all(
            not entry.learners and all(self._is_steady_replica(replica) for replica in entry.replicas)
            for entry in self.draft.entries.values()
        )

    def _is_steady_replica(self, replica: str) -> bool:
        return self.states.is_stable(replica) and not self.states.is_retiring(replica)

    def _replica_to_offload(self, entry: PartitionPlacement, learner: str) -> str | None:
        """Return the replica whose replacement by a learner brings the stores closer in load.

        None where there is none that keeps the spread over zones and the quorum at home, or where not all
        replicas are live.
        """
        if learner in entry.replicas or not self.draft.has_all_replicas_live(entry):
            return None
        load = self.draft.replica_load
        spread = self._zone_count(entry.replicas)
        at_home = self.draft.home_replica_count(entry.replicas, entry.primary)
        candidates = [
            replica
            for replica in entry.replicas
            if replica != entry.primary
            and load[replica] - load[learner] >= MIN_BALANCE_GAIN
            and self._zone_count(replicas_after(entry, learner, replica)) >= spread
            and self.draft.home_replica_count(replicas_after(entry, learner, replica), entry.primary)
            >= at_home
        ]
        return max(candidates, key=lambda replica: (load[replica], replica), default=None)

    def _zone_count(self, replicas: Collection[str]) -> int:
        return len({self.states.zone(replica) for replica in replicas})
