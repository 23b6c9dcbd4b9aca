"""Messages by which the voters of a view decide on the next one.

Each epoch is one instance of single-decree Paxos (Lamport, "Paxos Made Simple", section 2.2) among the voters
of the view before; the first view is decided by all voters that it names.  Ballots are `[round, proposer
name]` and compare as lists.  `granted` is false where the acceptor has promised a greater ballot, which
`ballot` then names.  Tags 37 and 38 were messages of the first view, and are not used again.
"""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.protocol.codec import message
from hollowusher.protocol.view import View


@message(14)
class Prepare:
    """Phase 1a: request of a proposer for a promise about the view of `epoch`."""

    epoch: int
    ballot: list[Any]  # [round, name]
    base: View | None = None  # the view before, for an acceptor that has not heard of it yet
    voter: str = ""  # "name/disk id" of the voter asked: an address may by now be another process's


@message(15)
class Promise:
    """Phase 1b: response to `Prepare`, with the value accepted so far."""

    granted: bool
    ballot: list[Any]
    accepted_ballot: list[Any] | None = None
    accepted: View | None = None
    decided: View | None = None  # a newer view than the asker's


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
    epoch: int  # the newest view the sender knows


@message(40)
class Pong:
    """Response to `Ping`: the state of a voter as the others need it to propose a view."""

    name: str
    disk_id: str
    epoch: int
    complete: bool  # holds every committed state: may become the chain's head
    heard: list[str]  # the voters that it hears
    leaving: bool = False  # about to stop: not to be taken into the chain
    stalled: bool = False  # its disk does not answer
    state_version: list[int] = attrs.Factory(list)  # [epoch, sequence] of the newest state on its disk


@message(41)
class ConfirmEpoch:
    """Question of the chain's head or tail to the voters whether its view is still the newest."""

    epoch: int
    cluster: str = ""
    voter: str = ""  # as in `Prepare`


@message(42)
class EpochConfirmed:
    """Response to `ConfirmEpoch`: `ok` where the voter has accepted no later view."""

    ok: bool
    epoch: int
