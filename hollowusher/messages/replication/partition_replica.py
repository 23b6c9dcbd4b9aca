"""One partition at one store: its table and, while this store is its primary, the quorum of its records."""

from __future__ import annotations

import attrs

from hollowusher.messages.partition.partition_primary import PartitionPrimary
from hollowusher.messages.partition.partition_table import PartitionTable
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.protocol.placement import PartitionPlacement

FORMER_REPLICA_WAIT_S = 1.0


@attrs.define(slots=True, eq=False)
class PeerProgress:
    """What the primary knows of one other replica or learner of its partition."""

    is_streaming: bool = False  # new records are sent to it
    is_caught_up: bool = False  # it has everything older, too, and so has this store
    needs_comparison: bool = (
        False  # something older was learnt from another peer since the last comparison began
    )
    confirmed_at: float = -1.0  # send time of the newest batch that it acknowledged
    lost_at: float = 0.0  # when it last stopped answering


class PartitionReplica:
    """The state of one partition at this store."""

    def __init__(self, me: str, table: PartitionTable) -> None:
        self.me = me
        self.table = table
        self.partition = table.partition
        self.placement: PartitionPlacement | None = None
        self.former_replicas: list[str] = []  # of the placement before: they may hold committed records
        self.epoch = 0  # for which this store is the primary, 0 where it is not
        self.last_led_epoch = 0  # the newest epoch that this life has led: none is led twice
        self.is_epoch_durable = False  # this store's own promise for that epoch is on its disk
        self.primary: PartitionPrimary | None = None
        self.peer_progress: dict[str, PeerProgress] = {}
        self.outstanding: dict[Proposal, None] = {}  # in the order they were made
        self.drop_at = 0.0  # when the table is to be dropped, 0: not at all
        self.required_learners: set[str] = (
            set()
        )  # learners reported ready in this epoch: each commit needs them
        self._leading_since = 0.0
        self.commit_quorum = 1  # how many replicas, this one among them, must have a record

    # Placement

    def is_current(self, placement: PartitionPlacement) -> bool:
        """Whether a placement is no older than the known one."""
        return self.placement is None or placement.epoch >= self.placement.epoch

    def apply_placement(
        self, placement: PartitionPlacement, tolerated: int, incarnation: int, now: float
    ) -> bool:
        """Take up a placement: stay, become or cease to be the primary.  True where a takeover begins: the
        promise of its epoch has to be on this store's disk before any other replica is asked."""
        known = self.placement
        unbroken = known is not None and self.epoch == known.epoch and placement.epoch <= known.epoch + 1
        self.set_placement(placement, tolerated)
        if not self._is_led_by(incarnation):
            if self.epoch < placement.epoch:
                self.resign()
        elif placement.epoch < self.table.minimum_epoch:
            self.resign()
        elif self.primary is not None and unbroken:
            self.continue_leading(placement.epoch)
            self.table.fence_older_epochs(placement.epoch)
        elif self.epoch != placement.epoch and self.last_led_epoch < placement.epoch:
            self.start_leading(placement.epoch, now)
            return True
        return False

    def _is_led_by(self, incarnation: int) -> bool:
        """Whether this life is to lead the placement's epoch.  An epoch given to an earlier life is over:
        what that life proposed last may stand elsewhere under versions that this one would use again."""
        assert self.placement is not None
        if self.placement.primary != self.me:
            return False
        return self.placement.primary_incarnation == 0 or self.placement.primary_incarnation >= incarnation

    def set_placement(self, placement: PartitionPlacement, tolerated: int) -> None:
        """Take a newer placement."""
        if self.placement is not None and set(self.placement.replicas) != set(placement.replicas):
            self.former_replicas = [
                store_id for store_id in self.placement.replicas if store_id not in placement.replicas
            ]
        self.placement = placement
        self.commit_quorum = min(tolerated + 1, max(1, len(placement.replicas)))

    def start_leading(self, epoch: int, now: float) -> None:
        """Start to be the primary for an epoch: all others have to be compared with first."""
        self.resign()
        self.epoch = self.last_led_epoch = epoch
        self._leading_since = now
        self.is_epoch_durable = False
        self.refresh_links()

    def continue_leading(self, epoch: int) -> None:
        """Stay the primary through a change of the placement."""
        self.epoch = self.last_led_epoch = epoch
        if self.primary is not None:
            self.primary.epoch = epoch
        self.refresh_links()

    def resign(self) -> None:
        """Be the primary no longer; who waits learns that nothing is known of his record."""
        self.epoch = 0
        self.primary = None
        self.peer_progress = {}
        self.required_learners = set()
        abandoned, self.outstanding = self.outstanding, {}
        for proposal in abandoned:
            proposal.resolve_waiters(False)

    def refresh_links(self) -> None:
        """Have one link for each other replica, learner and former replica."""
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
        """Whether a store that stops has to wait: it is the primary, or a replica whose successor is still
        catching up."""
        if self.placement is None:
            return False
        return self.is_placed_primary or (
            self.me in self.placement.replicas and bool(self.placement.learners)
        )

    @property
    def replica_ids(self) -> list[str]:
        """The replicas that count."""
        return self.placement.replicas if self.placement is not None else []

    # Quorums

    @property
    def takeover_quorum(self) -> int:
        """How many replicas, this one among them, must have been compared before this one serves: any commit
        is known to one of them, and everything they know is committed afterwards."""
        return max(self.commit_quorum, len(self.replica_ids) - self.commit_quorum + 1)

    def may_serve(self, now: float) -> bool:
        """Whether enough replicas have been compared; former ones are waited for a little."""
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
        """A replica has a record; whether that commits it."""
        if proposal not in self.outstanding or store_id in proposal.acknowledged_by:
            return False
        proposal.acknowledged_by.append(store_id)
        return self._commit_if_replicated(proposal)

    def take_committed(self) -> list[Proposal]:
        """The proposals that are committed because fewer replicas are asked for than before."""
        return [proposal for proposal in list(self.outstanding) if self._commit_if_replicated(proposal)]

    def has_recent_quorum(self, now: float, within_s: float) -> bool:
        """Whether a quorum has followed this primary within the last `within_s` seconds."""
        all_progress = [
            self.peer_progress[store_id] for store_id in self.replica_ids if store_id in self.peer_progress
        ]
        times = sorted((progress.confirmed_at for progress in all_progress), reverse=True)
        needed = self.commit_quorum - 1
        return needed == 0 or (len(times) >= needed and times[needed - 1] >= now - within_s)

    def streaming_peers(self) -> list[str]:
        """The peers that get new records."""
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
