"""Interface of a balancer: its settings, the events that it processes and the actions that it returns.

All times and durations are integers in nanoseconds on the caller's clock. A client sends a request. A job is
the work of a request at a worker. Each send of a job to a worker is an attempt.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
# Two reported start times of one worker process may differ by this much.
START_TIME_TOLERANCE_NS = 100 * NS_PER_MS
# Time by which each balancer beyond FEW_BALANCERS extends the spread of the first list calls.
LIST_CALL_SPREAD_NS = 200 * NS_PER_MS
# Wait before the first call after a failure if there are few balancers.
FIRST_LIST_RETRY_NS = 250 * NS_PER_MS
# Up to this number of balancers the list service can take the calls of all of them at once, and each balancer
# has enough readings to choose workers by them.
FEW_BALANCERS = 4


class Effect(Enum):
    """Effect of executing a request more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Scope of deduplication: the workers that drop a repeated keyed request of one another."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """Outcome of an attempt."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the worker did no work on the job."""
        return self in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT)


class Discovery(Enum):
    """Whether the worker list is pushed to the balancer or must be requested."""

    PUSH = "push"
    ASK = "ask"


class Via(Enum):
    """Source of the load readings of workers."""

    ANSWERS = "answers"
    PROBE = "probe"
    NONE = "none"


class Order(Enum):
    """Order in which a worker serves its waiting jobs."""

    FIFO = "fifo"
    BACKFILL = "backfill"
    PRIORITY = "priority"


class ListKind(Enum):
    """Kind of a worker list event.

    CHANGES holds only the changed entries. FULL is the complete list. CACHED is the complete list as last
    stored, which may be outdated. FAILED means that the service rejected a call or was unreachable, or that
    an established watch ended; the held list remains in use. SILENT means that the service may have published
    changes that did not arrive: a watch sent no data or unreadable data, or a call timed out.
    """

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"
    SILENT = "silent"


