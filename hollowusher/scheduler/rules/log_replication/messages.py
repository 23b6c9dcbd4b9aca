"""What the members of a group say to one another, and what a log holds.

A log belongs to an `owner`; `term` is its fence: who leads it in a term is the only one that may add to it,
and whatever comes from a lower term is refused.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

MAX_ENTRIES_PER_APPEND = 64  # in one message: a slow copy is caught up piece by piece
SNAPSHOT_CHUNK_BYTES = 32 * 1024  # bytes of a snapshot in one message


class VoterStanding(IntEnum):
    """How much the word of one that is asked by a learner is worth."""

    BLANK = 0  # it holds nothing either
    PART = 1  # it is a learner that holds a part
    STORED = 2  # it has its storage, and is a learner itself
    FULL = 3  # it is a full member


class LogEntry(Struct, frozen=True, array_like=True):
    """One entry of a log.  `group`: who keeps the log from here on, where this entry changes that."""

    term: int
    data: bytes = b""
    group: tuple[str, ...] = ()


class Append(Struct, frozen=True, array_like=True, tag="a"):
    """The leader's entries after `prev`, and how far all is committed.  `sent`: by the leader's own clock."""

    owner: str
    term: int
    prev: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent: int


class Appended(Struct, frozen=True, array_like=True, tag="b"):
    """Held up to `match` (or, refused, try from there).  `sent` comes back, for the leader's lease.  `lacks`:
    it is a learner, whose word counts for no commit until it has learnt all up to the leader's last entry."""

    owner: str
    term: int
    ok: bool
    match: int
    sent: int
    lacks: bool = False


class VoteRequest(Struct, frozen=True, array_like=True, tag="v"):
    """Will you follow me?  `trial`: would you, if I asked: nothing changes by a trial.  `calls`: the leader
    has told the one who asks to take over, so its lease is no reason to refuse."""

    owner: str
    term: int
    last: int
    last_term: int
    trial: bool = False
    calls: bool = False


class Vote(Struct, frozen=True, array_like=True, tag="w"):
    """Whether it will."""

    owner: str
    term: int
    yes: bool
    trial: bool = False


class LearnRequest(Struct, frozen=True, array_like=True, tag="l"):
    """One that has started: it does not know whether it has forgotten something.  `nonce` is of this start,
    `starts` counts its starts as far as it knows, 0 where it holds nothing."""

    owner: str
    nonce: int
    starts: int


class LearnReply(Struct, frozen=True, array_like=True, tag="t"):
    """What the others know: the term, and the most starts that they have heard of.  `leads`: it leads the
    log, up to `last`."""

    owner: str
    nonce: int
    term: int
    starts: int
    standing: VoterStanding
    leads: bool = False
    last: int = 0


class SnapshotChunk(Struct, frozen=True, array_like=True, tag="s"):
    """A piece of the state up to `last`, for one whose entries are no longer kept."""

    owner: str
    term: int
    last: int
    last_term: int
    group: tuple[str, ...]
    at: int
    complete: int
    piece: bytes
    sent: int


class SnapshotReceived(Struct, frozen=True, array_like=True, tag="i"):
    """Held up to so many bytes of that image."""

    owner: str
    term: int
    last: int
    at: int
    sent: int


class TakeOver(Struct, frozen=True, array_like=True, tag="h"):
    """The leader gives the lead to its owner, who holds all."""

    owner: str
    term: int


class HandBack(Struct, frozen=True, array_like=True, tag="q"):
    """The owner is back, holds all, and asks for the lead of its log."""

    owner: str
    term: int


Message = (
    Append
    | Appended
    | VoteRequest
    | Vote
    | LearnRequest
    | LearnReply
    | SnapshotChunk
    | SnapshotReceived
    | TakeOver
    | HandBack
)
