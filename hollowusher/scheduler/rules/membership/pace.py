"""The times and counts of the protocol, and what follows from them.  All spans are nanoseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """A member pings one other each period.  What is told, and to whom, follows from these figures alone."""

    period_ns: int = 250 * MS
    timeout_ns: int = 90 * MS  # of a direct ping; a part of the period, so that helpers can still answer
    helpers: int = 3  # that are asked to ping whom we do not hear (k of SWIM's section 3.1)
    min_suspicion_periods: float = (
        4.0  # from a suspicion to a death at the least; grows by the log of the members
    )
    suspicion_max_factor: float = (
        4.0  # times the least, while nobody else has confirmed it (beta of Lifeguard)
    )
    confirmers: int = 3  # others whose confirmation brings the time down to the least (K of Lifeguard)
    max_health_score: int = (
        8  # Lifeguard's local health: how much slower one judges that distrusts itself; 0: off
    )
    isolation_periods: float = 4.0  # who hears nobody for so long is cut off itself and accuses nobody
    digest_periods: float = 10.0  # between two exchanges of digests
    rejoin_periods: float = 5.0  # between two rounds of calls at those who are not there
    rejoin_divisor: int = (
        32  # one of so many is called a round, or one in all: few among many find each other
    )
    forget_ns: int = 120_000 * MS  # how long the dead and those who left are remembered
    max_members: int = 1024
    capacity: int = 256  # bytes of a datagram

    def suspicion_ns(self, members: int, confirmed: int, health: int) -> int:
        """How long a suspicion lasts: from the most down to the least, by the log of who confirms it
        (Lifeguard's section IV-B), and longer for one that distrusts itself."""
        least = self.period_ns * (self.min_suspicion_periods + math.log2(max(2, members)) / 4)
        most = least * self.suspicion_max_factor
        wanted = min(self.confirmers, max(0, members - 2))
        part = 1.0 if wanted == 0 else min(1.0, math.log(confirmed + 1) / math.log(wanted + 1))
        return round((most - (most - least) * part) * (1 + health / 4))
