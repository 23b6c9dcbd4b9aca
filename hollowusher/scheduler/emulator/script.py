"""Rehearsal scripts: fleet, traffic and troubles by time, line by line; every fault names file and line.

docs/rehearsals.md has the words.  A script with its seed is a whole experiment.
"""

from __future__ import annotations

import re
import shlex
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from hollowusher.balancing.interface import (
    Discovery,
    Effect,
    Group,
    JobClass,
    Limits,
    Rules,
    Settings,
    State,
    Via,
)
from hollowusher.scheduler.emulator.faults.script_words import (
    MOST_MEMBERS,
    ON_LINKS,
    ON_MEMBERS,
    ON_NODES,
    Expect,
    ScheduledFault,
    read_expect,
    read_scheduled_fault,
)
from hollowusher.scheduler.emulator.model import NodeKind
from hollowusher.scheduler.emulator.traffic import JobClassDemand, Spell, draw
from hollowusher.scheduler.emulator.virtual import Rehearsal, VirtualNode
from hollowusher.scheduler.settings.model import (
    ConfigError,
    SettingsFileError,
    count,
    number,
    span,
    word,
    words,
)

MS, NS_PER_S = 1_000_000, 1_000_000_000
MOST_NODES, MOST_LENGTH_S = 1_000, 86_400.0
_EFFECTS = {"safe": Effect.SAFE, "keyed": Effect.KEYED, "once": Effect.UNSAFE}
_RATE = re.compile(r"([0-9]+(?:\.[0-9]+)?)/s")
_TROUBLES = ("stall", "slow", "drain", "kill", "restart", "silence")


@dataclass(frozen=True, slots=True)
class ScriptedFault:
    """Something that befalls nodes: at a time (seconds), for a span, again and again until another time."""

    at_s: float
    what: str
    nodes: tuple[int, ...]
    for_s: float = 0.0
    every_s: float = 0.0
    until_s: float = 0.0
    by: float = 1.0


@dataclass(slots=True)
class RehearsalScript:
    """A script that was read and holds together."""

    file: str
    text: str
    seed: int = 1
    length_s: float = 60.0
    schedulers: int = 2
    kinds: list[NodeKind] = field(default_factory=list)
    classes: list[JobClass] = field(default_factory=list)
    demands: list[JobClassDemand] = field(default_factory=list)
    spells: list[Spell] = field(default_factory=list)
    troubles: list[ScriptedFault] = field(default_factory=list)
    members: int = 0  # schedulers that keep a view of each other: n1, n2, ...
    copies: int = 0  # schedulers that keep each log; 0: nothing is copied
    copied: tuple[str, ...] = ()  # classes
    on_disk: bool = False
    configured: int = 0  # names in their files, where these are more
    mishaps: list[ScheduledFault] = field(default_factory=list)
    expects: list[Expect] = field(default_factory=list)

    @property
    def serves(self) -> bool:
        """Whether it has route nodes and traffic."""
        return bool(self.kinds)

    def settings(self) -> Settings:
        """What the schedulers are told."""
        return Settings(
            classes=tuple(self.classes),
            balancers=self.schedulers,
            zone="a",
            tick_ns=2 * MS,
            discovery=Discovery.ASK,
            readings=Via.ANSWERS,
            reading_fields=("queue", "util", "x0"),
            tells_start=True,
            progress_ns=2 * NS_PER_S,
            rules=Rules(
                drain_grace_ns=250 * MS, fall_multiple=2.5, cold_share=0.12, warm_after_ns=24 * NS_PER_S
            ),
            limits=Limits(True, True, True, True, 2 * NS_PER_S, 3),
        )


class _Line:
    """One line's words, taken from left to right."""

    def __init__(self, file: str, line: int, words: list[str]) -> None:
        self.file, self.line, self._words = file, line, words

    def fault(self, why: str) -> SettingsFileError:
        """A fault of this line; raise it."""
        return SettingsFileError(self.file, self.line, why)

    def peek(self) -> str:
        """The next word, if any; it stays."""
        return self._words[0] if self._words else ""

    def next(self, what: str) -> str:
        """The next word, which must be there."""
        if not self._words:
            raise self.fault(f"{what} is missing at the end of the line")
        return self._words.pop(0)

    def value(self, what: str, kind: Any) -> Any:
        """The next word as a value of a settings kind."""
        text = self.next(what)
        try:
            return kind.read([text])
        except ValueError:
            raise self.fault(f"{what}: must be {kind.wants}, is {text!r}") from None

    def options(self, known: dict[str, Any]) -> dict[str, Any]:
        """The rest of the line as names and values."""
        found: dict[str, Any] = {}
        while self._words:
            name = self.next("a name")
            if name not in known:
                raise self.fault(f"{name}: is not known here; there are {', '.join(sorted(known))}")
            if name in found:
                raise self.fault(f"{name}: stands twice on the line")
            found[name] = self.value(name, known[name])
        return found

    def end(self) -> None:
        """Nothing more may follow."""
        if self._words:
            raise self.fault(f"{self._words[0]}: nothing more is expected on this line")


