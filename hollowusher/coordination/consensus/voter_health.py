"""Failure detector for the voters: which of them are alive, judged by their answers to pings.

No I/O, no clock: times are seconds of the owner's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection

import attrs

from hollowusher.coordination.consensus.paxos import quorum_size
from hollowusher.protocol.consensus import Pong
from hollowusher.protocol.view import View

SUSPECT_AFTER_S = 1.2
DEAD_AFTER_REFUSALS = 2


@attrs.define
class _Peer:
    """What is known of one other voter."""

    last_pong_s: float
    last_healthy_pong_s: float  # the last one that did not report a stalled disk
    has_lost_disk: bool = False
    pong: Pong | None = None
    refusals: int = 0
    avoid_until_s: float = 0.0


class VoterHealth:
    """The health of the other voters, as the voter `name` sees it."""

    def __init__(self, name: str, now_s: float) -> None:
        self.name = name
        self._started_s = now_s
        self._peers: dict[str, _Peer] = {}

    # -- events --------------------------------------------------------------------------------------------

    def track(self, names: Collection[str], now_s: float) -> None:
        """Follow the voters of a new view; a new one counts as just heard."""
        for name in names:
            if name != self.name:
                self._peers.setdefault(name, _Peer(now_s, now_s))
        for removed in self._peers.keys() - set(names):
            del self._peers[removed]

    def forget(self, name: str) -> None:
        """Drop what is known of a voter whose name now belongs to another disk."""
        self._peers.pop(name, None)

    def on_pong(self, pong: Pong, now_s: float) -> None:
        """Record a voter's answer to a ping."""
        peer = self._peers.get(pong.name)
        if peer is not None:
            peer.pong = pong
            peer.last_pong_s = now_s
            peer.refusals = 0
            peer.has_lost_disk = False
            if not pong.stalled:
                peer.last_healthy_pong_s = now_s

    def on_disk_replaced(self, name: str) -> None:
        """Record that the voter's name answers with another disk: the one that votes is lost."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.has_lost_disk = True
            peer.refusals += 1

    def on_refused(self, name: str) -> None:
        """Record that nothing listens at the voter's address, or another process."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.refusals += 1

    def avoid(self, name: str, until_s: float) -> None:
        """Leave a voter out of the chain until then if the others can form one.

        Its neighbour in the chain gets no answer from it.
        """
        peer = self._peers.get(name)
        if peer is not None:
            peer.avoid_until_s = until_s

    # -- judgements ----------------------------------------------------------------------------------------

    def pong(self, name: str) -> Pong | None:
        """Return the newest answer of a voter."""
        peer = self._peers.get(name)
        return peer.pong if peer is not None else None

    def is_dead(self, name: str, now_s: float) -> bool:
        """Return whether a voter can neither vote nor be in the chain."""
        peer = self._peers.get(name)
        if peer is None:
            return False
        is_silent = now_s - peer.last_pong_s > SUSPECT_AFTER_S
        has_started = now_s - self._started_s > SUSPECT_AFTER_S
        is_refused = peer.refusals >= DEAD_AFTER_REFUSALS and has_started
        is_stalled = peer.pong is not None and peer.pong.stalled
        return is_silent or is_refused or is_stalled or peer.has_lost_disk

    def is_avoided(self, name: str, now_s: float) -> bool:
        """Return whether the chain is to do without a voter if it can; it votes all the same."""
        peer = self._peers.get(name)
        return peer is not None and now_s < peer.avoid_until_s

    def is_departing(self, name: str) -> bool:
        """Return whether a voter's last answer said that it departs."""
        pong = self.pong(name)
        return pong is not None and pong.leaving

    def has_lost_disk(self, name: str) -> bool:
        """Return whether the disk that votes is known to be lost."""
        peer = self._peers.get(name)
        return peer is not None and peer.has_lost_disk

    def seconds_since_healthy(self, name: str, now_s: float) -> float:
        """Return the seconds since a voter last answered with its disk working."""
        peer = self._peers.get(name)
        return now_s - peer.last_healthy_pong_s if peer is not None else 0.0

    def is_reachable(self, name: str, now_s: float) -> bool:
        """Return whether a voter has answered lately; this voter is always reachable."""
        if name == self.name:
            return True
        peer = self._peers.get(name)
        return peer is not None and peer.pong is not None and not self.is_dead(name, now_s)

    def reachable_voters(self, now_s: float) -> list[str]:
        """Return the other voters that have answered lately."""
        return [name for name in self._peers if self.is_reachable(name, now_s)]

    def has_quorum(self, view: View, now_s: float) -> bool:
        """Return whether the reachable voters, this one included, can decide."""
        reachable = [voter for voter in view.voters if self.is_reachable(voter.name, now_s)]
        return len(reachable) >= quorum_size(view)
