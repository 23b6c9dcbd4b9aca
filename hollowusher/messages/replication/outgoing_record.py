"""One record on its way to another replica."""

from __future__ import annotations

from typing import NamedTuple

from hollowusher.messages.partition.proposal import Proposal


class OutgoingRecord(NamedTuple):
    """One record to send."""

    partition: int
    proposal: Proposal
