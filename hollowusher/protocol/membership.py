"""Messages about the members of the cluster: registration, heartbeats, suspicion, departure.

A node is identified by its `nodeName`.  An incarnation is the number of one run of its process; it only
grows.  A disk id is written once to a new, empty data directory and identifies that disk permanently, so that
a machine with a replaced disk is not mistaken for the machine with the lost disk.
"""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(1)
class Member:
    """The registration of one process of the cluster.

    `status` grows within an incarnation; even numbers mean alive, odd numbers dead or departing.
    """

    name: str
    role: str  # "edge" or "store"
    address: str  # internal "ip:port"
    zone: str
    region: str
    incarnation: int
    disk_id: str = ""  # empty if the process has no data directory
    counts: bool = False  # setting countsForQuorum: faultTolerance limits the loss of such members
    controller: bool = False  # it may join the control chain: it serves control_plane and has a disk
    admin: str = ""  # operator address "ip:port"
    status: int = 0
    leaving: bool = False  # it is not alive because it is shutting down, and finishes its own work

    @property
    def alive(self) -> bool:
        """Whether the member is present and accepts work."""
        return self.status % 2 == 0

    @property
    def store_id(self) -> str:
        """The id "name/disk id", by which placements refer to the store."""
        return f"{self.name}/{self.disk_id}"


@message(2)
class RegisterMember:
    """Request of a process to a controller to be registered as a member.

    A member that was wrongly declared dead refutes this by registering with a greater `status`.
    """

    member: Member


@message(3)
class MemberRegistered:
    """Response to `RegisterMember`."""

    epoch: int  # of the newest view that the controller has, 0 for none


@message(4)
class Heartbeat:
    """One-way heartbeat of a member to each of its monitors."""

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

    That incarnation responds with `Acknowledgement`, a later one does not respond.  Another process at the
    address rejects the call.
    """

    name: str
    incarnation: int
