"""Assigns jobs to HTTP/2 streams on the connections to one node.

The stream table decides which connection a job uses, when another connection is opened, how long a job may
wait for a stream, and when a connection is retired.  There is one table per node; its methods return
instructions, which the caller executes.

The table does not choose the node of a job and does not retry jobs: the balancer does.  When a job gets no
stream, the table rejects it with a reason before any byte of it is sent.  Times are nanoseconds on the
caller's monotonic clock.  A job is any hashable object, and it may be in the table only once at a time.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from enum import Enum, IntEnum

_NS_PER_MS = 1_000_000
MIN_RETRY_NS, MAX_RETRY_NS = 25 * _NS_PER_MS, 200 * _NS_PER_MS  # backoff after a failed connection
# Per connection of StreamLimits.connections.  No connection is opened while this many are retiring, so that a
# node that keeps sending GOAWAY cannot make the scheduler hold ever more connections.
MAX_RETIRING_PER_USABLE = 3


class RejectReason(Enum):
    """Why a job was rejected before any byte of it was sent."""

    FULL = "too many jobs are waiting for a stream"
    WAITED = "no stream came free in time"
    LEAVING = "the node is draining, is gone or has been replaced"
    UNREACHABLE = "no connection could be established"
    NO_SOCKET = "no socket is available"


class ConnectionStage(IntEnum):
    """Lifecycle stage of a connection."""

    OPENING = 0  # until the node's SETTINGS frame has shown that it speaks HTTP/2
    OPEN = 1
    RETIRING = 2  # open streams may finish; no new streams are assigned


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Limits of one node's stream table."""

    connections: int = 2  # connections that are not retiring
    streams: int = 100  # concurrent streams per connection
    waiting: int = 512  # jobs in the queue
    wait_ns: int = 1_000 * _NS_PER_MS  # longest wait of a job for a stream
    idle_ns: int = 21_000 * _NS_PER_MS  # idle time after which a connection is closed
    max_lifetime_streams: int = 1_000_000  # streams after which a connection is replaced


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection with this number, then call `opened` or `failed`."""

    connection: int


@dataclass(frozen=True, slots=True)
class AssignStream:
    """Start the job on a stream of this connection, then call `ended` or `requeue`."""

    job: Hashable
    connection: int


@dataclass(frozen=True, slots=True)
class RejectJob:
    """Return the job unsent, with the reason."""

    job: Hashable
    why: RejectReason


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection: it has no streams, and the table has already removed it."""

    connection: int


StreamInstruction = OpenConnection | AssignStream | RejectJob | CloseConnection


class _Connection:
    """State of one connection.

    `announced` is the node's limit on concurrent streams; `used` counts all streams so far.
    """

    __slots__ = ("announced", "idle_since", "jobs", "ping_pending", "stage", "used")

    def __init__(self, now: int) -> None:
        self.stage = ConnectionStage.OPENING
        self.announced = 0
        self.jobs: set[Hashable] = set()
        self.used = 0
        self.ping_pending = False
        self.idle_since = now


@dataclass(slots=True)
class StreamMetrics:
    """Counters of one stream table since the last log line."""

    given: int = 0  # jobs assigned to a stream
    waited: int = 0  # jobs that had to wait for a stream
    opened: int = 0
    retired: int = 0
    lost: int = 0
    longest_wait_ns: int = 0


