"""Adapter between the line protocol of the simulator, on standard input and output, and balancers.

It parses messages into events and formats actions as replies, without decisions of its own. One process hosts
many instances. Each has its own `Balancer`, and they share no state.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterable
from typing import TextIO, TypeVar

from hollowusher.balancing.balancer import Balancer
from hollowusher.balancing.interface import (
    NS_PER_MS,
    NS_PER_S,
    Action,
    Arrival,
    Cancel,
    ClientGone,
    Discovery,
    Effect,
    Ended,
    Event,
    Fail,
    Goal,
    Group,
    JobClass,
    Limits,
    Listed,
    ListKind,
    Log,
    Order,
    Outcome,
    Prices,
    Probe,
    Probed,
    Progress,
    Reading,
    Refuse,
    Rules,
    Send,
    Settings,
    Started,
    State,
    Streaming,
    Tenant,
    Via,
    Wake,
    Watch,
    Woken,
    WorkerList,
)
from hollowusher.balancing.tenant_shares import TenantShares

_OUTCOMES = {
    "ok": Outcome.OK,
    "error": Outcome.ERROR,
    "full": Outcome.FULL,
    "timeout": Outcome.TIMEOUT,
    "connect_failed": Outcome.UNREACHABLE,
    "reset": Outcome.RESET,
    "cancelled": Outcome.CANCELLED,
    "moot": Outcome.NOT_SENT,
}
_STATES = {"Ready": State.READY, "Terminating": State.DRAINING, "Gone": State.GONE}
_LIST_KINDS = {"D": ListKind.CHANGES, "F": ListKind.FULL, "C": ListKind.CACHED, "X": ListKind.FAILED}
_EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
_GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
_READING_SOURCES = {"inline": Via.ANSWERS, "on_probe": Via.PROBE, "off": Via.NONE}
_DISCOVERY = {"push": Discovery.PUSH, "ask": Discovery.ASK}
_ORDERS = {"fifo": Order.FIFO, "backfill": Order.BACKFILL, "priority": Order.PRIORITY}
_BOOLS = {"true": True, "false": False, "1": True, "0": False, "True": True, "False": False}
_READING_FIELDS = {
    "concurrent": "running",
    "depth": "waiting",
    "load_share": "busy",
    "tps": "served_per_s",
    "err_ps": "errors_per_s",
}
_EXTRA_READING_FIELDS = {"free_slots": "free_slots", "free_memory": "free_memory"}
T = TypeVar("T")
_LONGEST_TIMER_NS = 71 * 60 * NS_PER_S
_HINT_VALID, _CLIENT_RETRY = 1, 2


class WireError(Exception):
    """An invalid input line; the text names the message and the field."""

    def __init__(self, message: str, field: str) -> None:
        super().__init__(f"message {message}, field {field}")


class Fields:
    """Reads the values of one line in order; `-` and missing values take the default."""

    def __init__(self, message: str, parts: list[str]) -> None:
        self.message = message
        self._parts = parts
        self._at = 0

    def read(self, name: str, parse: Callable[[str], T], default: T | None = None) -> T:
        """Return the next value.

        Raises WireError if the value is absent and has no default, or if it does not parse.
        """
        at, self._at = self._at, self._at + 1
        text = self._parts[at] if at < len(self._parts) else "-"
        if text == "-":
            if default is None:
                raise WireError(self.message, name)
            return default
        try:
            return parse(text)
        except (ValueError, KeyError, OverflowError):
            raise WireError(self.message, name) from None


def _non_negative_int(text: str) -> int:
    """Parse a non-negative integer; raises ValueError."""
    value = int(text)
    if value < 0:
        raise ValueError(text)
    return value


def _number(text: str) -> float:
    """Parse a finite number; raises ValueError."""
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(text)
    return value


class Options:
    """Options of a BEGIN message, given as path=value pairs; unknown keys are ignored."""

    def __init__(self, message: str, pairs: Iterable[str]) -> None:
        self._message = message
        self._values: dict[str, str] = {}
        for pair in pairs:
            path, sep, value = pair.partition("=")
            if not sep:
                raise WireError(message, f"options ({pair[:40]})")
            self._values[path] = value

    def get(self, path: str, parse: Callable[[str], T], default: T) -> T:
        """Return the value at a path, or the default if it is absent or empty."""
        text = self._values.get(path, "")
        if text in ("", "-"):
            return default
        try:
            return parse(text)
        except (ValueError, KeyError, OverflowError):
            raise WireError(self._message, f"options.{path}") from None

    def list_values(self, path: str) -> tuple[str, ...]:
        """Return the comma-separated values at a path."""
        text = self._values.get(path, "")
        return tuple(text.split(",")) if text not in ("", "-") else ()

    def item(self, path: str, index: int, default: str) -> str:
        """Return one of the comma-separated values at a path, or the default if it is absent."""
        items = self.list_values(path)
        return items[index] if index < len(items) else default


def read_settings(message: str, pairs: Iterable[str]) -> tuple[Settings, dict[str, str]]:
    """Return the settings and a map from the value names of load reports to the fields of `Reading`."""
    o = Options(message, pairs)
    kinds = o.list_values("kinds")
    classes = []
    for i in range(o.get("grades.count", _non_negative_int, 0)):
        at = f"grades.{i}."
        kind = o.item("family_info.class_kind", i, "-1")
        try:
            kind_name = "" if kind in ("-1", "-") else kinds[int(kind)] if kind.isdigit() else kind
            priority = int(o.item("family_info.class_priority", i, "0"))
            stretch = _number(o.item("family_info.class_stretch", i, "0"))
        except (ValueError, IndexError):
            raise WireError(message, f"options.family_info.class_* of class {i}") from None
        classes.append(
            JobClass(
                name=o.get(at + "name", str, f"class-{i}"),
                aim_ns=o.get(at + "goal_time_ns", int, NS_PER_S),
                deadline_ns=o.get(at + "deadline_ns", int, 10 * NS_PER_S),
                worth=o.get(at + "value", _number, 1.0),
                late_share=o.get(at + "late_share", _number, 0.0),
                stretch=o.get(at + "aim_stretch", _number, stretch),
                effect=o.get(at + "effect", _EFFECTS.__getitem__, Effect.UNSAFE),
                group=o.get(at + "key_scope", _GROUPS.__getitem__, Group.CELL),
                window_ns=o.get(at + "memory_span_ns", int, 0),
                streamed=o.get(at + "streamed", _BOOLS.__getitem__, False),
                priority=priority,
                kind=kind_name,
            )
        )
    tenants = tuple(
        Tenant(
            o.get(f"customers.{i}.name", str, f"customer-{i}"),
            o.get(f"customers.{i}.share", _number, 1.0),
            o.get(f"customers.{i}.allowance_per_s", _number, 0.0),
        )
        for i in range(o.get("customers.count", _non_negative_int, 0))
    )
    meanings = dict(_READING_FIELDS)
    for x in ("x0", "x1"):
        meaning = _EXTRA_READING_FIELDS.get(o.get(f"family_info.report_{x}", str, ""), "")
        if meaning:
            meanings[x] = meaning
    settings = Settings(
        classes=tuple(classes),
        balancers=o.get("fleet_size", int, 1),
        me=o.get("me", int, 0),
        zone=o.get("az", str, ""),
        zones=o.list_values("zones"),
        kinds=kinds,
        tenants=tenants,
        over_share_worth=o.get("over_share_worth", _number, 1.0),
        worth_by_work=o.get("counted_by", str, "request") == "work",
        tick_ns=o.get("granularity_ns", int, NS_PER_MS),
        discovery=o.get("discovery", _DISCOVERY.__getitem__, Discovery.PUSH),
        readings=o.get("report.via", _READING_SOURCES.__getitem__, Via.NONE),
        reading_fields=o.list_values("report.names"),
        tells_start=o.get("family_info.tells_start", _BOOLS.__getitem__, False),
        progress_ns=o.get("family_info.progress_ns", int, 0),
        reports_sizes=o.get("weights", str, "nominal") == "nominal",
        order=o.get("family_info.queue_order", _ORDERS.__getitem__, Order.FIFO),
        rules=Rules(
            drain_grace_ns=o.get("contract.drain_grace_ns", int, 0),
            fall_multiple=o.get("contract.fall_multiple", _number, 2.0),
            fall_span_ns=o.get("contract.tip_after_ns", int, NS_PER_S),
            cold_share=o.get("contract.cold_share", _number, 0.1),
            warm_after_ns=o.get("contract.warm_after_ns", int, 30 * NS_PER_S),
            answer_grace_ns=o.get("contract.grace_to_answer_ns", int, 0),
            ask_within_ns=o.get("contract.must_ask_in_ns", int, 10 * NS_PER_S),
        ),
        limits=Limits(
            cancel=o.get("caps.cancel", _BOOLS.__getitem__, False),
            probes=o.get("caps.probes", _BOOLS.__getitem__, False),
            second_copies=o.get("caps.second_copies", _BOOLS.__getitem__, False),
            retry_after=o.get("caps.retry_after", _BOOLS.__getitem__, False),
            max_retry_after_ns=o.get("caps.max_retry_after_ns", int, 0),
            max_attempts=o.get("caps.max_attempts", int, 1),
            max_held=o.get("caps.most_held", int, 1_000_000),
            connect_timeout_ns=o.get("caps.connect_timeout_ns", int, 250 * NS_PER_MS),
        ),
        prices=Prices(
            cross_zone=o.get("prices.cross_zone", _number, 0.0),
            waste=o.get("prices.waste", _number, 0.0),
            probe=o.get("prices.probe", _number, 0.0),
            late_fail=o.get("prices.late_fail", _number, 0.0),
        ),
        goal=Goal(
            complete=o.get("scoring_mix.whole", _number, 1.0),
            worst_class=o.get("scoring_mix.worst_class", _number, 0.0),
        ),
    )
    return settings, meanings


class Instance:
    """A balancer, its tenant counts, and the names that its messages use."""

    def __init__(self, seed: int, settings: Settings, meanings: dict[str, str], now: int) -> None:
        self.balancer = Balancer(settings, seed, now)
        self.shares = TenantShares(settings, now)
        self.meanings = meanings
        self.classes = [c.name for c in settings.classes]
        self.events: list[Event] = []

    def parse_reading(self, text: str) -> Reading:
        """Parse a load report of comma-separated name:value pairs; raises ValueError."""
        values: dict[str, float] = {}
        service: int | None = None
        for pair in text.split(","):
            name, sep, value = pair.partition(":")
            if not sep:
                raise ValueError(text)
            if value in ("", "-"):
                continue
            number = _number(value)
            if name == "mean_ms":
                service = round(number * NS_PER_MS)
            elif name in self.meanings:
                values[self.meanings[name]] = number
        return Reading(service_ns=service, **values)


class Host:
    """Reads batches of messages, steps the balancers that received events, and writes their actions."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self._source = source
        self._sink = sink
        self._line = 0
        self._instances: dict[str, Instance] = {}

    def _read_line(self) -> list[str] | None:
        line = self._source.readline()
        if not line:
            return None
        self._line += 1
        return line.rstrip("\r\n").split(" ")

    def run(self) -> int:
        """Serve until the end of the input; return the exit code of the process, 2 after an invalid line."""
        try:
            while (parts := self._read_line()) is not None:
                if parts == [""]:
                    continue
                if parts[0] != "FRAME":
                    raise WireError(parts[0][:40], "message (a batch begins with FRAME)")
                now = Fields("FRAME", parts[1:]).read("clock", _non_negative_int)
                self._process_batch(now)
        except WireError as wire_error:
            print(f"line {self._line}: {wire_error}", file=sys.stderr)
            return 2
        return 0

    def _process_batch(self, now: int) -> None:
        node = ""
        touched: dict[str, None] = {}
        while True:
            parts = self._read_line()
            if parts is None:
                raise WireError("FRAME", "OVER_TO_YOU (input ended inside a batch)")
            word = parts[0]
            if word == "OVER_TO_YOU":
                break
            if word == "FOR":
                node = Fields(word, parts[1:]).read("node", str)
            elif not node:
                raise WireError(word[:40], "node (no FOR before it)")
            elif word == "BEGIN":
                fields = Fields(word, parts[1:2])
                seed = fields.read("entropy", int)
                try:
                    settings, meanings = read_settings(word, (p for p in parts[2:] if p))
                    self._instances[node] = Instance(seed, settings, meanings, now)
                except ValueError as error:
                    raise WireError(word, f"options ({error})") from None
                touched[node] = None
            elif word == "DESTROY":
                self._instances.pop(node, None)
            elif node not in self._instances:
                raise WireError(word[:40], f"node (no BEGIN for {node})")
            else:
                instance = self._instances[node]
                event = self._parse_event(instance, word, parts[1:], now)
                if event is not None:
                    instance.events.append(event)
                touched[node] = None
        out: list[str] = []
        for node in touched:
            if node in self._instances:
                self._step_instance(node, self._instances[node], now, out)
        out.append("YIELD\n")
        self._sink.write("\n".join(out))
        self._sink.flush()

    def _step_instance(self, node: str, instance: Instance, now: int, out: list[str]) -> None:
        events, instance.events = instance.events, []
        try:
            actions = instance.balancer.step(now, events)
        except Exception as error:  # the protocol requires a GIVE_IN reply for any failure
            traceback.print_exc(file=sys.stderr)
            text = " ".join(f"{type(error).__name__}: {error}".split())
            out.extend((f"CONTEXT {node}", f"GIVE_IN {text}"))
            return
        if actions:
            out.append(f"CONTEXT {node}")
            out.extend(write_action(a) for a in actions)

    def _parse_event(self, instance: Instance, word: str, parts: list[str], now: int) -> Event | None:
        f = Fields(word, parts)
        if word == "WAKEUP":
            f.read("ctx", _non_negative_int)
            return Woken()
        if word == "INBOUND":
            request = f.read("request_id", str)
            job_class = f.read("kind", str)
            if job_class not in instance.classes:
                raise WireError(word, "kind")
            tenant = f.read("team", str, "")
            key = f.read("affinity", str, "")
            left = f.read("grace_ns", int)
            hint = f.read("estimate_ns", int, 0)
            slots = f.read("slots", _number, 1.0)
            memory = f.read("mem_needed", _number, 0.0)
            flags = f.read("opts", _non_negative_int, 0)
            retry = bool(flags & _CLIENT_RETRY)
            return Arrival(
                request,
                job_class,
                left,
                hint if flags & _HINT_VALID else 0,
                slots,
                memory,
                tenant,
                key,
                retry,
                instance.shares.is_over_share(tenant, retry, now),
            )
        if word == "INTERIM":
            request, worker = f.read("request_id", str), f.read("executor", _non_negative_int)
            sort, amount = f.read("sort", int), f.read("amount", _number, 0.0)
            attempt = f.read("seq_no", _non_negative_int)
            if sort == 1:
                return Started(request, attempt, worker)
            return Progress(request, attempt, worker, amount) if sort == 2 else None
        if word == "DONE":
            request, attempt = f.read("request_id", str), f.read("seq_no", _non_negative_int)
            worker = f.read("executor", _non_negative_int)
            outcome = f.read("status", _OUTCOMES.__getitem__)
            f.read("cost_time_ns", int, 0)
            final = f.read("complete", _BOOLS.__getitem__, False)
            f.read("detail", int, 0)
            reading = f.read("feedback", instance.parse_reading, Reading())
            return Ended(request, attempt, worker, outcome, final, None if reading == Reading() else reading)
        if word == "PROBE_DONE":
            status = f.read("status", str)
            f.read("cost_time_ns", int, 0)
            worker = f.read("executor", _non_negative_int)
            reading = f.read("feedback", instance.parse_reading, Reading())
            return Probed(worker, status == "ok", None if reading == Reading() else reading)
        if word == "MEMBERSHIP":
            kind = f.read("mode", _LIST_KINDS.__getitem__)
            f.read("stamp", int, 0)
            return WorkerList(
                kind, tuple(self._parse_row() for _ in range(f.read("elements", _non_negative_int, 0)))
            )
        if word == "DROPPED":
            return ClientGone(f.read("request_id", str))
        if word == "FIRST_BYTE":
            request = f.read("request_id", str)
            f.read("cost_time_ns", int, 0)
            return Streaming(
                request, f.read("seq_no", _non_negative_int), f.read("executor", _non_negative_int)
            )
        if word == "MEMO":
            return None
        raise WireError(word[:40], "message (unknown)")

    def _parse_row(self) -> Listed:
        parts = self._read_line()
        if parts is None or parts[0] != "ROW":
            raise WireError("MEMBERSHIP", "elements (too few ROW lines)")
        f = Fields("ROW", parts[1:])
        return Listed(
            f.read("executor", _non_negative_int),
            f.read("site", str, ""),
            f.read("flavor", str, ""),
            f.read("bay", int, 0),
            f.read("stage_state", _STATES.__getitem__),
            f.read("capacity_hint", _number, 1.0),
            f.read("online_since_ns", int, 0),
        )


def write_action(action: Action) -> str:
    """Format an action as a reply line."""
    match action:
        case Send(request, worker, timeout):
            return f"FORWARD {request} {worker} {timeout}"
        case Wake(in_ns):
            return f"SET_TIMER {min(max(0, in_ns), _LONGEST_TIMER_NS)} 0"
        case Cancel(request, attempt):
            return f"CALL_OFF {request} {attempt}"
        case Refuse(request, wait):
            return f"DECLINE {request} {wait}"
        case Fail(request):
            return f"END_FAILED {request}"
        case Probe(worker):
            return f"POLL {worker}"
        case Watch():
            return "WATCH 1"
        case Log(text):
            return f"DEBUG {' '.join(text.split())}"


def main() -> int:
    """Serve the simulator on standard input and output."""
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return Host(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