_LENGTH = span(1.0, MOST_LENGTH_S)
_SPAN = span(0.001, MOST_LENGTH_S)
_NODE = {
    "cores": count(1, 256),
    "speed": number(0.01, 100),
    "slots": number(0.1, 10_000),
    "queue": count(0, 1_000_000),
    "reports": span(0, 60),
    "late": span(0, 60),
    "cold": number(0.001, 1),
    "warm": span(0, 3600),
}
_CLASS = {
    "share": number(0.001, 1_000_000),
    "work": _SPAN,
    "budget": _SPAN,
    "aim": _SPAN,
    "stretch": number(0, 1000),
    "worth": number(0, 1_000_000),
    "late": number(0, 1),
    "leaves": number(0, 1),
    "retries": count(0, 10),
    "shape": number(0.01, 1000),
    "window": span(0, 3600),
}


def read(path: Path) -> RehearsalScript:
    """A script from its file; SettingsError, ConfigError."""
    try:
        return parse(path.read_text(encoding="utf-8"), path.name)
    except (OSError, UnicodeDecodeError) as wrong:
        raise ConfigError(f"{path.name}: cannot be read: {wrong}") from None


def parse(text: str, file: str = "script") -> RehearsalScript:
    """A script from its text; SettingsError at the first fault."""
    script, seen, last = RehearsalScript(file, text), dict[str, int](), 0
    lines: list[tuple[_Line, ScriptedFault]] = []
    for last, raw in enumerate(text.split("\n"), 1):
        try:
            words = shlex.split(raw, comments=True)
        except ValueError as wrong:
            raise SettingsFileError(file, last, f"cannot be split into words: {wrong}") from None
        if not words:
            continue
        line = _Line(file, last, words)
        word = line.next("a word")
        if word in ("seed", "length", "schedulers", "traffic", "members", "configured", "copies"):
            if word in seen:
                raise line.fault(f"{word}: stands on line {seen[word]} already")
            seen[word] = last
        if word == "at":
            _at(script, line, lines, last, raw)
        elif word == "expect":
            script.expects.append(read_expect(line, last, raw.strip(), -1.0, script.members))
            line.end()
        elif word in _WORDS:
            _WORDS[word](script, line)
        else:
            known = ", ".join(sorted([*_WORDS, "at", "expect"]))
            raise line.fault(f"{word}: is no word of a script; there are {known}")
    for what, there in (("nodes", script.kinds), ("class", script.classes), ("traffic", script.spells)):
        if not there and (script.serves or not script.members):
            raise SettingsFileError(file, last, f"{what}: is missing from the script")
    for line, fault in lines:  # only now is the whole fleet known
        for node in fault.nodes:
            if not 1 <= node <= len(script.kinds):
                raise line.fault(f"node {node}: there are nodes 1 to {len(script.kinds)}")
        if fault.at_s >= script.length_s:
            raise line.fault(f"at {fault.at_s:g}s: the script ends after {script.length_s:g}s")
    if not set(script.copied) <= {c.name for c in script.classes}:
        raise SettingsFileError(file, last, f"copies of {','.join(script.copied)}: no such class")
    if script.spells and not script.kinds:
        raise SettingsFileError(file, last, "traffic: needs nodes and classes")
    for at_s in [*(m.at_s for m in script.mishaps), *(e.at_s for e in script.expects)]:
        if at_s >= script.length_s:
            raise SettingsFileError(file, last, f"at {at_s:g}s: the script ends after {script.length_s:g}s")
    script.mishaps.sort(key=lambda m: m.at_s)
    script.troubles = sorted((t for _, t in lines), key=lambda t: t.at_s)
    script.spells.sort(key=lambda s: s.since_s)
    return script


