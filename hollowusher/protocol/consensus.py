"""Messages by which the voters agree on the next view (single-decree Paxos per epoch)."""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.protocol.codec import message
from hollowusher.protocol.view import View


@message(14)
class Prepare:
    """First phase of agreeing on view `epoch`."""

    epoch: int
    ballot: list[Any]  # [round, name]
    base: View | None = None  # the view before, for an acceptor that has not heard of it yet
    voter: str = ""  # "name/disk id" of the voter asked: an address may by now be another process's


@message(15)
class Promise:
    """Answer to `Prepare`."""

    granted: bool
    ballot: list[Any]
    accepted_ballot: list[Any] | None = None
    accepted: View | None = None
    decided: View | None = None  # a newer view than the asker's


@message(16)
class Accept:
    """Second phase of agreeing on a view."""

    epoch: int
    ballot: list[Any]
    view: View
    voter: str = ""  # as in `Prepare`


@message(17)
class Accepted:
    """Answer to `Accept`."""

    granted: bool
    ballot: list[Any]
    decided: View | None = None


@message(18)
class ViewDecided:
    """One-way: a view has been decided."""

    view: View


@message(37)
class ProposeFirstView:
    """Asks a controller with an empty disk to take this as view 1."""

    view: View


@message(38)
class FirstViewResponse:
    """Answer to `ProposeFirstView`: the first view that the controller holds durably, and the newest view
    that it knows to be decided."""

    taken: View | None
    decided: View | None = None


@message(39)
class Ping:
    """A voter asks another one whether it is there."""

    name: str
    epoch: int  # the newest view the sender knows


@message(40)
class Pong:
    """Answer to `Ping`."""

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
    """The chain's tail or head asks the voters whether its view is still the newest."""

    epoch: int
    cluster: str = ""
    voter: str = ""  # as in `Prepare`


@message(42)
class EpochConfirmed:
    """Answer to `ConfirmEpoch`: `ok` where the voter has accepted no later view."""

    ok: bool
    epoch: int
