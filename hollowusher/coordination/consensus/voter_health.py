"""Failure detector for the voters, based on their responses to pings.

No I/O, no clock: times are seconds of the owner's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection

import attrs

from hollowusher.coordination.consensus.paxos import quorum_size
from hollowusher.protocol.consensus import Pong
from hollowusher.protocol.view import View

SUSPECT_AFTER_S = 1.2  # a voter without a pong for this long counts as dead
DEAD_AFTER_REFUSALS = 2  # refused calls since the last pong after which a voter counts as dead


@attrs.define
class _Peer:
    """The state of one other voter."""

    last_pong_s: float
    last_healthy_pong_s: float  # time of the last pong that reported no stalled disk
    has_lost_disk: bool = False
    pong: Pong | None = None
    refusals: int = 0
    avoid_until_s: float = 0.0


class VoterHealth:
    """The health of the other voters from the point of view of the voter `name`."""

    def __init__(self, name: str, now_s: float) -> None:
        self.name = name
        self._started_s = now_s
        self._peers: dict[str, _Peer] = {}

    # -- events --------------------------------------------------------------------------------------------

    def track(self, names: Collection[str], now_s: float) -> None:
        """Track the voters of a new view; a newly added voter counts as having just responded."""
        for name in names:
            if name != self.name:
                self._peers.setdefault(name, _Peer(now_s, now_s))
        for removed in self._peers.keys() - set(names):
            del self._peers[removed]

    def forget(self, name: str) -> None:
        """Drop the state of a voter whose name now belongs to another disk."""
        self._peers.pop(name, None)

    def on_pong(self, pong: Pong, now_s: float) -> None:
        """Record a voter's response to a ping."""
        peer = self._peers.get(pong.name)
        if peer is not None:
            peer.pong = pong
            peer.last_pong_s = now_s
            peer.refusals = 0
            peer.has_lost_disk = False
            if not pong.stalled:
                peer.last_healthy_pong_s = now_s

    def on_disk_replaced(self, name: str) -> None:
        """Record that the voter's machine responds with another disk, so the disk with the vote is lost."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.has_lost_disk = True
            peer.refusals += 1

    def on_refused(self, name: str) -> None:
        """Record that the voter's address refuses connections or belongs to another process."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.refusals += 1

    def avoid(self, name: str, until_s: float) -> None:
        """Exclude a voter from the chain until `until_s`, provided that the others can form a chain.

        The caller uses this for a voter that does not respond to its neighbour in the chain.
        """
        peer = self._peers.get(name)
        if peer is not None:
            peer.avoid_until_s = until_s

    # -- queries -------------------------------------------------------------------------------------------

    def pong(self, name: str) -> Pong | None:
        """Return the last pong of a voter, None if there is none."""
        peer = self._peers.get(name)
        return peer.pong if peer is not None else None

    def is_dead(self, name: str, now_s: float) -> bool:
        """Return whether a voter counts as failed, so that it can neither vote nor be in the chain."""
        peer = self._peers.get(name)
        if peer is None:
            return False
        is_silent = now_s - peer.last_pong_s > SUSPECT_AFTER_S
        has_started = now_s - self._started_s > SUSPECT_AFTER_S
        is_refused = peer.refusals >= DEAD_AFTER_REFUSALS and has_started
        is_stalled = peer.pong is not None and peer.pong.stalled
        return is_silent or is_refused or is_stalled or peer.has_lost_disk

    def is_avoided(self, name: str, now_s: float) -> bool:
        """Return whether a voter is excluded from the chain if possible; it still votes."""
        peer = self._peers.get(name)
        return peer is not None and now_s < peer.avoid_until_s

    def is_departing(self, name: str) -> bool:
        """Return whether a voter announced its departure in its last pong."""
        pong = self.pong(name)
        return pong is not None and pong.leaving

    def has_lost_disk(self, name: str) -> bool:
        """Return whether the voter has lost the disk with its vote."""
        peer = self._peers.get(name)
        return peer is not None and peer.has_lost_disk

    def seconds_since_healthy(self, name: str, now_s: float) -> float:
        """Return the seconds since a voter's last pong that reported a working disk."""
        peer = self._peers.get(name)
        return now_s - peer.last_healthy_pong_s if peer is not None else 0.0

    def is_reachable(self, name: str, now_s: float) -> bool:
        """Return whether a voter has responded and is not dead; the voter `self.name` is always reachable."""
        if name == self.name:
            return True
        peer = self._peers.get(name)
        return peer is not None and peer.pong is not None and not self.is_dead(name, now_s)

    def reachable_voters(self, now_s: float) -> list[str]:
        """Return the names of the reachable other voters."""
        return [name for name in self._peers if self.is_reachable(name, now_s)]

    def has_quorum(self, view: View, now_s: float) -> bool:
        """Return whether the reachable voters, including this one, are a quorum of the view."""
        reachable = [voter for voter in view.voters if self.is_reachable(voter.name, now_s)]
        return len(reachable) >= quorum_size(view)
