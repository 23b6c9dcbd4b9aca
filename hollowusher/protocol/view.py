"""The agreed view, and the messages by which processes learn of it."""

from __future__ import annotations

import attrs

from hollowusher.protocol.codec import message


@message(10)
class Voter:
    """A member of the group that agrees on views."""

    name: str
    disk_id: str
    address: str
    zone: str = ""


@message(11)
class View:
    """The agreed view: who votes on the next one, and the control chain from head to tail."""

    epoch: int
    voters: list[Voter]
    chain: list[str]
    since: dict[str, int] = attrs.Factory(dict)  # chain member -> epoch from which on every chain holds it
    cluster: str = ""  # drawn once with the first view: tells this system from every other one

    @property
    def head(self) -> str:
        """The chain's first member: takes writes and holds the singleton duties."""
        return self.chain[0]

    @property
    def tail(self) -> str:
        """The chain's last member: answers reads."""
        return self.chain[-1]


@message(12)
class ReadView:
    """Asks for the newest decided view."""


@message(13)
class ViewResponse:
    """The newest decided view, None where there is none yet."""

    view: View | None


@message(36)
class AnnounceController:
    """A controller makes itself known: to the seeds while the system starts for the first time
    (`bootstrap`), to the voters while it is none of them.  The answer is a `ViewResponse`."""

    voter: Voter
    bootstrap: bool = False
    cluster: str = ""  # empty while the sender has not learnt it


@message(100)
class OfferView:
    """To a seed, from a process that holds a decided view.  The answer is a `ViewResponse` with the newest
    view that the seed knows now."""

    view: View
