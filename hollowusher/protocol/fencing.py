"""Fencing tokens: the epoch of a request, and the higher epoch in a response that rejects it.

A request carries the sender's epoch for a matter, which is the control chain or one partition.  A peer that
has promised a higher epoch for that matter rejects the request and returns the higher epoch; from then on the
sender is deposed.  The two tables at the end of this module extract the epochs from requests and responses.
docs/control-safety/fencing.md lists the requests and the roles that step down.

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

STALE = "stale"  # status of a `ReplicaDifference` that rejects the epoch of the requester


class Domain(enum.Enum):
    """The scope of an epoch."""

    CONTROL = "the control chain; its epoch is that of the view"
    PARTITION = "one partition of messages; its epoch is that of its placement"


@attrs.frozen
class Matter:
    """A resource that at most one process may act on per epoch: the control chain, or one partition."""

    domain: Domain
    partition: int = 0


@attrs.frozen
class FencingToken:
    """An epoch of a matter."""

    matter: Matter
    epoch: int


CONTROL_CHAIN = Matter(Domain.CONTROL)


def partition_matter(partition: int) -> Matter:
    """Return the matter for one partition."""
    return Matter(Domain.PARTITION, partition)


def fencing_tokens(message: object) -> Iterable[FencingToken]:
    """Return the fencing tokens of a request; none for a request without an epoch."""
    extract_tokens = _REQUEST_TOKENS.get(type(message))
    return extract_tokens(message) if extract_tokens is not None else ()


def rejecting_tokens(message: object, answer: object) -> list[FencingToken]:
    """Return the tokens of a response whose epochs are higher than those of the request."""
    extract_tokens = _RESPONSE_TOKENS.get(type(answer))
    if extract_tokens is None:
        return []
    returned = {token.matter: token for token in extract_tokens(message, answer)}
    own = [token for token in fencing_tokens(message) if token.matter in returned]
    return [returned[token.matter] for token in own if returned[token.matter].epoch > token.epoch]


def _control_tokens(message: ChainWrite | ConfirmEpoch) -> tuple[FencingToken]:
    return (FencingToken(CONTROL_CHAIN, message.epoch),)


def _batch_tokens(message: ReplicateRequest) -> list[FencingToken]:
    return [FencingToken(partition_matter(batch.partition), batch.epoch) for batch in message.batches]


def _summary_tokens(message: ReplicaSummary) -> tuple[FencingToken]:
    return (FencingToken(partition_matter(message.partition), message.epoch),)


def _chain_rejections(_message: object, answer: ChainWritten | EpochConfirmed) -> list[FencingToken]:
    return [] if answer.ok else [FencingToken(CONTROL_CHAIN, answer.epoch)]


def _replica_rejections(_message: object, answer: ReplicateResponse) -> list[FencingToken]:
    return [FencingToken(partition_matter(partition), epoch) for partition, epoch in answer.refused.items()]


def _difference_rejections(message: ReplicaSummary, answer: ReplicaDifference) -> list[FencingToken]:
    if answer.status != STALE:
        return []
    return [FencingToken(partition_matter(message.partition), answer.epoch)]


_REQUEST_TOKENS: dict[type, Callable[[Any], Iterable[FencingToken]]] = {
    ChainWrite: _control_tokens,
    ConfirmEpoch: _control_tokens,
    ReplicateRequest: _batch_tokens,
    ReplicaSummary: _summary_tokens,
}

_RESPONSE_TOKENS: dict[type, Callable[[Any, Any], list[FencingToken]]] = {
    ChainWritten: _chain_rejections,
    EpochConfirmed: _chain_rejections,
    ReplicateResponse: _replica_rejections,
    ReplicaDifference: _difference_rejections,
}
