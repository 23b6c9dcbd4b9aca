"""How long a voter waits after a proposal that decided nothing.  No I/O, no clock.

Voters that propose at once end each other's ballots.  Where messages and disks are slow beside a fixed pause,
that goes on: each next ballot begins before the one under way is through.  So the pause doubles with each
failure in one epoch, and is drawn at random; a decided view ends it.

Source: Lamport, "Paxos made simple" (2001), section 2.4 (progress needs one distinguished proposer); Metcalfe
and Boggs, "Ethernet: distributed packet switching for local computer networks" (1976), for binary exponential
backoff.
"""

from __future__ import annotations

import random

MAX_FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 3.2


class ProposalBackoff:
    """The pauses of one voter, counted anew for each epoch."""

    def __init__(self, random_source: random.Random) -> None:
        self._random_source = random_source
        self._epoch = 0
        self._failures = 0

    def next_pause_s(self, epoch: int) -> float:
        """Return the pause after a proposal for this epoch has failed."""
        if epoch != self._epoch:
            self._epoch, self._failures = epoch, 0
        longest_s = min(MAX_PAUSE_S, MAX_FIRST_PAUSE_S * 2**self._failures)
        self._failures += 1
        return self._random_source.uniform(0.0, longest_s)
