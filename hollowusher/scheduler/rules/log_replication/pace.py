"""The timing parameters of a replicated log.  All durations are in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class ReplicationTiming:
    """The timing of one group, derived from `lease_ns`.  Clock rates may deviate by `drift` either way."""

    lease_ns: int = 1_000 * MS
    drift: float = 0.01
    heartbeats_per_lease: int = 5  # appends per lease duration, including empty ones
    resend_heartbeats: int = 2  # heartbeats after which the leader resends an append without a reply

    @property
    def heartbeat_ns(self) -> int:
        """The interval between two heartbeats of a leader."""
        return self.lease_ns // self.heartbeats_per_lease

    @property
    def lease_validity_ns(self) -> int:
        """How long the leader's lease lasts after it sent an append that a majority acknowledged.

        The lease is shorter than the wait of any follower by the possible drift of two clocks.
        """
        return round(self.lease_ns * (1 - 2 * self.drift))

    def wait_ns(self, share: float, owner: bool, members: int) -> int:
        """Returns the election timeout of a follower in nanoseconds.

        The timeout is the lease plus a random part, chosen by `share` between 0 and 1.  The random part grows
        with the number of members, so that two followers rarely start an election at the same time.  The
        owner of the log has no minimum delay, so it usually starts first.
        """
        wide = 0.4 if owner else 0.2 * members
        return self.lease_ns + round(((0.0 if owner else 0.15) + wide * share) * self.lease_ns)
