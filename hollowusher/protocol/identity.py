"""Who speaks on a connection between two processes."""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(90)
class Identity:
    """Which life of which process of which system speaks.  Addresses are used again: a name alone, or an
    address alone, does not say who answers."""

    cluster: str  # `View.cluster`, empty while the process has not learnt it
    name: str
    incarnation: int
    disk_id: str = ""


@message(116)
class Hello:
    """The first frame on a connection, and again when the caller has learnt more: who calls, and whom it
    means to reach.  Empty fields of `meant` are not known to the caller."""

    caller: Identity
    meant: Identity
