"""Which job goes on which connection to a node, when another is opened, how long a job may wait for a stream,
and when a connection is retired.  One book a node; the caller carries out what it says.

It does not decide which node a job goes to or whether it goes again: that is the decision module's.  A job
that cannot go out here is turned back unsent, with the reason.  Times are nanoseconds of the caller's one
clock; jobs are whatever the caller hands in, each at most once at a time."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum

_NS_PER_MS = 1_000_000
RETRY_FIRST_NS, RETRY_MOST_NS = 25 * _NS_PER_MS, 200 * _NS_PER_MS  # between connections that came to nothing
RETIRING_SHARE = 3  # retiring connections a node may leave us with, for each that we may use


class RejectReason(Enum):
    """Why a job comes back without a byte of it written."""

    FULL = "as many jobs wait as may"
    WAITED = "no stream came free in time"
    LEAVING = "the node drains, is gone or has been replaced"
    UNREACHABLE = "no connection came up"
    NO_SOCKET = "no socket to spare"


class ConnectionStage(IntEnum):
    """Where a connection stands."""

    OPENING = 0  # until the node has shown by its SETTINGS that it speaks HTTP/2
    OPEN = 1
    RETIRING = 2  # what is on it ends there; nothing new goes on it


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """The limits of one node's book."""

    connections: int = 2
    streams: int = 100
    waiting: int = 512
    wait_ns: int = 1_000 * _NS_PER_MS
    idle_ns: int = 21_000 * _NS_PER_MS
    max_lifetime_streams: int = 1_000_000


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Bring up a connection under this number; `opened` or `failed` follows."""

    connection: int


@dataclass(frozen=True, slots=True)
class AssignStream:
    """The job goes on this connection now; `ended` or `unbegun` follows."""

    job: Hashable
    connection: int


@dataclass(frozen=True, slots=True)
class RejectJob:
    """The job does not go out here."""

    job: Hashable
    why: RejectReason


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """The connection is of no more use and has nothing on it; the book has forgotten it."""

    connection: int


StreamInstruction = OpenConnection | AssignStream | RejectJob | CloseConnection


class _Connection:
    """One connection's account."""

    __slots__ = ("announced", "idle_since", "jobs", "quiet", "stage", "used")

    def __init__(self, now: int) -> None:
        self.stage = ConnectionStage.OPENING
        self.announced = 0
        self.jobs: set[Hashable] = set()
        self.used = 0
        self.quiet = False
        self.idle_since = now


@dataclass(slots=True)
class StreamMetrics:
    """What the book has seen, for the log."""

    given: int = 0
    waited: int = 0  # jobs that found no stream free at once
    opened: int = 0
    retired: int = 0
    lost: int = 0
    longest_wait_ns: int = 0