class StreamTable:
    """The connections to one node, and the queue of jobs that wait for a stream."""

    def __init__(self, limits: StreamLimits) -> None:
        self._limits = limits
        self._connections: dict[int, _Connection] = {}
        self._waiting: dict[Hashable, tuple[int, int]] = {}  # by job: start and end of its wait
        self._earliest_expiry = 0  # lower bound for the end of any job's wait
        self._last_number = 0
        self._failures = 0  # consecutive connections that failed before any stream used them
        self._open_after = 0  # end of the backoff; 0 without one
        self.figures = StreamMetrics()

    # --- events of jobs

    def request_stream(
        self, now: int, job: Hashable, until: int, urgent: bool = False
    ) -> list[StreamInstruction]:
        """Request a stream for a job that may wait until `until`.

        An `urgent` job, such as a probe, goes to the head of the queue and ignores the queue's limit: a probe
        that waited behind other jobs could time out and make a busy node look dead.
        """
        if len(self._waiting) >= self._limits.waiting and not urgent:
            return [RejectJob(job, RejectReason.FULL)]
        self._enqueue(now, job, until, first=urgent)
        instructions = self._advance(now)
        if job in self._waiting:
            self.figures.waited += 1
        return instructions

    def cancel_wait(self, now: int, job: Hashable) -> bool:
        """Remove a job from the queue; return whether it was waiting."""
        return self._waiting.pop(job, None) is not None

    def ended(self, now: int, connection: int, job: Hashable) -> list[StreamInstruction]:
        """Release the stream of a job that has ended."""
        self._release(now, connection, job)
        return self._advance(now)

    def requeue(self, now: int, connection: int, job: Hashable, until: int) -> list[StreamInstruction]:
        """Put an assigned job back at the head of the queue, because no byte of it has been sent.

        This happens when the connection is retired, or the node lowers its stream limit, before the session
        starts the job's stream.
        """
        self._release(now, connection, job)
        self._enqueue(now, job, until, first=True)
        return self._advance(now)

    # --- events of connections

    def opened(self, now: int, connection: int, announced: int) -> list[StreamInstruction]:
        """Mark a connection as open; the node allows `announced` concurrent streams on it."""
        if (conn := self._connections.get(connection)) is not None and conn.stage is ConnectionStage.OPENING:
            conn.stage, conn.announced, conn.idle_since = ConnectionStage.OPEN, announced, now
            self.figures.opened += 1
        return self._advance(now)

    def failed(
        self, now: int, connection: int, why: RejectReason = RejectReason.UNREACHABLE
    ) -> list[StreamInstruction]:
        """Remove a connection that could not be opened.

        If no other connection is open, all waiting jobs are rejected at once with `why`, so that they can be
        sent to another node before their deadlines.
        """
        if self._connections.pop(connection, None) is None:
            return []
        self._back_off(now)
        if any(c.stage is ConnectionStage.OPEN for c in self._connections.values()):
            return self._advance(now)
        return self._reject_all(why)

    def set_stream_limit(self, now: int, connection: int, announced: int) -> list[StreamInstruction]:
        """Set the node's limit on concurrent streams; streams already open above the limit may finish."""
        if (conn := self._connections.get(connection)) is not None:
            conn.announced = announced
        return self._advance(now)

    def set_unresponsive(self, now: int, connection: int, silent: bool) -> list[StreamInstruction]:
        """Set whether a PING is unanswered on this connection; no new stream is assigned while it is."""
        if (conn := self._connections.get(connection)) is not None:
            conn.ping_pending = silent
        return self._advance(now)

    def retired(self, now: int, connection: int) -> list[StreamInstruction]:
        """Retire a connection, because the node sent GOAWAY or the connection cannot take new streams."""
        conn = self._connections.get(connection)
        if conn is not None and conn.stage is not ConnectionStage.RETIRING:
            conn.stage = ConnectionStage.RETIRING
            self.figures.retired += 1
        return self._advance(now)

    def lost(self, now: int, connection: int) -> list[StreamInstruction]:
        """Remove a connection that broke; the caller has already ended its streams."""
        conn = self._connections.pop(connection, None)
        if conn is not None:
            self.figures.lost += 1
            if conn.used == 0:
                self._back_off(now)
        return self._advance(now)

    # --- events of the node, and timers

    def node_leaving(self, now: int) -> list[StreamInstruction]:
        """Retire all connections, because the node drains, is gone or has been replaced by a new process.

        Waiting jobs are rejected at once; open streams may finish.
        """
        instructions = self._reject_all(RejectReason.LEAVING)
        for conn in self._connections.values():
            conn.stage = ConnectionStage.RETIRING
        self._failures = self._open_after = 0
        return instructions + list(self._close_unused(now))

    def tick(self, now: int) -> list[StreamInstruction]:
        """Expire waiting jobs and idle connections, and open a connection once the backoff has ended."""
        return self._advance(now)

    @property
    def earliest_expiry_ns(self) -> int | None:
        """Lower bound for the end of any job's wait, or None when no job waits."""
        return self._earliest_expiry if self._waiting else None

    @property
    def next_tick_ns(self) -> int | None:
        """When `tick` is due if no other event comes first, or None when no timer is pending."""
        due = [until for _, until in self._waiting.values()]
        due += [
            c.idle_since + self._limits.idle_ns
            for c in self._connections.values()
            if c.stage is ConnectionStage.OPEN and not c.jobs
        ]
        if self._waiting and self._open_after:
            due.append(self._open_after)
        return min(due, default=None)

    # --- state

    @property
    def waiting(self) -> int:
        """Number of jobs that wait for a stream."""
        return len(self._waiting)

    @property
    def open_streams(self) -> int:
        """Number of streams in use."""
        return sum(len(c.jobs) for c in self._connections.values())

    def holds(self, connection: int) -> bool:
        """Return whether the table still contains a connection."""
        return connection in self._connections

    @property
    def connections(self) -> int:
        """Number of connections in any stage."""
        return len(self._connections)

    # --- decisions

    def _enqueue(self, now: int, job: Hashable, until: int, first: bool) -> None:
        entry = (now, min(until, now + self._limits.wait_ns))
        self._earliest_expiry = min(self._earliest_expiry, entry[1]) if self._waiting else entry[1]
        if first:
            self._waiting = {job: entry, **self._waiting}
        else:
            self._waiting[job] = entry

    def _capacity(self, conn: _Connection) -> int:
        if conn.stage is not ConnectionStage.OPEN or conn.ping_pending:
            return 0
        return min(self._limits.streams, conn.announced) - len(conn.jobs)

    def _advance(self, now: int) -> list[StreamInstruction]:
        """Assign free streams, reject jobs whose wait is over, close unused connections and open new ones."""
        instructions: list[StreamInstruction] = []
        while self._waiting:
            # Use the fullest connection with a free stream, so that the others become idle and are closed.
            free = [
                (len(c.jobs), -number) for number, c in self._connections.items() if self._capacity(c) > 0
            ]
            if not free:
                break
            instructions.append(self._assign_next(now, -max(free)[1]))
        if self._waiting and self._earliest_expiry <= now:
            for job in [job for job, (_, until) in self._waiting.items() if until <= now]:
                del self._waiting[job]
                instructions.append(RejectJob(job, RejectReason.WAITED))
            self._earliest_expiry = min((until for _, until in self._waiting.values()), default=0)
        instructions.extend(self._close_unused(now))
        if self._waiting and self._may_open(now):
            self._last_number += 1
            self._connections[self._last_number] = _Connection(now)
            instructions.append(OpenConnection(self._last_number))
        return instructions

    def _assign_next(self, now: int, number: int) -> AssignStream:
        conn = self._connections[number]
        job = next(iter(self._waiting))
        since, _ = self._waiting.pop(job)
        conn.jobs.add(job)
        conn.used += 1
        self.figures.given += 1
        self.figures.longest_wait_ns = max(self.figures.longest_wait_ns, now - since)
        self._failures = self._open_after = 0
        if conn.used >= self._limits.max_lifetime_streams:  # replace it before stream ids run out
            conn.stage = ConnectionStage.RETIRING
            self.figures.retired += 1
        return AssignStream(job, number)

    def _may_open(self, now: int) -> bool:
        """Return whether a connection may be opened now.

        Only one connection opens at a time, so that a burst of jobs costs the node one handshake, not many.
        """
        stages = [c.stage for c in self._connections.values()]
        usable = len(stages) - stages.count(ConnectionStage.RETIRING)
        return (
            ConnectionStage.OPENING not in stages
            and now >= self._open_after
            and usable < self._limits.connections
            and stages.count(ConnectionStage.RETIRING) < MAX_RETIRING_PER_USABLE * self._limits.connections
        )

    def _close_unused(self, now: int) -> Iterator[CloseConnection]:
        for number, conn in list(self._connections.items()):
            idle = conn.stage is ConnectionStage.OPEN and now - conn.idle_since >= self._limits.idle_ns
            if not conn.jobs and (idle or conn.stage is ConnectionStage.RETIRING):
                del self._connections[number]
                yield CloseConnection(number)

    def _release(self, now: int, connection: int, job: Hashable) -> None:
        if (conn := self._connections.get(connection)) is not None:
            conn.jobs.discard(job)
            conn.idle_since = now

    def _back_off(self, now: int) -> None:
        """Delay the next connection, because a node may accept and drop connections again and again."""
        self._open_after = now + min(MAX_RETRY_NS, MIN_RETRY_NS << min(self._failures, 8))
        self._failures += 1

    def _reject_all(self, why: RejectReason) -> list[StreamInstruction]:
        instructions: list[StreamInstruction] = [RejectJob(job, why) for job in self._waiting]
        self._waiting = {}
        return instructions
