"""Pace at which a store sends records to peers that catch up.  The module performs no I/O and reads no clock.

A peer that replaces a lost replica has to be complete within `catchUpS` of its start, because another disk
may be lost from then on.  So the pace follows from the bytes that the peer may lack, and ends at a share of
the machine's link.  Few bytes are sent slowly, so that other requests hardly notice them.  The size of a
chunk bounds how long the chunks of all senders may occupy the link of a peer, and delay its other requests.
"""

from __future__ import annotations

import attrs

from hollowusher.configuration.boot import BootSettings

MEBIBYTE = 1024 * 1024
BYTES_PER_S_PER_MBPS = 1_000_000 / 8
LINK_SHARE = 0.75  # the rest of a link is left to other requests
SEND_SHARE_OF_CATCH_UP = 0.25  # the rest is for the start of the peer, the placement and the reports
MIN_BYTES_PER_S = 4 * MEBIBYTE
MAX_LINK_OCCUPATION_S = 0.05  # by the chunks that are in flight to one peer
MIN_CHUNK_BYTES = 16 * 1024
MAX_CHUNK_BYTES = 256 * 1024
# The records of a store whose replacement takes longer than this exceed what `catchUpS` allows for.
MAX_TIME_SHARE_OF_CATCH_UP = 0.4
PROCESSED_BYTES_PER_S = 48 * MEBIBYTE  # by a store that catches up, whatever its link carries
BYTES_PER_MESSAGE = 1024  # processing a message takes as long as so many further bytes
ACTIVE_S = 0.5  # a peer that was to get its next chunk this long ago or earlier gets none at present
RESTORED_SHARE = 0.9  # of the limit; below it the records are within the limit again


@attrs.frozen
class CatchUpLimits:
    """The link of a machine in bytes per second, and the time in which a peer has to catch up."""

    link_bytes_per_s: float
    catch_up_s: float

    @classmethod
    def from_settings(cls, settings: BootSettings) -> CatchUpLimits:
        """Return the limits that the settings file of a process states."""
        link = settings.limits.bandwidth_mbps * BYTES_PER_S_PER_MBPS
        return cls(max(link, MIN_BYTES_PER_S), settings.bounds.catch_up_s)

    @property
    def max_bytes_per_s(self) -> float:
        """The highest pace of all records that a store sends to peers that catch up."""
        return LINK_SHARE * self.link_bytes_per_s

    @property
    def send_time_s(self) -> float:
        """The time in which the records of one peer are to be sent."""
        return SEND_SHARE_OF_CATCH_UP * self.catch_up_s

    @property
    def max_size_bytes(self) -> int:
        """The greatest `size_bytes` of a store that can be replaced within `catchUpS`."""
        pace = min(self.max_bytes_per_s, PROCESSED_BYTES_PER_S)
        return int(pace * MAX_TIME_SHARE_OF_CATCH_UP * self.catch_up_s)

    def chunk_bytes(self, senders: int, sessions: int) -> int:
        """Return the size of a chunk, if each of `senders` stores has one in flight for each session."""
        occupied = self.link_bytes_per_s * MAX_LINK_OCCUPATION_S
        share = int(occupied / max(1, senders * sessions))
        return min(MAX_CHUNK_BYTES, max(MIN_CHUNK_BYTES, share))


def size_bytes(put_bytes: int, messages: int) -> int:
    """Return the size of a store's records, in the bytes that take as long to send and process."""
    return put_bytes + messages * BYTES_PER_MESSAGE


class CatchUpSizeMonitor:
    """Tells whether the records of one store are too many to replace the store within `catchUpS`."""

    def __init__(self, limits: CatchUpLimits) -> None:
        self.limit_bytes = limits.max_size_bytes
        self.size_bytes = 0
        self.is_exceeded = False

    def update(self, current_bytes: int) -> bool:
        """Take over the current `size_bytes` of the store; return whether `is_exceeded` has changed."""
        before = self.is_exceeded
        self.size_bytes = current_bytes
        share = RESTORED_SHARE if before else 1.0
        self.is_exceeded = current_bytes > share * self.limit_bytes
        return self.is_exceeded != before


class CatchUpPacer:
    """Divides the pace of one store among the peers that catch up.

    Times are seconds of the caller's monotonic clock.
    """

    def __init__(self, limits: CatchUpLimits) -> None:
        self.limits = limits
        self._bytes_per_s: dict[str, float] = {}  # peer -> pace of its catch-up so far
        self._next_at: dict[str, float] = {}  # peer -> time at which its next chunk may be sent

    def end(self, peer: str) -> None:
        """Forget a peer that has caught up or was lost."""
        self._bytes_per_s.pop(peer, None)
        self._next_at.pop(peer, None)

    def wait_s(self, peer: str, sent_bytes: int, missing_bytes: int, now: float) -> float:
        """Return how long to wait before the next chunk for a peer.

        `sent_bytes` have just been sent to it, and it may lack up to `missing_bytes`.  The pace for a peer
        never falls while it catches up: the bytes that are left become fewer, and so does the time.  The
        peers to which chunks are being sent share the link; one that does not answer takes no part of it.
        """
        others = sum(other != peer and at > now - ACTIVE_S for other, at in self._next_at.items())
        share = self.limits.max_bytes_per_s / (1 + others)
        wanted = max(MIN_BYTES_PER_S, missing_bytes / self.limits.send_time_s, self._bytes_per_s.get(peer, 0))
        self._bytes_per_s[peer] = wanted
        scheduled = self._next_at.get(peer, now) + sent_bytes / min(share, wanted)
        self._next_at[peer] = max(now, scheduled)
        return self._next_at[peer] - now
