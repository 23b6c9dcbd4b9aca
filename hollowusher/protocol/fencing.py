"""Fencing tokens: the epoch under which a request acts, and the higher epoch that an answer names.

A request carries the epoch of whoever sends it on some matter.  A peer that has promised a higher epoch on
that matter rejects it and names that epoch; the sender is deposed from then on.  The two tables here are all
that is needed to see both on the wire.  docs/control-safety/fencing.md lists the requests and who steps down.

Source: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache
consistency" (1989); Lamport, Malkhi and Zhou, "Vertical Paxos and primary-backup replication" (2009).
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from hollowusher.protocol.consensus import ConfirmEpoch, EpochConfirmed
from hollowusher.protocol.control_chain import ChainWrite, ChainWritten
from hollowusher.protocol.replication import (
    ReplicaDifference,
    ReplicaSummary,
    ReplicateRequest,
    ReplicateResponse,
)

STALE = "stale"  # the status of a `ReplicaDifference` that rejects the asker's epoch


class Domain(enum.Enum):
    """Over what an epoch rules."""

    CONTROL = "the control chain, by the epoch of the view"
    PARTITION = "one partition of messages, by the epoch of its placement"


@attrs.frozen
class Matter:
    """What at most one process acts on: the control chain, or one partition."""

    domain: Domain
    partition: int = 0


@attrs.frozen
class FencingToken:
    """An epoch on a matter."""

    matter: Matter
    epoch: int


CONTROL_CHAIN = Matter(Domain.CONTROL)


def partition_matter(partition: int) -> Matter:
    """Return the matter of one partition."""
    return Matter(Domain.PARTITION, partition)


def fencing_tokens(message: object) -> Iterable[FencingToken]:
    """Return the tokens under which a request acts; none for requests without an epoch."""
    read = _REQUESTS.get(type(message))
    return read(message) if read is not None else ()


def rejecting_tokens(message: object, answer: object) -> list[FencingToken]:
    """Return the higher epochs that an answer names for matters of the request."""
    read = _ANSWERS.get(type(answer))
    if read is None:
        return []
    named = {token.matter: token for token in read(message, answer)}
    own = [token for token in fencing_tokens(message) if token.matter in named]
    return [named[token.matter] for token in own if named[token.matter].epoch > token.epoch]


def _of_view(message: ChainWrite | ConfirmEpoch) -> tuple[FencingToken]:
    return (FencingToken(CONTROL_CHAIN, message.epoch),)


def _of_batches(message: ReplicateRequest) -> list[FencingToken]:
    return [FencingToken(partition_matter(batch.partition), batch.epoch) for batch in message.batches]


def _of_summary(message: ReplicaSummary) -> tuple[FencingToken]:
    return (FencingToken(partition_matter(message.partition), message.epoch),)


def _named_by_chain(_message: object, answer: ChainWritten | EpochConfirmed) -> list[FencingToken]:
    return [] if answer.ok else [FencingToken(CONTROL_CHAIN, answer.epoch)]


def _named_by_replica(_message: object, answer: ReplicateResponse) -> list[FencingToken]:
    return [FencingToken(partition_matter(partition), epoch) for partition, epoch in answer.refused.items()]


def _named_by_difference(message: ReplicaSummary, answer: ReplicaDifference) -> list[FencingToken]:
    if answer.status != STALE:
        return []
    return [FencingToken(partition_matter(message.partition), answer.epoch)]


_REQUESTS: dict[type, Callable[[Any], Iterable[FencingToken]]] = {
    ChainWrite: _of_view,
    ConfirmEpoch: _of_view,
    ReplicateRequest: _of_batches,
    ReplicaSummary: _of_summary,
}

_ANSWERS: dict[type, Callable[[Any, Any], list[FencingToken]]] = {
    ChainWritten: _named_by_chain,
    EpochConfirmed: _named_by_chain,
    ReplicateResponse: _named_by_replica,
    ReplicaDifference: _named_by_difference,
}
