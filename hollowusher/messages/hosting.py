"""One partition at one store: its table and, while this store is its primary, the quorum of its records."""

from __future__ import annotations

import attrs

from hollowusher.messages.primary import PartitionPrimary
from hollowusher.messages.proposal import Proposal
from hollowusher.messages.table import PartitionTable
from hollowusher.protocol.placement import PartitionPlacement

FORMER_WAIT_S = 1.0


@attrs.define(slots=True, eq=False)
class PeerLink:
    """What the primary knows of one other replica or learner of its partition."""

    joined: bool = False  # new records are sent to it
    complete: bool = False  # it has everything older, too, and so has this store
    stale: bool = False  # something older was learnt from another peer since the last comparison began
    confirmed_at: float = -1.0  # send time of the newest batch that it acknowledged
    lost_at: float = 0.0  # when it last stopped answering


class PartitionHost:
    """The state of one partition at this store."""

    def __init__(self, me: str, table: PartitionTable) -> None:
        self.me = me
        self.table = table
        self.partition = table.partition
        self.placement: PartitionPlacement | None = None
        self.former_replicas: list[str] = []  # of the placement before: they may hold committed records
        self.epoch = 0  # for which this store is the primary, 0 where it is not
        self.last_led = 0  # the newest epoch that this life has led: none is led twice
        self.promised = False  # this store's own promise for that epoch is on its disk
        self.primary: PartitionPrimary | None = None
        self.links: dict[str, PeerLink] = {}
        self.outstanding: dict[Proposal, None] = {}  # in the order they were made
        self.drop_at = 0.0  # when the table is to be dropped, 0: not at all
        self.required: set[str] = set()  # learners reported ready in this epoch: each commit needs them
        self._leads_since = 0.0
        self.commit_quorum = 1  # how many replicas, this one among them, must have a record

    # Placement

    def is_news(self, placement: PartitionPlacement) -> bool:
        """Whether a placement is no older than the known one."""
        return self.placement is None or placement.epoch >= self.placement.epoch

    def follow(self, placement: PartitionPlacement, tolerated: int, incarnation: int, now: float) -> bool:
        """Take up a placement: stay, become or cease to be the primary.  True where a takeover begins: the
        promise of its epoch has to be on this store's disk before any other replica is asked."""
        known = self.placement
        unbroken = known is not None and self.epoch == known.epoch and placement.epoch <= known.epoch + 1
        self.place(placement, tolerated)
        if not self._is_led_by(incarnation):
            if self.epoch < placement.epoch:
                self.resign()
        elif placement.epoch < self.table.promised_epoch:
            self.resign()
        elif self.primary is not None and unbroken:
            self.lead_on(placement.epoch)
            self.table.promise(placement.epoch)
        elif self.epoch != placement.epoch and self.last_led < placement.epoch:
            self.lead(placement.epoch, now)
            return True
        return False

    def _is_led_by(self, incarnation: int) -> bool:
        """Whether this life is to lead the placement's epoch.  An epoch given to an earlier life is over:
        what that life proposed last may stand elsewhere under versions that this one would use again."""
        assert self.placement is not None
        if self.placement.primary != self.me:
            return False
        return self.placement.primary_incarnation == 0 or self.placement.primary_incarnation >= incarnation

    def place(self, placement: PartitionPlacement, tolerated: int) -> None:
        """Take a newer placement."""
        if self.placement is not None and set(self.placement.replicas) != set(placement.replicas):
            self.former_replicas = [
                replica for replica in self.placement.replicas if replica not in placement.replicas
            ]
        self.placement = placement
        self.commit_quorum = min(tolerated + 1, max(1, len(placement.replicas)))

    def lead(self, epoch: int, now: float) -> None:
        """Start to be the primary for an epoch: all others have to be compared with first."""
        self.resign()
        self.epoch = self.last_led = epoch
        self._leads_since = now
        self.promised = False
        self.refresh_links()

    def lead_on(self, epoch: int) -> None:
        """Stay the primary through a change of the placement."""
        self.epoch = self.last_led = epoch
        if self.primary is not None:
            self.primary.epoch = epoch
        self.refresh_links()

    def resign(self) -> None:
        """Be the primary no longer; who waits learns that nothing is known of his record."""
        self.epoch = 0
        self.primary = None
        self.links = {}
        self.required = set()
        abandoned, self.outstanding = self.outstanding, {}
        for proposal in abandoned:
            proposal.answer(False)

    def refresh_links(self) -> None:
        """Have one link for each other replica, learner and former replica."""
        assert self.placement is not None
        wanted = [*self.placement.replicas, *self.placement.learners]
        if self.primary is None:
            wanted += self.former_replicas
        self.links = {peer: self.links.get(peer) or PeerLink() for peer in wanted if peer != self.me}
        self.required &= set(self.placement.learners)

    @property
    def is_placed_here(self) -> bool:
        """Whether the placement makes this store the primary."""
        return self.placement is not None and self.placement.primary == self.me

    @property
    def is_needed_here(self) -> bool:
        """Whether a store that stops has to wait: it is the primary, or a replica whose successor is still
        catching up."""
        if self.placement is None:
            return False
        return self.is_placed_here or (self.me in self.placement.replicas and bool(self.placement.learners))

    @property
    def replicas(self) -> list[str]:
        """The replicas that count."""
        return self.placement.replicas if self.placement is not None else []

    # Quorums

    @property
    def takeover_quorum(self) -> int:
        """How many replicas, this one among them, must have been compared before this one serves: any commit
        is known to one of them, and everything they know is committed afterwards."""
        return max(self.commit_quorum, len(self.replicas) - self.commit_quorum + 1)

    def may_serve(self, now: float) -> bool:
        """Whether enough replicas have been compared; former ones are waited for a little."""
        if not self.promised:
            return False
        former = [self.links[replica] for replica in self.former_replicas if replica in self.links]
        if now < self._leads_since + FORMER_WAIT_S and not all(link.complete for link in former):
            return False
        complete = sum(self.links[replica].complete for replica in self.replicas if replica in self.links)
        return complete + 1 >= self.takeover_quorum

    def acknowledge(self, proposal: Proposal, store_id: str) -> bool:
        """A replica has a record; whether that commits it."""
        if proposal not in self.outstanding or store_id in proposal.acknowledged:
            return False
        proposal.acknowledged.append(store_id)
        return self._settle(proposal)

    def settled(self) -> list[Proposal]:
        """The proposals that are committed because fewer replicas are asked for than before."""
        return [proposal for proposal in list(self.outstanding) if self._settle(proposal)]

    def confirmed_since(self, now: float, within_s: float) -> bool:
        """Whether a quorum has followed this primary within the last `within_s` seconds."""
        links = [self.links[replica] for replica in self.replicas if replica in self.links]
        times = sorted((link.confirmed_at for link in links), reverse=True)
        needed = self.commit_quorum - 1
        return needed == 0 or (len(times) >= needed and times[needed - 1] >= now - within_s)

    def joined(self) -> list[str]:
        """The peers that get new records."""
        return [peer for peer, link in self.links.items() if link.joined]

    def _count(self, proposal: Proposal) -> int:
        replicas = self.replicas
        return sum(store_id in replicas for store_id in proposal.acknowledged)

    def _settle(self, proposal: Proposal) -> bool:
        if len(proposal.acknowledged) < self.commit_quorum or self._count(proposal) < self.commit_quorum:
            return False
        if any(learner not in proposal.acknowledged for learner in self.required):
            return False
        del self.outstanding[proposal]
        return True
