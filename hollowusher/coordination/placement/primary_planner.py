"""Changes of primaries.  No I/O, no clock.

An epoch belongs to one incarnation of one primary's process (`primary_incarnation`): a primary that has
restarted gets a new epoch, and so does every other one.
"""

from __future__ import annotations

from collections.abc import Sequence

from hollowusher.coordination.placement.placement_draft import PlacementDraft
from hollowusher.coordination.rendezvous import weight
from hollowusher.protocol.placement import PartitionPlacement

MIN_BALANCE_GAIN = 2  # a move for balance has to bring two stores closer by so many primaries
RETIRING_PRIORITY = 1_000_000  # a primary leaves a retiring machine before any move for balance
ANY_INCARNATION = 0


class PrimaryPlanner:
    """Chooses the primaries in a draft."""

    def __init__(self, draft: PlacementDraft) -> None:
        self.draft = draft
        self.states = draft.states

    def replace_primary(self, partition: int) -> None:
        """Replace a primary that is down by a live replica; give one that has restarted a new epoch."""
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
        """Move one primary off a retiring machine, or else towards balance."""
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
        """Return how much is gained by a move of the primary to `replica`; 0 if it must not be moved."""
        load = self.draft.primary_load
        if replica == entry.primary or replica not in self.states.usable:
            return 0
        if self.states.is_retiring(entry.primary):
            return RETIRING_PRIORITY - load[replica] if self._can_hand_over(entry) else 0
        if not self.states.is_stable(replica) or not self.draft.has_all_replicas_live(entry):
            return 0
        at_home = self.draft.home_replica_count(entry.replicas, entry.primary)
        if self.draft.home_replica_count(entry.replicas, replica) < at_home:
            return 0
        difference = load[entry.primary] - load[replica]
        return difference if difference >= MIN_BALANCE_GAIN else 0

    def _can_hand_over(self, entry: PartitionPlacement) -> bool:
        """Return whether enough replicas are live for another primary to take over.

        A retiring machine does not wait until the last one of the others has been replaced.
        """
        return self.draft.live_replica_count(entry) >= len(entry.replicas) - self.draft.tolerance
