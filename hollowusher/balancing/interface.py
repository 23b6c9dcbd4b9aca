"""What a balancer is told, sees and does: settings, events and actions.

All times and spans are integer nanoseconds on the clock of the caller.  A request is what a client
asks for; a job is a request on its way to a worker; each send of it is an attempt.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
START_SLACK_NS = 100 * NS_PER_MS  # between two tellings of one start
LIST_CALL_NS = 200 * NS_PER_MS  # room that each balancer leaves the others' calls at the one list service
LIST_FIRST_NS = 250 * NS_PER_MS  # wait before the first call after a failure, where few ask
FEW_BALANCERS = 4  # whose calls at once the list service bears, and whose readings tell enough to choose by


class Effect(Enum):
    """What repeating a request may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The workers among which repeats of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

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
        """True where the outcome proves that the worker did nothing of the job."""
        return self in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT)


class Discovery(Enum):
    """Whether the worker list comes unasked."""

    PUSH = "push"
    ASK = "ask"


class Via(Enum):
    """Where a worker's readings come from."""

    ANSWERS = "answers"
    PROBE = "probe"
    NONE = "none"


class Order(Enum):
    """How a worker serves its own waiting jobs."""

    FIFO = "fifo"
    BACKFILL = "backfill"
    PRIORITY = "priority"


