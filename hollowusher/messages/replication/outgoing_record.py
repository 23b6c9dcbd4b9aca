"""The record type of replication streams."""

from __future__ import annotations

from typing import NamedTuple

from hollowusher.messages.partition.proposal import Proposal


class OutgoingRecord(NamedTuple):
    """A proposal and the partition whose replicas receive its record."""

    partition: int
    proposal: Proposal
