"""The messages between the replicas of a log, and the log entries.

Each log belongs to an `owner`.  `term` is its fencing epoch: only the leader of a term may append to the log,
and replicas reject messages from lower terms.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

MAX_ENTRIES_PER_APPEND = 64  # entries in one message; a lagging replica catches up in several messages
SNAPSHOT_CHUNK_BYTES = 32 * 1024  # bytes of a snapshot in one message


class VoterStanding(IntEnum):
    """How complete the state of a replica is when it replies to a learner."""

    BLANK = 0  # it holds no state
    PART = 1  # a learner without trusted storage that holds some entries
    STORED = 2  # a learner that still has its storage
    FULL = 3  # a voting replica with state


class LogEntry(Struct, frozen=True, array_like=True):
    """One entry of a log.  `group`: the replicas from this entry on, if it changes the group; else empty."""

    term: int
    data: bytes = b""
    group: tuple[str, ...] = ()


class Append(Struct, frozen=True, array_like=True, tag="a"):
    """The leader's entries after `prev`, and its commit index.  `sent`: the time by the leader's clock."""

    owner: str
    term: int
    prev: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent: int


class Appended(Struct, frozen=True, array_like=True, tag="b"):
    """The reply to `Append`: the replica matches the leader up to `match`.

    If the append was rejected, the leader retries from there.  The reply returns `sent`, for the leader's
    lease.  `lacks`: the replica is a learner; it counts towards no commit until it holds all entries up to
    the leader's last one.
    """

    owner: str
    term: int
    ok: bool
    match: int
    sent: int
    lacks: bool = False


class VoteRequest(Struct, frozen=True, array_like=True, tag="v"):
    """A candidate's request for a vote.

    `trial`: a pre-vote, which changes no state.  `calls`: the leader has asked the candidate to take over, so
    the leader's lease does not prevent the vote.
    """

    owner: str
    term: int
    last: int
    last_term: int
    trial: bool = False
    calls: bool = False


class Vote(Struct, frozen=True, array_like=True, tag="w"):
    """The reply to `VoteRequest`."""

    owner: str
    term: int
    yes: bool
    trial: bool = False


class LearnRequest(Struct, frozen=True, array_like=True, tag="l"):
    """The request of a replica that has started and may have lost state.

    `nonce` identifies this start.  `starts` is the number of its starts that its storage has recorded, or 0
    if it has no storage.
    """

    owner: str
    nonce: int
    starts: int


class LearnReply(Struct, frozen=True, array_like=True, tag="t"):
    """The reply to `LearnRequest`: the sender's term and the number of starts it knows of the learner.

    `leads`: the sender leads the log, whose last entry is `last`.
    """

    owner: str
    nonce: int
    term: int
    starts: int
    standing: VoterStanding
    leads: bool = False
    last: int = 0


class SnapshotChunk(Struct, frozen=True, array_like=True, tag="s"):
    """A chunk of the snapshot up to entry `last`, for a replica that needs entries the leader has discarded.

    `at` is the offset of `piece` in bytes, `complete` the size of the whole snapshot.
    """

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
    """The reply to `SnapshotChunk`: the replica holds the first `at` bytes of that snapshot."""

    owner: str
    term: int
    last: int
    at: int
    sent: int


class TakeOver(Struct, frozen=True, array_like=True, tag="h"):
    """The leader hands the leadership to the owner of the log, which holds all entries."""

    owner: str
    term: int


class HandBack(Struct, frozen=True, array_like=True, tag="q"):
    """The owner of the log, a follower again after a restart, requests the leadership."""

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