class State(Enum):
    """State of a worker in the worker list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class JobClass:
    """A class of requests with common time limits and worth.

    An answer is in time within `aim_ns` plus `stretch` times the job's running time on a standard core. A
    later answer, up to the deadline, earns `late_share` of the worth. Workers drop repeats of a keyed request
    for `window_ns`.
    """

    name: str
    aim_ns: int
    deadline_ns: int
    worth: float = 1.0
    late_share: float = 0.0
    stretch: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL
    window_ns: int = 0
    streamed: bool = False
    priority: int = 0
    kind: str = ""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer, its share of the traffic, and the request rate that always counts as within its share."""

    name: str
    share: float = 1.0
    allowance_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ListCalls:
    """Timing of calls to the worker list service.

    After an outage of the service, every balancer must hold the list before its changes count as reported,
    however many balancers there are. The time until then, minus the grace of a drain, is divided as follows:
    a call that hangs until its timeout takes 11/20, the longest wait before the next call 3/20, and 6/20
    remain for a call that queues at the service. The timeout must not be shorter, because a service that is
    unavailable or overloaded reports that after 3 s.
    """

    timeout_ns: int  # timeout of a call
    longest_wait_ns: int  # longest wait between two calls, of which a part is random
    # Longest wait after an established watch broke. It differs because all watches may break at once.
    broken_wait_ns: int
    spread_ns: int  # time over which the first calls of balancers that start together are spread
    valid_ns: int  # how long the held list may be used without a watch

    def wait_ns(self, failures: int, watch_broke: bool) -> int:
        """Return the longest wait before the next call, in ns.

        `failures` is the number of consecutive failures before this one; `watch_broke` states that an
        established watch ended. The wait doubles with each failure up to its limit, because a failed call
        costs the service as much as a successful one.
        """
        max_wait = self.broken_wait_ns if watch_broke else self.longest_wait_ns
        return min(max_wait, max(FIRST_LIST_RETRY_NS, self.spread_ns) << min(failures, 8))


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the rules on drains, cold workers, final answers and the worker list.

    A cold worker starts with `cold_share` of its capacity and reaches full capacity `warm_after_ns` after its
    start. It can fail if it receives more than `fall_multiple` times the work that it can do within
    `fall_span_ns`. `drain_grace_ns` is the time after a reported drain in which a send is still tolerated.
    """

    drain_grace_ns: int = NS_PER_S
    fall_multiple: float = 2.0
    fall_span_ns: int = NS_PER_S
    cold_share: float = 0.1
    warm_after_ns: int = 30 * NS_PER_S
    answer_grace_ns: int = 0
    ask_within_ns: int = 10 * NS_PER_S
    # A change published by the list service counts as reported after this time.
    reported_within_ns: int = 6 * NS_PER_S

    def list_calls(self, balancers: int, dial_ns: int) -> ListCalls:
        """Return the timing of list calls; `dial_ns` is the connect timeout.

        Up to FEW_BALANCERS balancers do not spread their calls.
        """
        available = max(self.reported_within_ns - self.drain_grace_ns, self.reported_within_ns // 2)
        call_spread = min(available // 2, LIST_CALL_SPREAD_NS * max(0, balancers - FEW_BALANCERS))
        valid = max(self.reported_within_ns - 2 * dial_ns, self.reported_within_ns // 2)
        return ListCalls(
            available * 11 // 20,
            available * 3 // 20,
            available // 3,
            call_spread,
            min(self.ask_within_ns, valid),
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """Actions that a balancer may take, and their limits."""

    cancel: bool = False
    probes: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    max_attempts: int = 1
    max_held: int = 1_000_000
    connect_timeout_ns: int = 250 * NS_PER_MS


@dataclass(frozen=True, slots=True)
class Prices:
    """Prices deducted from the score of the service.

    Each price is multiplied by the number of its events per first try of a request, `waste` by the wasted
    share of the offered work.
    """

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    late_fail: float = 0.0


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights of the components of the service's score; each is a part of 1."""

    complete: float = 1.0
    worst_class: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a balancer.

    `me` is the index of this balancer among `balancers`. `over_share_worth` is the factor on the worth of
    requests beyond their tenant's share. With `worth_by_work` the worth of a class counts per unit of work
    instead of per request. `tells_start` states that workers report the start of each job, and `progress_ns`
    is the interval of their progress updates (0: none).
    """

    classes: tuple[JobClass, ...]
    balancers: int = 1
    me: int = 0
    zone: str = ""
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    tick_ns: int = NS_PER_MS
    discovery: Discovery = Discovery.PUSH
    readings: Via = Via.NONE
    reading_fields: tuple[str, ...] = ()
    tells_start: bool = False
    progress_ns: int = 0
    order: Order = Order.FIFO
    # True if the listed size of a worker is its own property, False if it follows the load or is unknown.
    reports_sizes: bool = True
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    prices: Prices = field(default_factory=Prices)
    goal: Goal = field(default_factory=Goal)

    def __post_init__(self) -> None:
        """Raise ValueError with the name of an invalid field, so that a balancer does not start with it."""

        def need(ok: bool, name: str, why: str) -> None:
            if not ok:
                raise ValueError(f"{name}: {why}")

        need(bool(self.classes), "classes", "there must be at least one")
        need(self.balancers >= 1, "balancers", "must be 1 or more")
        need(0 <= self.me < self.balancers, "me", "must be 0 or more and below balancers")
        need(self.tick_ns > 0, "tick_ns", "must be above 0")
        need(self.progress_ns >= 0, "progress_ns", "must not be negative")
        need(len({c.name for c in self.classes}) == len(self.classes), "classes", "names must differ")
        for c in self.classes:
            where = f"classes[{c.name}]"
            need(isinstance(c.effect, Effect), f"{where}.effect", "unknown")
            need(isinstance(c.group, Group), f"{where}.group", "unknown")
            need(c.aim_ns > 0, f"{where}.aim_ns", "must be above 0")
            need(c.deadline_ns > 0, f"{where}.deadline_ns", "must be above 0")
            need(c.window_ns >= 0, f"{where}.window_ns", "must not be negative")
            need(c.stretch >= 0, f"{where}.stretch", "must not be negative")
            need(c.worth >= 0, f"{where}.worth", "must not be negative")
            need(0 <= c.late_share <= 1, f"{where}.late_share", "must lie between 0 and 1")
        r, m = self.rules, self.limits
        need(isinstance(self.discovery, Discovery), "discovery", "unknown")
        need(isinstance(self.readings, Via), "readings", "unknown")
        need(r.drain_grace_ns >= 0, "rules.drain_grace_ns", "must not be negative")
        need(r.fall_multiple > 0, "rules.fall_multiple", "must be above 0")
        need(r.fall_span_ns >= 0, "rules.fall_span_ns", "must not be negative")
        need(0 < r.cold_share <= 1, "rules.cold_share", "must lie above 0 and not above 1")
        need(r.warm_after_ns >= 0, "rules.warm_after_ns", "must not be negative")
        need(r.answer_grace_ns >= 0, "rules.answer_grace_ns", "must not be negative")
        need(r.ask_within_ns > 0, "rules.ask_within_ns", "must be above 0")
        need(r.reported_within_ns > 0, "rules.told_within_ns", "must be above 0")
        need(self.goal.complete > 0, "goal.whole", "must be above 0")
        need(m.max_attempts >= 1, "limits.max_attempts", "must be 1 or more")
        need(m.max_retry_after_ns >= 0, "limits.max_retry_after_ns", "must not be negative")
        need(m.connect_timeout_ns > 0, "limits.connect_timeout_ns", "must be above 0")

    @property
    def list_calls(self) -> ListCalls:
        """Timing of calls to the worker list service."""
        return self.rules.list_calls(self.balancers, self.limits.connect_timeout_ns)


@dataclass(frozen=True, slots=True)
class Reading:
    """A worker's report of its own load; a value that the worker does not report is None."""

    free_slots: float | None = None
    free_memory: float | None = None
    running: float | None = None
    waiting: float | None = None
    busy: float | None = None
    service_ns: int | None = None
    served_per_s: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class Listed:
    """An entry of the worker list; `started_ns` is the time of the worker's last start, 0 if long ago."""

    worker: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: State = State.READY
    size: float = 1.0
    started_ns: int = 0

    def same_process(self, started_ns: int) -> bool:
        """Return whether a reported start time denotes the known process.

        The clock of the worker is converted for each report, so that the start times differ slightly.
        """
        return abs(self.started_ns - started_ns) < START_TIME_TOLERANCE_NS

    def shares_keys(self, other: Listed, group: Group) -> bool:
        """Return whether both workers drop repeats of each other's keyed requests in this group."""
        if group is Group.CELL:
            return self.cell == other.cell
        return group is Group.ALL or self.zone == other.zone


