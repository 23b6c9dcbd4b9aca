"""Messages of the control plane: members, views, the control chain, distributed updates, configuration.

Names: a node is known by its `nodeName`; an incarnation is the number of one life of its process (it only
grows); a disk id is written to a new, empty data folder and names that disk for good, so that a machine that
lost its disk is not taken for the one that had it.
"""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.protocol.codec import message
from hollowusher.protocol.identity import Identity


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
class Register:
    """A process announces itself to a controller (also: it refutes its death with a higher status)."""

    member: Member


@message(3)
class Registered:
    """Answer to `Register`; `epoch` is the newest view that the controller knows, 0 for none."""

    epoch: int


@message(4)
class Heartbeat:
    """One-way, to each monitor."""

    name: str
    incarnation: int


@message(5)
class Suspicion:
    """One-way, from a monitor to every controller: no sign of life within the time allowed."""

    name: str
    incarnation: int
    reporter: str


@message(6)
class Leaving:
    """A process tells a controller that it is about to stop (after SIGTERM)."""

    name: str
    incarnation: int


@message(7)
class Done:
    """A plain acknowledgement."""


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
class ViewAnswer:
    """The newest decided view, None where there is none yet."""

    view: View | None


@message(14)
class Prepare:
    """First phase of agreeing on view `epoch`."""

    epoch: int
    ballot: list[Any]  # [round, name]
    base: View | None = None  # the view before, for an acceptor that has not heard of it yet
    voter: str = ""  # "name/disk id" of the voter asked: an address may by now be another process's


@message(15)
class Promise:
    """Answer to `Prepare`."""

    granted: bool
    ballot: list[Any]
    accepted_ballot: list[Any] | None = None
    accepted: View | None = None
    decided: View | None = None  # a newer view than the asker's


@message(16)
class Accept:
    """Second phase of agreeing on a view."""

    epoch: int
    ballot: list[Any]
    view: View
    voter: str = ""  # as in `Prepare`


@message(17)
class Accepted:
    """Answer to `Accept`."""

    granted: bool
    ballot: list[Any]
    decided: View | None = None


@message(18)
class Decided:
    """One-way: a view has been decided."""

    view: View


@message(20)
class PartitionPlacement:
    """Who keeps one partition.  Replicas and learners are store ids ("name/disk id"); the primary is one of
    the replicas.  Learners receive records but do not count until they have caught up."""

    partition: int
    epoch: int  # grows with each change of the primary or the replicas
    primary: str
    replicas: list[str]
    learners: list[str] = attrs.Factory(list)
    primary_incarnation: int = 0  # the life of the primary's process that may serve this epoch; 0: any


@message(21)
class Placement:
    """The placement of all partitions."""

    version: int
    partitions: list[PartitionPlacement]


@message(22)
class ControlState:
    """All that the control chain keeps."""

    sequence: int
    generation: int  # 0: no configuration has been taken yet
    document: bytes  # the configuration in force, canonical JSON
    history: list[list[Any]]  # [generation, digest of the order] of changes taken, oldest first
    placement: Placement | None = None
    retiring: dict[str, str] = attrs.Factory(dict)  # store name -> "running" | "completed"


@message(23)
class ChainWrite:
    """From the head towards the tail: keep this state durably, pass it on, then answer.

    A document and history that the receiver holds, or that are too large for one message, are left out of
    `state` and named by `record`; a receiver that lacks them asks for them (`ReadRecord`)."""

    epoch: int
    state: ControlState
    record: bytes = b""  # digest of the document and history that `state` lacks; empty: it is whole
    cluster: str = ""
    sender: str = ""  # the chain member before the receiver
    receiver_disk: str = ""


@message(24)
class ChainWritten:
    """Answer to `ChainWrite`: `ok` once the tail has the state; else the epoch known to the refuser."""

    ok: bool
    epoch: int = 0
    unreachable: str = ""  # the chain member that gave no answer
    lacking: str = ""  # the chain member that is still fetching the document and history


@message(25)
class ChangeConfiguration:
    """An operator's order, forwarded to the chain's head.  `method` is PUT or PATCH."""

    method: str
    if_match: int | None
    body: bytes
    forwarded: bool = False  # a controller passed it on: it is not passed on again


@message(26)
class ReadConfiguration:
    """Asks the tail for the configuration in force."""

    forwarded: bool = False


@message(27)
class OperatorAnswer:
    """The HTTP answer an operator is to get; 503 where nothing can be promised."""

    status: int
    body: bytes = b""


@message(28)
class Retire:
    """Operator's order to empty a store machine, forwarded to the head.  `duration_s` None only asks."""

    name: str
    duration_s: float | None


@message(29)
class ReadState:
    """Asks the chain's tail for the control state (a started scheduler does, before it serves)."""

    forwarded: bool = False


