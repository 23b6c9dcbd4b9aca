"""Identities of the caller and of the intended receiver of a connection.

Addresses are reused, so neither a name nor an address alone identifies a process; cluster, name and
incarnation together identify it.
"""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(90)
class Identity:
    """Identity of one incarnation of one process of one cluster."""

    cluster: str  # `View.cluster`, empty until the process has received a view
    name: str
    incarnation: int
    disk_id: str = ""


@message(116)
class Hello:
    """First frame on a connection: the identities of the caller and of the intended receiver.

    The caller sends another `Hello` when either identity changes.  Fields of `meant` that the caller does not
    have are empty.
    """

    caller: Identity
    meant: Identity
