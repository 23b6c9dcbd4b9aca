"""The agreed view, and the messages by which processes learn of it.

A view names the voters of the next view and the control chain from head to tail.  Views are decided one after
the other by `hollowusher.coordination.consensus`; see docs/control-safety/voting.md.
"""

from __future__ import annotations

import attrs

from hollowusher.protocol.codec import message


@message(10)
class Voter:
    """A member of the group that decides on the next view; name and disk id together identify it."""

    name: str
    disk_id: str
    address: str
    zone: str = ""


@message(11)
class View:
    """Agreed view: the voters on the next view, and the control chain from head to tail."""

    epoch: int
    voters: list[Voter]
    chain: list[str]
    since: dict[str, int] = attrs.Factory(dict)  # chain member -> epoch from which on every chain holds it
    cluster: str = ""  # drawn once with the first view: tells this system from every other one

    @property
    def head(self) -> str:
        """The first member of the chain: it takes writes and holds the singleton roles."""
        return self.chain[0]

    @property
    def tail(self) -> str:
        """The last member of the chain: it answers reads."""
        return self.chain[-1]


@message(12)
class ReadView:
    """Request for the newest decided view."""


@message(13)
class ViewResponse:
    """The newest decided view that the answering process knows, None where it knows none."""

    view: View | None


@message(36)
class AnnounceController:
    """Announcement of a controller that is not a voter; the response is a `ViewResponse`.

    It goes to the seeds while the cluster starts for the first time (`bootstrap`), later to the voters.
    """

    voter: Voter
    bootstrap: bool = False
    cluster: str = ""  # empty while the sender has not learnt it


@message(100)
class OfferView:
    """A decided view, offered to a seed by a process that holds it.

    The response is a `ViewResponse` with the newest view that the seed knows after it.
    """

    view: View
