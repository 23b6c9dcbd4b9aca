"""Messages about the members of the cluster: registration, heartbeats, suspicion, departure.

A node is known by its `nodeName`.  An incarnation is the number of one run of its process; it only grows.  A
disk id is written to a new, empty data directory and names that disk for good, so that a machine that lost
its disk is not taken for the one that had it.
"""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(1)
class Member:
    """One process of the cluster as the other processes know it.

    `status` grows within an incarnation; even numbers mean alive, odd ones dead or departing.
    """

    name: str
    role: str  # "edge" or "store"
    address: str  # internal "ip:port"
    zone: str
    region: str
    incarnation: int
    disk_id: str = ""  # empty without a data folder
    counts: bool = False  # countsForQuorum: its loss is limited by faultTolerance
    controller: bool = False  # takes part in the control chain: serves control_plane, has a disk
    admin: str = ""  # operator address "ip:port"
    status: int = 0
    leaving: bool = False  # not alive because it stops: it ends its own work

    @property
    def alive(self) -> bool:
        """Whether the member is present and takes work."""
        return self.status % 2 == 0

    @property
    def store_id(self) -> str:
        """The name and disk id that replica sets refer to, as "name/disk id"."""
        return f"{self.name}/{self.disk_id}"


@message(2)
class RegisterMember:
    """Request of a process to a controller to be registered as a member.

    A member that was declared dead by mistake refutes it by registering with a greater `status`.
    """

    member: Member


@message(3)
class MemberRegistered:
    """Response to `RegisterMember`."""

    epoch: int  # of the newest view that the controller knows, 0 for none


@message(4)
class Heartbeat:
    """One-way sign of life from a member to each of its monitors."""

    name: str
    incarnation: int


@message(5)
class MemberSuspected:
    """One-way report of a monitor to every controller: a member's heartbeats have stopped."""

    name: str
    incarnation: int
    reporter: str


@message(6)
class MemberDeparting:
    """Notice of a process to a controller that it is about to stop, after SIGTERM."""

    name: str
    incarnation: int


@message(117)
class CheckIncarnation:
    """Health check of one incarnation of a process.

    That incarnation answers with `Acknowledgement`, a later one not at all.  Another process at the address
    refuses the call.
    """

    name: str
    incarnation: int