def _seed(script: RehearsalScript, line: _Line) -> None:
    script.seed = int(line.value("seed", count(0, 2**31 - 1)))
    line.end()


def _length(script: RehearsalScript, line: _Line) -> None:
    script.length_s = line.value("length", _LENGTH)
    line.end()


def _schedulers(script: RehearsalScript, line: _Line) -> None:
    script.schedulers = int(line.value("schedulers", count(1, 100)))
    line.end()


def _members(script: RehearsalScript, line: _Line) -> None:
    script.members = script.schedulers = int(line.value("members", count(2, MOST_MEMBERS)))
    line.end()


def _copies(script: RehearsalScript, line: _Line) -> None:
    script.copies = int(line.value("copies", count(1, 5)))
    found = line.options({"on": word(), "of": words()})
    if found.get("on", "memory") not in ("memory", "disk"):
        raise line.fault(f"copies on: must be memory or disk, is {found['on']!r}")
    script.on_disk = found.get("on") == "disk"
    script.copied = tuple(found["of"][0].split(",")) if "of" in found else ()
    if not 1 <= script.copies <= script.members or script.copies not in (1, 3, 5):
        raise line.fault("copies: must be 1, 3 or 5, and at most the members that stand before it")


def _configured(script: RehearsalScript, line: _Line) -> None:
    script.configured = int(line.value("configured", count(2, MOST_MEMBERS)))
    line.end()


def _traffic(script: RehearsalScript, line: _Line) -> None:
    script.spells.append(Spell(0.0, _rate(line)))
    line.end()


def _rate(line: _Line) -> float:
    text = line.next("a rate")
    match = _RATE.fullmatch(text)
    if match is None or float(match[1]) > 100_000:
        raise line.fault(f"traffic: must be a rate such as 20/s, at most 100000/s, is {text!r}")
    return float(match[1])


def _nodes(script: RehearsalScript, line: _Line) -> None:
    many = int(line.value("nodes", count(1, MOST_NODES)))
    if len(script.kinds) + many > MOST_NODES:
        raise line.fault(f"nodes: at most {MOST_NODES} in a script")
    found = line.options(_NODE)
    cores = int(found.get("cores", 2))
    kind = NodeKind(
        cores,
        found.get("speed", 1.0),
        found.get("slots", float(cores)),
        int(found.get("queue", 20)),
        found.get("cold", 0.12),
        round(found.get("warm", 24.0) * NS_PER_S),
        refresh_ns=round(found.get("reports", 1.1) * NS_PER_S),
        report_late_ns=round(found.get("late", 0.0) * NS_PER_S),
    )
    script.kinds += [kind] * many


def _class(script: RehearsalScript, line: _Line) -> None:
    name, effect = line.next("the class's name"), line.next("safe, keyed or once")
    if effect not in _EFFECTS:
        raise line.fault(f"class {name}: must be safe, keyed or once, is {effect!r}")
    if name in (c.name for c in script.classes):
        raise line.fault(f"class {name}: stands in the script already")
    found = line.options(_CLASS)
    for needed in ("share", "work", "budget", "aim"):
        if needed not in found:
            raise line.fault(f"class {name}: {needed} is missing")
    if found["aim"] > found["budget"]:
        raise line.fault(f"class {name}: aim must not be above budget")
    script.classes.append(
        JobClass(
            name,
            round(found["aim"] * NS_PER_S),
            round(found["budget"] * NS_PER_S),
            found.get("worth", 1.0),
            found.get("late", 0.0),
            found.get("stretch", 0.0),
            _EFFECTS[effect],
            Group.CELL,
            round(found.get("window", 0.0) * NS_PER_S),
        )
    )
    script.demands.append(
        JobClassDemand(
            name,
            found["share"],
            found["work"],
            found["budget"],
            found.get("shape", 1.0),
            found.get("leaves", 0.0),
            int(found.get("retries", 0)),
        )
    )