class StreamTable:
    """The account of one node: its connections, and the jobs that wait for a stream, in order."""

    def __init__(self, limits: StreamLimits) -> None:
        self._limits = limits
        self._connections: dict[int, _Connection] = {}
        self._waiting: dict[Hashable, tuple[int, int]] = {}  # job: since, until
        self._soonest = 0  # no job's wait ends before this
        self._numbers = 0
        self._barren = 0  # connections in a row that came to nothing
        self._open_after = 0
        self.figures = StreamMetrics()

    # --- what is told of jobs

    def request_stream(
        self, now: int, job: Hashable, until: int, urgent: bool = False
    ) -> list[StreamInstruction]:
        """A job wants a stream, at the latest at `until`.  An `urgent` one (a probe) goes before the others:
        behind a queue it would say of a busy node that it is dead."""
        if len(self._waiting) >= self._limits.waiting and not urgent:
            return [RejectJob(job, RejectReason.FULL)]
        self._wait(now, job, until, first=urgent)
        acts = self._move(now)
        if job in self._waiting:
            self.figures.waited += 1
        return acts

    def cancel_wait(self, now: int, job: Hashable) -> bool:
        """A job no longer wants a stream; whether it was waiting for one."""
        return self._waiting.pop(job, None) is not None

    def ended(self, now: int, connection: int, job: Hashable) -> list[StreamInstruction]:
        """A job's stream is over."""
        self._off(now, connection, job)
        return self._move(now)

    def requeue(self, now: int, connection: int, job: Hashable, until: int) -> list[StreamInstruction]:
        """A job that was given comes back without a byte written, and wants another stream: the connection
        retired, or the node lowered its limit, before its turn came.  It goes before those that came
        later."""
        self._off(now, connection, job)
        self._wait(now, job, until, first=True)
        return self._move(now)

    # --- what is told of connections

    def opened(self, now: int, connection: int, announced: int) -> list[StreamInstruction]:
        """A connection is up and its node allows so many streams."""
        if (
            account := self._connections.get(connection)
        ) is not None and account.stage is ConnectionStage.OPENING:
            account.stage, account.announced, account.idle_since = ConnectionStage.OPEN, announced, now
            self.figures.opened += 1
        return self._move(now)

    def failed(
        self, now: int, connection: int, why: RejectReason = RejectReason.UNREACHABLE
    ) -> list[StreamInstruction]:
        """A connection did not come up.  Where it was the only way to the node, those who wait learn it now:
        their time is better spent elsewhere."""
        if self._connections.pop(connection, None) is None:
            return []
        self._came_to_nothing(now)
        if any(c.stage is ConnectionStage.OPEN for c in self._connections.values()):
            return self._move(now)
        return self._turn_back_all(why)

    def set_stream_limit(self, now: int, connection: int, announced: int) -> list[StreamInstruction]:
        """The node allows so many streams from now on; those above it that are open may end in peace."""
        if (account := self._connections.get(connection)) is not None:
            account.announced = announced
        return self._move(now)

    def set_unresponsive(self, now: int, connection: int, silent: bool) -> list[StreamInstruction]:
        """Whether the node owes a sign of life on this connection: nothing new goes on it meanwhile."""
        if (account := self._connections.get(connection)) is not None:
            account.quiet = silent
        return self._move(now)

    def retired(self, now: int, connection: int) -> list[StreamInstruction]:
        """Nothing new may go on a connection: the node sent GOAWAY, or it cannot be used further."""
        account = self._connections.get(connection)
        if account is not None and account.stage is not ConnectionStage.RETIRING:
            account.stage = ConnectionStage.RETIRING
            self.figures.retired += 1
        return self._move(now)

    def lost(self, now: int, connection: int) -> list[StreamInstruction]:
        """A connection broke; the caller has ended what was on it."""
        account = self._connections.pop(connection, None)
        if account is not None:
            self.figures.lost += 1
            if account.used == 0:
                self._came_to_nothing(now)
        return self._move(now)

    # --- what is told of the node and of time

    def node_leaving(self, now: int) -> list[StreamInstruction]:
        """The node drains, is gone, or is another process now: who waits goes back at once, what is open may
        end, and nothing new goes out on these connections."""
        acts = self._turn_back_all(RejectReason.LEAVING)
        for account in self._connections.values():
            account.stage = ConnectionStage.RETIRING
        self._barren = self._open_after = 0
        return acts + list(self._spent(now))

    def tick(self, now: int) -> list[StreamInstruction]:
        """Time has passed."""
        return self._move(now)

    @property
    def earliest_expiry_ns(self) -> int | None:
        """No job's wait ends before this; None: none waits."""
        return self._soonest if self._waiting else None

    @property
    def next_tick_ns(self) -> int | None:
        """When `tick` is due, if nothing is told before; None: never."""
        due = [until for _, until in self._waiting.values()]
        due += [
            c.idle_since + self._limits.idle_ns
            for c in self._connections.values()
            if c.stage is ConnectionStage.OPEN and not c.jobs
        ]
        if self._waiting and self._open_after:
            due.append(self._open_after)
        return min(due, default=None)

    # --- what can be seen

    @property
    def waiting(self) -> int:
        """Jobs that wait for a stream."""
        return len(self._waiting)

    @property
    def open_streams(self) -> int:
        """Streams in use."""
        return sum(len(c.jobs) for c in self._connections.values())

    def holds(self, connection: int) -> bool:
        """Whether the book still counts on a connection."""
        return connection in self._connections

    @property
    def connections(self) -> int:
        """Connections held, of every stage."""
        return len(self._connections)

    # --- the decisions

    def _wait(self, now: int, job: Hashable, until: int, first: bool) -> None:
        entry = (now, min(until, now + self._limits.wait_ns))
        self._soonest = min(self._soonest, entry[1]) if self._waiting else entry[1]
        if first:
            self._waiting = {job: entry, **self._waiting}
        else:
            self._waiting[job] = entry

    def _capacity(self, account: _Connection) -> int:
        if account.stage is not ConnectionStage.OPEN or account.quiet:
            return 0
        return min(self._limits.streams, account.announced) - len(account.jobs)

    def _move(self, now: int) -> list[StreamInstruction]:
        """Give out the streams that are free, turn back whose wait is over, close what is of no more use,
        open what is lacking."""
        acts: list[StreamInstruction] = []
        while self._waiting:
            # The fullest that has room: the emptier ones can then come to rest and be closed.
            free = [
                (len(c.jobs), -number) for number, c in self._connections.items() if self._capacity(c) > 0
            ]
            if not free:
                break
            acts.append(self._give(now, -max(free)[1]))
        if self._waiting and self._soonest <= now:
            for job in [job for job, (_, until) in self._waiting.items() if until <= now]:
                del self._waiting[job]
                acts.append(RejectJob(job, RejectReason.WAITED))
            self._soonest = min((until for _, until in self._waiting.values()), default=0)
        acts.extend(self._spent(now))
        if self._waiting and self._may_open(now):
            self._numbers += 1
            self._connections[self._numbers] = _Connection(now)
            acts.append(OpenConnection(self._numbers))
        return acts

    def _give(self, now: int, number: int) -> AssignStream:
        account = self._connections[number]
        job = next(iter(self._waiting))
        since, _ = self._waiting.pop(job)
        account.jobs.add(job)
        account.used += 1
        self.figures.given += 1
        self.figures.longest_wait_ns = max(self.figures.longest_wait_ns, now - since)
        self._barren = self._open_after = 0
        if (
            account.used >= self._limits.max_lifetime_streams
        ):  # its stream ids run out one day: better in a calm moment
            account.stage = ConnectionStage.RETIRING
            self.figures.retired += 1
        return AssignStream(job, number)

    def _may_open(self, now: int) -> bool:
        """One at a time comes up, so that a burst costs the node one handshake and not a hundred."""
        stages = [c.stage for c in self._connections.values()]
        usable = len(stages) - stages.count(ConnectionStage.RETIRING)
        return (
            ConnectionStage.OPENING not in stages
            and now >= self._open_after
            and usable < self._limits.connections
            and stages.count(ConnectionStage.RETIRING) < RETIRING_SHARE * self._limits.connections
        )

    def _spent(self, now: int) -> Iterator[CloseConnection]:
        for number, account in list(self._connections.items()):
            idle = account.stage is ConnectionStage.OPEN and now - account.idle_since >= self._limits.idle_ns
            if not account.jobs and (idle or account.stage is ConnectionStage.RETIRING):
                del self._connections[number]
                yield CloseConnection(number)

    def _off(self, now: int, connection: int, job: Hashable) -> None:
        if (account := self._connections.get(connection)) is not None:
            account.jobs.discard(job)
            account.idle_since = now

    def _came_to_nothing(self, now: int) -> None:
        """Pause before the next one: a node that accepts and breaks must not be called in a circle."""
        self._open_after = now + min(RETRY_MOST_NS, RETRY_FIRST_NS << min(self._barren, 8))
        self._barren += 1

    def _turn_back_all(self, why: RejectReason) -> list[StreamInstruction]:
        acts: list[StreamInstruction] = [RejectJob(job, why) for job in self._waiting]
        self._waiting = {}
        return acts
