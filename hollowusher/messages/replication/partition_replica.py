"""One partition at one store: its table and, while this store is its primary, the quorum of its records.

Epochs follow Vertical Paxos (Lamport, Malkhi, Zhou, PODC 2009): the placement assigns each epoch to one
primary; a new primary reads from a quorum that intersects all commit quorums before it serves.
"""

from __future__ import annotations

import attrs

from hollowusher.messages.partition.partition_primary import PartitionPrimary
from hollowusher.messages.partition.partition_table import PartitionTable
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.protocol.placement import PartitionPlacement

FORMER_REPLICA_WAIT_S = 1.0


@attrs.define(slots=True, eq=False)
class PeerProgress:
    """Progress of one other replica or learner, as the primary of its partition knows it."""

    is_streaming: bool = False  # new records are sent to it
    is_caught_up: bool = False  # it has all older records, too, and this store has all of the peer's
    needs_comparison: bool = (
        False  # an older record was learned from another peer since the last comparison began
    )
    confirmed_at: float = -1.0  # monotonic send time of the newest batch that it acknowledged
    lost_at: float = 0.0  # monotonic time when it last stopped answering


class PartitionReplica:
    """State of one partition at this store.

    Invariants: `epoch` is not 0 only while this store is the primary or takes over; no epoch is led twice
    (`last_led_epoch`); `primary` is set only after the epoch is durable here (`is_epoch_durable`).
    """

    def __init__(self, me: str, table: PartitionTable) -> None:
        self.me = me
        self.table = table
        self.partition = table.partition
        self.placement: PartitionPlacement | None = None
        self.former_replicas: list[str] = []  # of the previous placement: they may have committed records
        self.epoch = 0  # for which this store is the primary, else 0
        self.last_led_epoch = 0  # the newest epoch that this incarnation has led
        self.fenced_epoch = 0  # the highest epoch with which a peer has rejected this store
        self.is_epoch_durable = False  # the minimum epoch of the table is on this store's disk
        self.has_takeover_failed = False  # the disk refused the epoch: it is to be tried again
        self.primary: PartitionPrimary | None = None
        self.peer_progress: dict[str, PeerProgress] = {}
        self.outstanding: dict[Proposal, None] = {}  # in the order they were made
        self.drop_at = 0.0  # monotonic time when the table is to be dropped, 0: never
        self.required_learners: set[str] = (
            set()
        )  # learners reported ready in this epoch: each commit needs their acknowledgement
        self._leading_since = 0.0
        self.commit_quorum = 1  # how many replicas, this one among them, must have a record

    # Placement

    def is_current(self, placement: PartitionPlacement) -> bool:
        """Return whether a placement is no older than the known one."""
        return self.placement is None or placement.epoch >= self.placement.epoch

    def apply_placement(
        self, placement: PartitionPlacement, tolerated: int, incarnation: int, now: float
    ) -> bool:
        """Apply a placement: remain, become or cease to be the primary.

        Returns
        -------
        Whether a takeover begins: its epoch has to be durable here before any other replica is asked.
        """
        known = self.placement
        unbroken = known is not None and self.epoch == known.epoch and placement.epoch <= known.epoch + 1
        self.set_placement(placement, tolerated)
        if not self._is_led_by(incarnation):
            if self.epoch < placement.epoch:
                self.resign()
        elif placement.epoch < max(self.table.minimum_epoch, self.fenced_epoch):
            self.resign()
        elif self.primary is not None and unbroken:
            self.continue_leading(placement.epoch)
            self.table.fence_older_epochs(placement.epoch)
        elif self.epoch != placement.epoch and self.last_led_epoch < placement.epoch:
            self.start_leading(placement.epoch, now)
            return True
        return False

    def _is_led_by(self, incarnation: int) -> bool:
        """Return whether this incarnation leads the placement's epoch.

        An epoch assigned to an earlier incarnation is over: other replicas may have its last proposals under
        versions that this incarnation would use again.
        """
        assert self.placement is not None
        if self.placement.primary != self.me:
            return False
        return self.placement.primary_incarnation == 0 or self.placement.primary_incarnation >= incarnation

    def set_placement(self, placement: PartitionPlacement, tolerated: int) -> None:
        """Set a newer placement and the quorums that follow from it."""
        if self.placement is not None and set(self.placement.replicas) != set(placement.replicas):
            self.former_replicas = [
                store_id for store_id in self.placement.replicas if store_id not in placement.replicas
            ]
        self.placement = placement
        self.commit_quorum = min(tolerated + 1, max(1, len(placement.replicas)))

    def start_leading(self, epoch: int, now: float) -> None:
        """Begin to lead an epoch; a takeover quorum has to be compared before this store serves."""
        self.resign()
        self.epoch = self.last_led_epoch = epoch
        self._leading_since = now
        self.is_epoch_durable = False
        self.refresh_links()

    def continue_leading(self, epoch: int) -> None:
        """Remain the primary through a change of the placement."""
        self.epoch = self.last_led_epoch = epoch
        if self.primary is not None:
            self.primary.epoch = epoch
        self.refresh_links()

    def resign(self) -> None:
        """Cease to be the primary; waiters learn that the outcome of their proposal is unknown."""
        self.epoch = 0
        self.has_takeover_failed = False
        self.primary = None
        self.peer_progress = {}
        self.required_learners = set()
        abandoned, self.outstanding = self.outstanding, {}
        for proposal in abandoned:
            proposal.resolve_waiters(committed=False)

    def on_fenced(self, epoch: int) -> None:
        """Handle the rejection by a peer that follows this higher epoch: no lower one is led any more."""
        self.fenced_epoch = max(self.fenced_epoch, epoch)
        if 0 < self.epoch < epoch:
            self.resign()

    def refresh_links(self) -> None:
        """Track the progress of each other replica, learner and former replica."""
        assert self.placement is not None
        wanted = [*self.placement.replicas, *self.placement.learners]
        if self.primary is None:
            wanted += self.former_replicas
        self.peer_progress = {
            peer: self.peer_progress.get(peer) or PeerProgress() for peer in wanted if peer != self.me
        }
        self.required_learners &= set(self.placement.learners)

    @property
    def is_placed_primary(self) -> bool:
        """Whether the placement makes this store the primary."""
        return self.placement is not None and self.placement.primary == self.me

    @property
    def is_needed_here(self) -> bool:
        """Whether a store that stops has to wait.

        It is the primary, or a replica whose replacement is still catching up.
        """
        if self.placement is None:
            return False
        return self.is_placed_primary or (
            self.me in self.placement.replicas and bool(self.placement.learners)
        )

    @property
    def replica_ids(self) -> list[str]:
        """The store ids of the replicas that count towards quorums."""
        return self.placement.replicas if self.placement is not None else []

    # Quorums

    @property
    def takeover_quorum(self) -> int:
        """The number of replicas, this one included, that must have been compared before this one serves.

        The quorum intersects every commit quorum, so at least one of its members has each committed record.
        """
        return max(self.commit_quorum, len(self.replica_ids) - self.commit_quorum + 1)

    def may_serve(self, now: float) -> bool:
        """Return whether enough replicas have been compared; former ones are awaited for a short time."""
        if not self.is_epoch_durable:
            return False
        former = [
            self.peer_progress[store_id]
            for store_id in self.former_replicas
            if store_id in self.peer_progress
        ]
        if now < self._leading_since + FORMER_REPLICA_WAIT_S and not all(
            progress.is_caught_up for progress in former
        ):
            return False
        caught_up = sum(
            self.peer_progress[store_id].is_caught_up
            for store_id in self.replica_ids
            if store_id in self.peer_progress
        )
        return caught_up + 1 >= self.takeover_quorum

    def acknowledge(self, proposal: Proposal, store_id: str) -> bool:
        """Record the acknowledgement of a replica; return whether it commits the proposal."""
        if proposal not in self.outstanding or store_id in proposal.acknowledged_by:
            return False
        proposal.acknowledged_by.append(store_id)
        return self._commit_if_replicated(proposal)

    def take_committed(self) -> list[Proposal]:
        """Return the proposals that are committed because the placement now needs fewer replicas."""
        return [proposal for proposal in list(self.outstanding) if self._commit_if_replicated(proposal)]

    def has_recent_quorum(self, now: float, within_s: float) -> bool:
        """Return whether a quorum has followed this primary within the last `within_s` seconds."""
        all_progress = [
            self.peer_progress[store_id] for store_id in self.replica_ids if store_id in self.peer_progress
        ]
        times = sorted((progress.confirmed_at for progress in all_progress), reverse=True)
        needed = self.commit_quorum - 1
        return needed == 0 or (len(times) >= needed and times[needed - 1] >= now - within_s)

    def streaming_peers(self) -> list[str]:
        """Return the store ids of the peers that receive new records."""
        return [peer for peer, progress in self.peer_progress.items() if progress.is_streaming]

    def _count_replicas(self, proposal: Proposal) -> int:
        replica_ids = self.replica_ids
        return sum(store_id in replica_ids for store_id in proposal.acknowledged_by)

    def _commit_if_replicated(self, proposal: Proposal) -> bool:
        if (
            len(proposal.acknowledged_by) < self.commit_quorum
            or self._count_replicas(proposal) < self.commit_quorum
        ):
            return False
        if any(learner not in proposal.acknowledged_by for learner in self.required_learners):
            return False
        del self.outstanding[proposal]
        return True