def _at(
    script: RehearsalScript, line: _Line, lines: list[tuple[_Line, ScriptedFault]], stands: int, raw: str
) -> None:
    at_s, what = line.value("at", span(0, MOST_LENGTH_S)), line.next("what happens")
    if what == "traffic":
        if any(s.since_s == at_s for s in script.spells):
            raise line.fault(f"at {at_s:g}s: the traffic is given twice for this time")
        script.spells.append(Spell(at_s, _rate(line)))
        line.end()
        return
    if what == "expect":
        script.expects.append(read_expect(line, stands, raw.strip(), at_s, script.members))
        line.end()
        return
    if what in ON_LINKS or what in ON_NODES or (what in ON_MEMBERS and line.peek() != "node"):
        script.mishaps.append(read_scheduled_fault(line, at_s, what, script.members))
        return
    if what not in _TROUBLES:
        known = ", ".join(sorted({*_TROUBLES, *ON_LINKS, *ON_MEMBERS, *ON_NODES, "traffic", "expect"}))
        raise line.fault(f"{what}: nothing of that name happens; there are {known}")
    if line.next("node") != "node":
        raise line.fault(f"{what}: must be followed by node and numbers, as in `{what} node 3..5`")
    fault = ScriptedFault(at_s, what, _numbers(line))
    allowed: dict[str, Any] = {"every": _SPAN, "until": _SPAN}
    if what in ("stall", "slow", "silence"):
        allowed["for"] = _SPAN
    if what == "slow":
        allowed["by"] = number(1, 1000)
    found = line.options(allowed)
    for needed in {"stall": ("for",), "slow": ("by",), "silence": ("for",)}.get(what, ()):
        if needed not in found:
            raise line.fault(f"{what}: `{needed}` is missing")
    if ("every" in found) != ("until" in found):
        raise line.fault(f"{what}: `every` and `until` go together")
    if found.get("until", at_s) < at_s:
        raise line.fault(f"{what}: until lies before at")
    lines.append(
        (
            line,
            replace(
                fault,
                for_s=found.get("for", 0.0),
                every_s=found.get("every", 0.0),
                until_s=found.get("until", at_s),
                by=found.get("by", 1.0),
            ),
        )
    )


def _numbers(line: _Line) -> tuple[int, ...]:
    text = line.next("the nodes' numbers")
    chosen: list[int] = []
    for part in text.split(","):
        first, dots, last = part.partition("..")
        if not first.isdigit() or (dots and not last.isdigit()) or len(part) > 12:
            raise line.fault(f"nodes: must be numbers such as 3, 3..5 or 1,4, is {text!r}")
        ends = int(last) if dots else int(first)
        if ends < int(first) or ends - int(first) > MOST_NODES:
            raise line.fault(f"nodes: {part!r} runs backwards or too far")
        chosen += range(int(first), ends + 1)
    return tuple(dict.fromkeys(chosen))


_WORDS: dict[str, Callable[[RehearsalScript, _Line], None]] = {
    "seed": _seed,
    "length": _length,
    "schedulers": _schedulers,
    "traffic": _traffic,
    "nodes": _nodes,
    "class": _class,
    "members": _members,
    "configured": _configured,
    "copies": _copies,
}


def stage(script: RehearsalScript, seed: int | None = None) -> Rehearsal:
    """A rehearsal with all that the script says laid on its heap, ready to run."""
    seed = script.seed if seed is None else seed
    run = Rehearsal(script.settings(), script.kinds, script.schedulers, seed)
    run.ask_for(draw(script.demands, script.spells, script.length_s, seed))
    for fault in script.troubles:
        at = fault.at_s
        while at <= fault.until_s + 1e-9:
            _lay(run, fault, at)
            if not fault.every_s:
                break
            at += fault.every_s
    return run


def _lay(run: Rehearsal, fault: ScriptedFault, at: float) -> None:
    def befall(node: VirtualNode) -> None:
        now = run.heap.now
        match fault.what:
            case "stall":
                node.model.stall(now, round(fault.for_s * NS_PER_S))
            case "slow":
                node.model.slow(now, fault.by)
            case "silence":
                node.silent = True
            case "drain":
                node.model.drain(now)
                run.list_says(node.number, State.DRAINING)
            case "kill":
                node.model.kill(now)
                run.list_says(node.number, State.GONE)
            case "restart":
                node.model.restart(now)
                node.started_ns, node.silent = now, False
                run.list_says(node.number, State.READY)

    def over(node: VirtualNode) -> None:
        if fault.what == "slow":
            node.model.slow(run.heap.now, 1.0)
        else:
            node.silent = False

    run.befall(at, fault.nodes, befall)
    if fault.for_s and fault.what in ("slow", "silence"):
        run.befall(at + fault.for_s, fault.nodes, over)
