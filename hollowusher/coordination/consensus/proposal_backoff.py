"""Randomized backoff after a proposal that decided no view.  No I/O, no clock.

Voters that propose at the same time preempt each other's ballots.  With a fixed pause this can repeat without
end if messages and disks are slow: each new ballot starts before the current one completes.  Therefore the
upper bound of the pause doubles with each failure within an epoch, and the pause is random below that bound.
The caller ends the pause when a view is decided.

Source: Lamport, "Paxos made simple" (2001), section 2.4 (progress needs one distinguished proposer); Metcalfe
and Boggs, "Ethernet: distributed packet switching for local computer networks" (1976), for binary exponential
backoff.
"""

from __future__ import annotations

import random

MAX_FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 3.2


class ProposalBackoff:
    """Computes the pauses of one voter; each epoch starts again with the shortest bound."""

    def __init__(self, random_source: random.Random) -> None:
        self._random_source = random_source
        self._epoch = 0
        self._failures = 0

    def next_pause_s(self, epoch: int) -> float:
        """Return the pause in seconds after a failed proposal for this epoch."""
        if epoch != self._epoch:
            self._epoch, self._failures = epoch, 0
        longest_s = min(MAX_PAUSE_S, MAX_FIRST_PAUSE_S * 2**self._failures)
        self._failures += 1
        return self._random_source.uniform(0.0, longest_s)