@message(30)
class StateAnswer:
    """The committed control state, None where it could not be confirmed."""

    state: ControlState | None
    epoch: int = 0


@message(31)
class Item:
    """One distributed value.  Of two items with one key the one with the greater `version` counts."""

    key: str  # "configuration" | "placement" | "view" | "member/NAME" | "workers"
    version: list[int]
    origin: str  # "name/incarnation" of the controller that published it
    counter: int  # position among its origin's items
    value: Any


@message(32)
class PullUpdates:
    """Asks a controller for the items beyond the reader's version vector; it may wait for one to come."""

    reader: str
    have: dict[str, int]  # origin -> counter
    wait_ms: int


@message(33)
class Updates:
    """Answer to `PullUpdates`.  `connected` is False where the controller has lost most of the others, so
    that what it gives may be old; `age_ms`: how long ago it had word from most of them."""

    items: list[Item]
    have: dict[str, int]
    connected: bool = True
    age_ms: int = 0


@message(34)
class Worker:
    """One worker of the platform's list."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: str  # "ready" | "draining"
    warm_in_ms: int = 0  # how much longer it stays slow
    generation: str = ""


@message(35)
class WorkerList:
    """The whole list as read by the duty holder."""

    workers: list[Worker]


@message(36)
class Announce:
    """A controller makes itself known: to the seeds while the system starts for the first time
    (`bootstrap`), to the voters while it is none of them.  The answer is a `ViewAnswer`."""

    voter: Voter
    bootstrap: bool = False
    cluster: str = ""  # empty while the sender has not learnt it


@message(37)
class ProposeFirst:
    """Asks a controller with an empty disk to take this as view 1."""

    view: View


@message(38)
class FirstTaken:
    """Answer to `ProposeFirst`: the first view that the controller holds durably, and the newest view that
    it knows to be decided."""

    taken: View | None
    decided: View | None = None


@message(39)
class Ping:
    """A voter asks another one whether it is there."""

    name: str
    epoch: int  # the newest view the sender knows


@message(40)
class Pong:
    """Answer to `Ping`."""

    name: str
    disk_id: str
    epoch: int
    complete: bool  # holds every committed state: may become the chain's head
    heard: list[str]  # the voters that it hears
    leaving: bool = False  # about to stop: not to be taken into the chain
    stalled: bool = False  # its disk does not answer
    state_version: list[int] = attrs.Factory(list)  # [epoch, sequence] of the newest state on its disk


@message(41)
class ConfirmEpoch:
    """The chain's tail or head asks the voters whether its view is still the newest."""

    epoch: int
    cluster: str = ""
    voter: str = ""  # as in `Prepare`


@message(42)
class EpochConfirmed:
    """Answer to `ConfirmEpoch`: `ok` where the voter has accepted no later view."""

    ok: bool
    epoch: int


@message(45)
class LearnerReady:
    """From a partition's primary to the head: this learner holds every committed record.  Sent again until
    the placement has changed.

    From the moment it first sends this until the new placement is in force, the primary has to commit with
    the learner's acknowledgement besides those of f+1 replicas; else a record that stands on the primary and
    on the replaced replica alone would be lost together with the primary."""

    partition: int
    epoch: int
    store_id: str


@message(104)
class LearnerLost:
    """From a partition's primary to the head: this learner, which it had reported ready, does not answer any
    more.  Commits wait for the learner until a placement without it is in force, whose greater epoch makes
    all earlier reports void.  Sent again until then."""

    partition: int
    epoch: int
    store_id: str


@message(46)
class Repair:
    """One-way, from a reader to the controller it pulls from: items that the controller lacks, because the
    one that published them ended before any other had pulled them."""

    items: list[Item]


@message(108)
class ReadRecord:
    """Asks a controller for a part of the document and history that a state names by their digest."""

    digest: bytes  # empty: those of the newest state that the controller holds
    offset: int
    cluster: str = ""


@message(109)
class RecordChunk:
    """Answer to `ReadRecord`; an empty `digest` where the controller does not hold it."""

    digest: bytes
    size: int  # of the whole
    offset: int
    data: bytes


@message(100)
class OfferView:
    """To a seed, from a process that holds a decided view.  The answer is a `ViewAnswer` with the newest view
    that the seed knows now."""

    view: View


@message(116)
class Hello:
    """The first frame on a connection, and again when the caller has learnt more: who calls, and whom it
    means to reach.  Empty fields of `meant` are not known to the caller."""

    caller: Identity
    meant: Identity


@message(117)
class ProbeLife:
    """Asks whether this very life of a process is there.  The answer is `Done`, and none from a later life;
    another process at its address refuses the call."""

    name: str
    incarnation: int