class ListKind(Enum):
    """CHANGES: only changed entries.  FULL: the whole list.  CACHED: the whole list as last held, perhaps
    old.  FAILED: the service turned a call away or could not be reached, or a watch that stood has ended; the
    list held stays.  SILENT: the service may have news that was not heard: a watch fell silent or cannot be
    read, or a call was given up."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"
    SILENT = "silent"


class State(Enum):
    """A worker's state in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of requests.  An answer is in time within `aim_ns` plus `stretch` times its own running
    time on a standard core; later ones, up to the deadline, keep `late_share` of the worth."""

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
    """A customer and the rate that counts as within its share."""

    name: str
    share: float = 1.0
    allowance_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ListCalls:
    """How the list is asked for, so that at the return of its service each of any number of balancers has it
    before its news counts as told, less the grace of a drain.  Of that time a call that hangs until it is
    given up takes 11 parts of 20, the longest wait after it 3, and 6 are left for a call that waits its
    turn.  Given up any sooner, calls end before a service that is away or overcharged tells so, after 3 s."""

    timeout_ns: int  # after which a call is given up
    longest_wait_ns: int  # between two calls; a part of it is by chance
    broken_wait_ns: int  # after a watch that stood and broke, as all of them may at once
    spread_ns: int  # over which the calls of balancers that begin at once are spread
    valid_ns: int  # how long the list held counts once nothing watches it

    def wait_ns(self, failures: int, stood: bool) -> int:
        """The longest wait after so many failures in a row before this one, or after a watch that `stood`.
        A failed call costs the service as much as a good one, so it grows, as far as there is time."""
        most = self.broken_wait_ns if stood else self.longest_wait_ns
        return min(most, max(LIST_FIRST_NS, self.spread_ns) << min(failures, 8))


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules about draining and cold workers, answers and asking for the list."""

    drain_grace_ns: int = NS_PER_S
    fall_multiple: float = 2.0
    fall_span_ns: int = NS_PER_S
    cold_share: float = 0.1
    warm_after_ns: int = 30 * NS_PER_S
    answer_grace_ns: int = 0
    ask_within_ns: int = 10 * NS_PER_S
    reported_within_ns: int = 6 * NS_PER_S  # what the list's service has and can tell counts as told by then

    def list_calls(self, balancers: int, dial_ns: int) -> ListCalls:
        """How the list is asked for; few balancers need not spread their calls."""
        within = max(self.reported_within_ns - self.drain_grace_ns, self.reported_within_ns // 2)
        spread = min(within // 2, LIST_CALL_NS * max(0, balancers - FEW_BALANCERS))
        good = max(self.reported_within_ns - 2 * dial_ns, self.reported_within_ns // 2)
        return ListCalls(
            within * 11 // 20, within * 3 // 20, within // 3, spread, min(self.ask_within_ns, good)
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """What a balancer may do."""

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
    """What is taken off the service, each times its share of first tries (`waste`: of work offered)."""

    cross_zone: float = 0.0
    waste: float = 0.0
    probe: float = 0.0
    late_fail: float = 0.0


@dataclass(frozen=True, slots=True)
class Goal:
    """What the service is measured by: parts of 1."""

    complete: float = 1.0
    worst_class: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is told at its start."""

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
    reports_sizes: bool = True  # a worker's listed size is its own; else it follows its load, or is no figure
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    prices: Prices = field(default_factory=Prices)
    goal: Goal = field(default_factory=Goal)

    def __post_init__(self) -> None:
        """Refuse what cannot hold, naming the field, so that a wrong file stops a node at its start."""

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
        """How the list is asked for."""
        return self.rules.list_calls(self.balancers, self.limits.connect_timeout_ns)


@dataclass(frozen=True, slots=True)
class Reading:
    """A worker's report of its own load; None where it does not tell."""

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
    """One worker in the list.  `started_ns` is the clock of its latest start, 0 for long ago."""

    worker: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: State = State.READY
    size: float = 1.0
    started_ns: int = 0

    def same_process(self, started_ns: int) -> bool:
        """Whether a start told is the one known: clocks are compared anew each time, and differ a little."""
        return abs(self.started_ns - started_ns) < START_SLACK_NS

    def shares_keys(self, other: Listed, group: Group) -> bool:
        """Whether the two workers drop each other's repeats of a keyed request with this group."""
        if group is Group.CELL:
            return self.cell == other.cell
        return group is Group.ALL or self.zone == other.zone


@dataclass(frozen=True, slots=True)
class WorkerList:
    """Event: the list, or what changed of it."""

    kind: ListKind
    entries: tuple[Listed, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """Event: a client asks.  `left_ns` is how long it will wait, `hint_ns` the work to expect (0: untold),
    `over_share` whether its tenant asks for more than its share."""

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
    """Event: a worker has begun a job."""

    request: str
    attempt: int
    worker: int


@dataclass(frozen=True, slots=True)
class Progress:
    """Event: a worker has done this share of a job."""

    request: str
    attempt: int
    worker: int
    share: float


@dataclass(frozen=True, slots=True)
class Streaming:
    """Event: the answer has begun to reach the client; from here on no deadline runs."""

    request: str
    attempt: int
    worker: int


@dataclass(frozen=True, slots=True)
class Ended:
    """Event: an attempt is over.  `final` tells that the request has its answer."""

    request: str
    attempt: int
    worker: int
    outcome: Outcome
    final: bool
    reading: Reading | None = None


@dataclass(frozen=True, slots=True)
class ClientGone:
    """Event: the client has left; no answer is owed."""

    request: str


@dataclass(frozen=True, slots=True)
class Probed:
    """Event: a probe's result."""

    worker: int
    ok: bool
    reading: Reading | None = None


@dataclass(frozen=True, slots=True)
class Woken:
    """Event: a time asked for with `Wake` has come."""


@dataclass(frozen=True, slots=True)
class BudgetSpent:
    """Event: somebody else may just have spent what this balancer may send to cold workers."""


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Event: these settings hold from now on; open requests keep the class that they came with."""

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
    """Action: start an attempt.  Attempts of a request count from 0 in the order of their sends.  Its last
    byte has to leave within `write_within_ns`, and else none of it (0: as long as the client waits)."""

    request: str
    worker: int
    timeout_ns: int = 0
    write_within_ns: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Action: stop waiting for one attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action, a final answer: trying again is harmless, best after `wait_ns` (0: not said)."""

    request: str
    wait_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Action, a final answer that promises nothing about what ran."""

    request: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Action: ask a worker for a reading."""

    worker: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Action: ask for the list and its changes from now on."""


@dataclass(frozen=True, slots=True)
class Wake:
    """Action: let `step` be called after this span, with `Woken`."""

    in_ns: int


@dataclass(frozen=True, slots=True)
class Log:
    """Action: one line for the people on call."""

    text: str


Action = Send | Cancel | Refuse | Fail | Probe | Watch | Wake | Log
