"""The times of a group, and what follows from them.  All spans are nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class ReplicationTiming:
    """`lease_ns` is all that is set; clocks may run at rates that differ by `drift` either way."""

    lease_ns: int = 1_000 * MS
    drift: float = 0.01
    heartbeats_per_lease: int = 5  # appends, empty ones among them, in a lease
    resend_heartbeats: int = 2  # beats after which an unanswered append is sent once more

    @property
    def heartbeat_ns(self) -> int:
        """Between two signs of a leader."""
        return self.lease_ns // self.heartbeats_per_lease

    @property
    def lease_validity_ns(self) -> int:
        """How long after sending it an append that a majority answered lets a leader promise: shorter than
        any follower's wait, by what two clocks may differ."""
        return round(self.lease_ns * (1 - 2 * self.drift))

    def wait_ns(self, share: float, owner: bool, members: int) -> int:
        """How long a follower waits for a silent leader before it asks for the lead: the lease, and then by
        chance, the more of them the wider, so that two rarely ask at once.  A log's own owner asks first."""
        wide = 0.4 if owner else 0.2 * members
        return self.lease_ns + round(((0.0 if owner else 0.15) + wide * share) * self.lease_ns)
