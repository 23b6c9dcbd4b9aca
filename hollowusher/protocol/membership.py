"""Messages about the members of the system: registration, heartbeats, suspicion, departure."""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(1)
class Member:
    """One process of the system as the others know it.  `status` grows within an incarnation: even numbers
    mean alive, odd ones mean dead or leaving."""

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
        """Whether it is present and takes work."""
        return self.status % 2 == 0

    @property
    def store_id(self) -> str:
        """Name and disk: what a replica set holds."""
        return f"{self.name}/{self.disk_id}"


@message(2)
class RegisterMember:
    """A process announces itself to a controller (also: it refutes its death with a higher status)."""

    member: Member


@message(3)
class MemberRegistered:
    """Answer to `RegisterMember`; `epoch` is the newest view that the controller knows, 0 for none."""

    epoch: int


@message(4)
class Heartbeat:
    """One-way, to each monitor."""

    name: str
    incarnation: int


@message(5)
class MemberSuspected:
    """One-way, from a monitor to every controller: no sign of life within the time allowed."""

    name: str
    incarnation: int
    reporter: str


@message(6)
class MemberDeparting:
    """A process tells a controller that it is about to stop (after SIGTERM)."""

    name: str
    incarnation: int


@message(117)
class CheckIncarnation:
    """Asks whether this very incarnation of a process is there.  The answer is `Acknowledgement`, and none
    from a later incarnation; another process at its address refuses the call."""

    name: str
    incarnation: int
