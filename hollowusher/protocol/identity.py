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
