"""The timing parameters of the membership protocol.  All durations are in nanoseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Timing and limits of the protocol.  A member probes one other member in each period."""

    period_ns: int = 250 * MS
    timeout_ns: int = 90 * MS  # of a direct ping; shorter than the period, so that indirect pings fit into it
    helpers: int = 3  # members asked for an indirect ping (k in section 3.1 of SWIM)
    min_suspicion_periods: float = 4.0  # minimum suspicion timeout; it grows with the log of the group size
    suspicion_max_factor: float = 4.0  # times the minimum, without any confirmation (beta in Lifeguard)
    confirmers: int = 3  # confirmations that reduce the timeout to its minimum (K in Lifeguard)
    max_health_score: int = 8  # limit of Lifeguard's local health score, which slows a member down; 0: off
    isolation_periods: float = 4.0  # a member that receives no message for so long is deaf (see member.py)
    digest_periods: float = 10.0  # average interval between two digest exchanges
    rejoin_periods: float = 5.0  # average interval between two attempts to contact absent names
    rejoin_divisor: int = 32  # an attempt contacts one absent name out of this many, and at least one
    forget_ns: int = 120_000 * MS  # retention of the records of dead and departed members
    max_members: int = 1024
    capacity: int = 256  # maximum size of a datagram in bytes

    def suspicion_ns(self, members: int, confirmed: int, health: int) -> int:
        """Returns the suspicion timeout in nanoseconds.

        The timeout falls from its maximum to its minimum with the log of the number of confirmations
        (section IV-B of Lifeguard), and it rises with the local health score `health`.  `members` is the
        number of present members, `confirmed` the number of confirmations.
        """
        least = self.period_ns * (self.min_suspicion_periods + math.log2(max(2, members)) / 4)
        most = least * self.suspicion_max_factor
        wanted = min(self.confirmers, max(0, members - 2))
        part = 1.0 if wanted == 0 else min(1.0, math.log(confirmed + 1) / math.log(wanted + 1))
        return round((most - (most - least) * part) * (1 + health / 4))
