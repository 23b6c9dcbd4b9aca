"""One partition at one store: its table, its placement and, at the primary, the progress of its peers.

Epochs follow Vertical Paxos (Lamport, Malkhi, Zhou, PODC 2009): the placement assigns each epoch to one
primary, and a new primary reads from a quorum that intersects all commit quorums before it serves.
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
    """Progress of one other replica or learner, tracked by the primary of the partition."""

    is_streaming: bool = False  # the primary sends new records to the peer
    is_caught_up: bool = False  # the peer also has all older records, and the primary has all of the peer's
    needs_comparison: bool = (
        False  # another peer has supplied an older record since the last comparison began
    )
    confirmed_at: float = -1.0  # monotonic send time of the newest batch that the peer acknowledged
    lost_at: float = 0.0  # monotonic time when the peer last stopped answering


class PartitionReplica:
    """State of one partition at this store.

    Invariants: `epoch` is nonzero only while this store is the primary or is taking over; a store leads each
    epoch at most once (`last_led_epoch`); `primary` is set only after the epoch is on this store's disk
    (`is_epoch_durable`).  While `epoch` is nonzero, `peer_progress` has all other replicas and all learners
    of the placement: the head controller waits for this store to copy to a learner, and does not ask again.
    """

    def __init__(self, own_store_id: str, table: PartitionTable) -> None:
        self.own_store_id = own_store_id
        self.table = table
        self.partition = table.partition
        self.placement: PartitionPlacement | None = None
        self.former_replicas: list[str] = []  # replicas of the previous placement; may have committed records
        self.epoch = 0  # the epoch that this store leads, or 0 if it is not the primary
        self.last_led_epoch = 0  # the newest epoch that this incarnation has led
        self.fenced_epoch = 0  # the highest epoch with which a peer has rejected this store
        self.is_epoch_durable = False  # the minimum epoch of the table is on this store's disk
        self.has_takeover_failed = False  # the disk failed to store the epoch; the takeover is retried
        self.primary: PartitionPrimary | None = None
        self.peer_progress: dict[str, PeerProgress] = {}
        self.outstanding: dict[Proposal, None] = {}  # uncommitted proposals, oldest first
        self.drop_at = 0.0  # monotonic time when the table is to be dropped; 0 for never
        self.required_learners: set[str] = (
            set()
        )  # learners that were reported ready in this epoch; each commit needs their acknowledgement
        self._leading_since = 0.0
        self.commit_quorum = 1  # number of replicas, including this one, that must have a record

    # Placement

    def is_current(self, placement: PartitionPlacement) -> bool:
        """Return whether a placement is at least as new as the current one."""
        return self.placement is None or placement.epoch >= self.placement.epoch

    def apply_placement(
        self, placement: PartitionPlacement, tolerated: int, incarnation: int, now: float
    ) -> bool:
        """Apply a placement: remain, become or cease to be the primary.

        Returns
        -------
        Whether a takeover begins.  The caller must make its epoch durable on this store before it sends a
        request to any other replica.
        """
        previous = self.placement
        can_continue = (
            previous is not None and self.epoch == previous.epoch and placement.epoch <= previous.epoch + 1
        )
        self.set_placement(placement, tolerated)
        if not self._is_led_by(incarnation):
            if self.epoch < placement.epoch:
                self.resign()
        elif placement.epoch < max(self.table.minimum_epoch, self.fenced_epoch):
            self.resign()
        elif self.epoch == placement.epoch:
            self.refresh_peers()
        elif self.primary is not None and can_continue:
            self.continue_leading(placement.epoch)
            self.table.fence_older_epochs(placement.epoch)
        elif self.last_led_epoch < placement.epoch:
            self.start_leading(placement.epoch, now)
            return True
        return False

    def _is_led_by(self, incarnation: int) -> bool:
        """Return whether this incarnation may lead the placement's epoch.

        It may not lead an epoch that was assigned to an earlier incarnation: other replicas may have the last
        proposals of that incarnation, with versions that this incarnation would reuse.
        """
        assert self.placement is not None
        if self.placement.primary != self.own_store_id:
            return False
        return self.placement.primary_incarnation == 0 or self.placement.primary_incarnation >= incarnation

    def set_placement(self, placement: PartitionPlacement, tolerated: int) -> None:
        """Store a newer placement and update the former replicas and the commit quorum."""
        if self.placement is not None and set(self.placement.replicas) != set(placement.replicas):
            self.former_replicas = [
                store_id for store_id in self.placement.replicas if store_id not in placement.replicas
            ]
        self.placement = placement
        self.commit_quorum = min(tolerated + 1, max(1, len(placement.replicas)))

    def start_leading(self, epoch: int, now: float) -> None:
        """Begin a takeover; this store serves only after it has compared a takeover quorum of replicas."""
        self.resign()
        self.epoch = self.last_led_epoch = epoch
        self._leading_since = now
        self.is_epoch_durable = False
        self.refresh_peers()

    def continue_leading(self, epoch: int) -> None:
        """Remain the primary in the next epoch after a change of the placement."""
        self.epoch = self.last_led_epoch = epoch
        if self.primary is not None:
            self.primary.epoch = epoch
        self.refresh_peers()

    def resign(self) -> None:
        """Cease to be the primary; waiters of uncommitted proposals are resolved as not committed."""
        self.epoch = 0
        self.has_takeover_failed = False
        self.primary = None
        self.peer_progress = {}
        self.required_learners = set()
        abandoned, self.outstanding = self.outstanding, {}
        for proposal in abandoned:
            proposal.resolve_waiters(committed=False)

    def on_fenced(self, epoch: int) -> None:
        """Resign from any lower epoch, because a peer that follows `epoch` has rejected this store."""
        self.fenced_epoch = max(self.fenced_epoch, epoch)
        if 0 < self.epoch < epoch:
            self.resign()

    def refresh_peers(self) -> None:
        """Update the set of peers whose progress is tracked: replicas, learners and former replicas."""
        assert self.placement is not None
        wanted = [*self.placement.replicas, *self.placement.learners]
        if self.primary is None:
            wanted += self.former_replicas
        self.peer_progress = {
            peer: self.peer_progress.get(peer) or PeerProgress()
            for peer in wanted
            if peer != self.own_store_id
        }
        self.required_learners &= set(self.placement.learners)

    @property
    def is_placed_primary(self) -> bool:
        """Whether the placement makes this store the primary."""
        return self.placement is not None and self.placement.primary == self.own_store_id

    @property
    def is_needed_here(self) -> bool:
        """Whether this store must not stop yet.

        That is the case while it is the primary, or a replica whose replacement is still catching up.
        """
        if self.placement is None:
            return False
        return self.is_placed_primary or (
            self.own_store_id in self.placement.replicas and bool(self.placement.learners)
        )

    @property
    def replica_ids(self) -> list[str]:
        """The store ids of the replicas that count towards quorums."""
        return self.placement.replicas if self.placement is not None else []

    # Quorums

    @property
    def takeover_quorum(self) -> int:
        """The number of replicas, including this one, that a takeover must compare before this store serves.

        The quorum intersects every commit quorum, so each committed record is on at least one of its members.
        """
        return max(self.commit_quorum, len(self.replica_ids) - self.commit_quorum + 1)

    def may_serve(self, now: float) -> bool:
        """Return whether this store has compared enough replicas to serve.

        For the first `FORMER_REPLICA_WAIT_S` of a takeover it also waits for the former replicas.
        """
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
        """Remove and return the proposals that now commit, because the quorum has become smaller."""
        return [proposal for proposal in list(self.outstanding) if self._commit_if_replicated(proposal)]

    def has_recent_quorum(self, now: float, within_s: float) -> bool:
        """Return whether a quorum has confirmed this primary within the last `within_s` seconds."""
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
