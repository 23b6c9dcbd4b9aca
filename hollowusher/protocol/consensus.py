"""Messages with which the voters of a view decide the next view.

Each epoch is one instance of single-decree Paxos (Lamport, "Paxos Made Simple", section 2.2) among the voters
of the previous view; all voters that the first view names decide the first view.  Ballots are `[round,
proposer name]` and compare as lists.  If the acceptor has promised a greater ballot, `granted` is false in
its response and `ballot` is the greater ballot.  Tags 37 and 38 belonged to messages of the first view; they
are not reused.
"""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.protocol.codec import message
from hollowusher.protocol.view import View


@message(14)
class Prepare:
    """Phase 1a: request of a proposer for a promise in the Paxos instance of `epoch`."""

    epoch: int
    ballot: list[Any]  # [round, name]
    base: View | None = None  # the previous view, for an acceptor that has not received it yet
    voter: str = ""  # "name/disk id" of the intended acceptor, because addresses are reused


@message(15)
class Promise:
    """Phase 1b: response to `Prepare`, with the view that the acceptor has accepted so far."""

    granted: bool
    ballot: list[Any]
    accepted_ballot: list[Any] | None = None
    accepted: View | None = None
    decided: View | None = None  # a decided view newer than that of the proposer


@message(16)
class Accept:
    """Phase 2a: request of a proposer to accept `view` as the view of `epoch`."""

    epoch: int
    ballot: list[Any]
    view: View
    voter: str = ""  # as in `Prepare`


@message(17)
class Accepted:
    """Phase 2b: response to `Accept`."""

    granted: bool
    ballot: list[Any]
    decided: View | None = None


@message(18)
class ViewDecided:
    """One-way notice that a view has been decided."""

    view: View


@message(39)
class Ping:
    """Health check of one voter by another."""

    name: str
    epoch: int  # of the newest view that the sender has


@message(40)
class Pong:
    """Response to `Ping`: the state of a voter that the other voters need in order to propose a view."""

    name: str
    disk_id: str
    epoch: int
    complete: bool  # it holds every committed state, so it may become the head of the chain
    heard: list[str]  # names of the voters that it can reach
    leaving: bool = False  # it is about to stop, so it must not enter the chain
    stalled: bool = False  # a write or sync of its disk is stalled
    state_version: list[int] = attrs.Factory(list)  # [epoch, sequence] of the newest state on its disk


@message(41)
class ConfirmEpoch:
    """Request of the chain's head or tail to the voters to confirm that its view is still the newest."""

    epoch: int
    cluster: str = ""
    voter: str = ""  # as in `Prepare`


@message(42)
class EpochConfirmed:
    """Response to `ConfirmEpoch`: `ok` if the voter has accepted no later view."""

    ok: bool
    epoch: int
