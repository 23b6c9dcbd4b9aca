"""Identities: which process speaks on a connection, and which one the caller means to reach.

Addresses are used again.  Neither a name nor an address alone says who answers; cluster, name and incarnation
together do.
"""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(90)
class Identity:
    """Identity of one incarnation of one process of one cluster."""

    cluster: str  # `View.cluster`, empty while the process has not learnt it
    name: str
    incarnation: int
    disk_id: str = ""


@message(116)
class Hello:
    """First frame on a connection: the caller's identity and that of the process it means to reach.

    The caller sends it again once it has learnt more.  Empty fields of `meant` are not known to the caller.
    """

    caller: Identity
    meant: Identity
