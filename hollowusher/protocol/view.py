"""The agreed view, and the messages that distribute it to processes.

A view contains the voters that decide the next view, and the control chain from head to tail.
`hollowusher.coordination.consensus` decides views one after the other; see docs/control-safety/voting.md.
"""

from __future__ import annotations

import attrs

from hollowusher.protocol.codec import message


@message(10)
class Voter:
    """A member of the group that decides the next view; name and disk id together identify the voter."""

    name: str
    disk_id: str
    address: str
    zone: str = ""


@message(11)
class View:
    """Agreed view: the voters that decide the next view, and the control chain from head to tail."""

    epoch: int
    voters: list[Voter]
    chain: list[str]
    since: dict[str, int] = attrs.Factory(dict)  # chain member -> epoch since which it is in every chain
    cluster: str = ""  # random id of the cluster, generated with the first view

    @property
    def head(self) -> str:
        """The first member of the chain, which accepts writes and runs the singleton roles."""
        return self.chain[0]

    @property
    def tail(self) -> str:
        """The last member of the chain, which serves reads."""
        return self.chain[-1]


@message(12)
class ReadView:
    """Request for the newest decided view."""


@message(13)
class ViewResponse:
    """The newest decided view that the responding process has, None if it has none."""

    view: View | None


@message(36)
class AnnounceController:
    """Announcement of a controller that is not a voter; the response is a `ViewResponse`.

    During the first start of the cluster (`bootstrap`) the controller sends it to the seeds, later to the
    voters.
    """

    voter: Voter
    bootstrap: bool = False
    cluster: str = ""  # empty until the sender has received a view


@message(100)
class OfferView:
    """Offer of a decided view to a seed, by a process that has the view.

    The response is a `ViewResponse` with the newest view that the seed has after processing the offer.
    """

    view: View