@dataclass(frozen=True, slots=True)
class WorkerList:
    """Event: the worker list or its changes."""

    kind: ListKind
    entries: tuple[Listed, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """Event: a client sent a request.

    `left_ns` is how long the client will wait, `hint_ns` the expected work (0 if unknown), and `over_share`
    states that the tenant exceeds its share.
    """

    request: str
    job_class: str
    left_ns: int
    hint_ns: int = 0
    slots: float = 1.0
    memory: float = 0.0
    tenant: str = ""
    key: str = ""
    retry: bool = False
    over_share: bool = False


@dataclass(frozen=True, slots=True)
class Started:
    """Event: a worker started a job."""

    request: str
    attempt: int
    worker: int


@dataclass(frozen=True, slots=True)
class Progress:
    """Event: a worker has completed a share of a job."""

    request: str
    attempt: int
    worker: int
    share: float


@dataclass(frozen=True, slots=True)
class Streaming:
    """Event: the answer started to reach the client, after which no deadline applies."""

    request: str
    attempt: int
    worker: int


@dataclass(frozen=True, slots=True)
class Ended:
    """Event: an attempt ended; `final` states that the request has its answer."""

    request: str
    attempt: int
    worker: int
    outcome: Outcome
    final: bool
    reading: Reading | None = None


@dataclass(frozen=True, slots=True)
class ClientGone:
    """Event: the client disconnected and expects no answer."""

    request: str


@dataclass(frozen=True, slots=True)
class Probed:
    """Event: a probe returned its result or failed."""

    worker: int
    ok: bool
    reading: Reading | None = None


@dataclass(frozen=True, slots=True)
class Woken:
    """Event: the time requested by a `Wake` action has come."""


@dataclass(frozen=True, slots=True)
class BudgetSpent:
    """Event: another process may just have used this balancer's budget for cold workers."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Event: the settings changed; open requests keep the class that they arrived with."""

    settings: Settings


Event = (
    WorkerList
    | Arrival
    | Started
    | Progress
    | Streaming
    | Ended
    | ClientGone
    | Probed
    | Woken
    | BudgetSpent
    | SettingsChanged
)


@dataclass(frozen=True, slots=True)
class Send:
    """Action: start an attempt.

    Attempts of a request are numbered from 0 in the order of their sends. The last byte of the job
    must be sent within `write_within_ns`, otherwise none of it may be sent (0: the limit is the client's
    deadline).
    """

    request: str
    worker: int
    timeout_ns: int = 0
    write_within_ns: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Action: cancel an attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action: refuse a request with a final answer.

    The client may safely retry, preferably after `wait_ns` (0: at any time).
    """

    request: str
    wait_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Action: send a final failure, which makes no statement about whether the job ran."""

    request: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Action: request a reading from a worker."""

    worker: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Action: request the worker list and all further changes."""


@dataclass(frozen=True, slots=True)
class Wake:
    """Action: call `step` with `Woken` after `in_ns`."""

    in_ns: int


@dataclass(frozen=True, slots=True)
class Log:
    """Action: write a log line for operators."""

    text: str


Action = Send | Cancel | Refuse | Fail | Probe | Watch | Wake | Log
