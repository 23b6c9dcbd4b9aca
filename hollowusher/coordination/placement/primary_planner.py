"""Planning of primary changes.  The module performs no I/O and reads no clock.

An epoch belongs to one incarnation of the primary's process (`primary_incarnation`).  A new epoch therefore
starts when another replica becomes the primary, and also when the primary restarts and stays the primary.
"""

from __future__ import annotations

from collections.abc import Sequence

from hollowusher.coordination.placement.placement_draft import PlacementDraft
from hollowusher.coordination.rendezvous import weight
from hollowusher.protocol.placement import PartitionPlacement

MIN_BALANCE_GAIN = 2  # minimum difference in primaries between two stores for a balancing move
RETIRING_PRIORITY = 1_000_000  # primaries move off retiring stores before any balancing move
ANY_INCARNATION = 0  # a `primary_incarnation` that matches every incarnation of the primary


class PrimaryPlanner:
    """Chooses the primaries in a placement draft."""

    def __init__(self, draft: PlacementDraft) -> None:
        self.draft = draft
        self.states = draft.states

    def replace_primary(self, partition: int) -> None:
        """Replace a primary that is down with a live replica, or start a new epoch for a restarted primary.

        If the primary has restarted and some replica is stable, that replica becomes the primary.
        """
        entry = self.draft.entries[partition]
        if entry.primary not in self.states.live:
            candidates = [replica for replica in entry.replicas if replica in self.states.live]
            if candidates and self.states.is_down(entry.primary):
                self.draft.set_primary(entry, self._best_primary(entry, candidates))
            return
        if entry.primary_incarnation in (ANY_INCARNATION, self.states.incarnation(entry.primary)):
            return
        stable = [replica for replica in entry.replicas if self.states.is_stable(replica)]
        self.draft.set_primary(entry, self._best_primary(entry, stable or [entry.primary]))

    def _best_primary(self, entry: PartitionPlacement, candidates: Sequence[str]) -> str:
        key = f"primary/{entry.partition}"
        return min(
            candidates,
            key=lambda store_id: (
                store_id not in self.states.usable,
                not self.states.is_stable(store_id),
                -self.draft.home_replica_count(entry.replicas, store_id),
                self.draft.primary_load[store_id],
                weight(key, store_id),
            ),
        )

    def move_one_primary(self) -> None:
        """Move one primary off a retiring store, or one primary for balance if no such move is possible."""
        moves = [
            (gain, -entry.partition, replica)
            for entry in self.draft.entries.values()
            for replica in entry.replicas
            if (gain := self._move_gain(entry, replica)) > 0
        ]
        if moves:
            _, negated_partition, replica = max(moves)
            self.draft.set_primary(self.draft.entries[-negated_partition], replica)

    def _move_gain(self, entry: PartitionPlacement, replica: str) -> int:
        """Return the gain of moving the primary to `replica`; 0 if the move is not allowed or useful."""
        load = self.draft.primary_load
        if replica == entry.primary or replica not in self.states.usable:
            return 0
        if self.states.is_retiring(entry.primary):
            return RETIRING_PRIORITY - load[replica] if self._can_hand_over(entry) else 0
        if not self.states.is_stable(replica) or not self.draft.has_all_replicas_live(entry):
            return 0
        home_count = self.draft.home_replica_count(entry.replicas, entry.primary)
        if self.draft.home_replica_count(entry.replicas, replica) < home_count:
            return 0
        difference = load[entry.primary] - load[replica]
        return difference if difference >= MIN_BALANCE_GAIN else 0

    def _can_hand_over(self, entry: PartitionPlacement) -> bool:
        """Return whether enough replicas are live for another replica to take over as the primary.

        Up to f replicas may be down, so a primary can move off a retiring store before they are replaced.
        """
        return self.draft.live_replica_count(entry) >= len(entry.replicas) - self.draft.tolerance
