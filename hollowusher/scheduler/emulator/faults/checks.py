"""Reads a history against what is expected of it: what the script says, and what must hold of every play."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from hollowusher.scheduler.emulator.faults.history import RIG, HistoryAction, HistoryEntry, pairs
from hollowusher.scheduler.emulator.faults.script_words import Expect
from hollowusher.scheduler.rules.membership.events import Change

STABLE_AFTER_S = 8.0  # after a trouble of a member, or its start, its place in the views has come right
_GONE = {Change.DIED.value, Change.LEFT.value}


@dataclass(frozen=True, slots=True)
class CheckResult:
    """One thing checked: whether it holds, and what was seen."""

    holds: bool
    what: str
    seen: str = ""


@dataclass(slots=True)
class Course:
    """What follows from the acts alone: who runs, who is hindered, and who can reach whom, at any time."""

    acts: Sequence[HistoryAction]
    members: Sequence[str]
    spans: dict[str, list[tuple[float, float, str]]] = field(default_factory=dict)  # when hindered, by what

    def __post_init__(self) -> None:
        """Reckon the spans in which each member cannot be asked to be there."""
        down: dict[str, tuple[float, str]] = {}
        ends = {a.number: a.at_s for a in self.acts if a.ends}
        for act in self.acts:
            what, at = act.fault.what, act.at_s
            for name in act.fault.who if not act.ends else ():
                if what in ("kill", "stop"):
                    down.setdefault(name, (at, what))
                elif what in ("start", "restart"):
                    since, why = down.pop(name, (at, what))
                    self._hinder(name, since, at, why)
                elif what in ("pause", "starve", "twin"):
                    self._hinder(name, at, ends[act.number], what)
            if not act.ends and what in ("cut", "hold", "lose", "delay", "narrow"):
                for name in self._cut_off(at):
                    self._hinder(name, at, ends.get(act.number, 1e9), "cut off")
        for name, (since, why) in down.items():
            self._hinder(name, since, 1e9, why)

    def _hinder(self, name: str, since: float, until: float, why: str) -> None:
        self.spans.setdefault(name, []).append((since, until, why))

    def _cut_off(self, at: float) -> list[str]:
        """Who then has no way to all others and back, over others, by links that carry nearly all."""
        bad: set[tuple[str, str]] = set()
        open_now: dict[int, HistoryAction] = {}
        for act in self.acts:
            if act.at_s > at:
                break
            if act.ends:
                open_now.pop(act.number, None)
            elif act.fault.to:
                open_now[act.number] = act
        for act in open_now.values():
            m = act.fault
            if (
                m.what in ("cut", "hold")
                or (m.what == "lose" and m.amount > 0.5)
                or (m.what == "delay" and m.amount > 1.0)
            ):
                bad |= pairs(m)
        return [
            n
            for n in self.members
            if len(self._reach(n, bad)) < len(self.members)
            or len(self._reach(n, {(b, a) for a, b in bad})) < len(self.members)
        ]

    def _reach(self, name: str, bad: set[tuple[str, str]]) -> set[str]:
        found, rim = {name}, [name]
        while rim:
            here = rim.pop()
            for other in self.members:
                if other not in found and (here, other) not in bad:
                    found.add(other)
                    rim.append(other)
        return found

    def hindered(self, name: str, at: float, stabilize_s: float = STABLE_AFTER_S) -> str:
        """By what a member was hindered then or shortly before; "" where it ought to be there."""
        for since, until, why in self.spans.get(name, ()):
            if since <= at <= until + stabilize_s:
                return why
        return ""

    def down(self, name: str, at: float) -> bool:
        """Whether its process does not run then."""
        return any(
            since <= at < until for since, until, why in self.spans.get(name, ()) if why in ("kill", "stop")
        )


def check(
    entries: Sequence[HistoryEntry],
    acts: Sequence[HistoryAction],
    expects: Iterable[Expect],
    members: Sequence[str],
) -> list[CheckResult]:
    """All findings: the script's own first, then those of every play."""
    course = Course(acts, members)
    findings = [_expected(e, entries, course) for e in expects]
    findings += _held_dead_by_all(entries, course)
    findings += _numbers(entries)
    for entry in entries:
        if entry.what == "ended" and entry.why != "bidden":
            findings.append(
                CheckResult(
                    False, "no process ends unbidden", f"{entry.who} at {entry.at:.1f} s: {entry.why}"
                )
            )
    return findings + _jobs(entries)


def _expected(e: Expect, entries: Sequence[HistoryEntry], course: Course) -> CheckResult:
    match e.what:
        case "see" | "minority" | "majority":
            return _at(e, entries)
        case "died":
            wrong = [
                f"{x.of} by {x.who} at {x.at:.1f} s"
                for x in entries
                if x.what == Change.DIED.value
                and x.of not in e.of
                and not course.down(x.who, x.at)
                and course.hindered(x.who, x.at, 0.0) != "cut off"
            ]  # who hears nobody judges for itself
            return CheckResult(not wrong, e.text, ", ".join(wrong[:4]))
        case "told":
            missing = set(e.of) - {x.of for x in entries if x.what == e.who[0]}
            return CheckResult(
                not missing, e.text, f"never of {', '.join(sorted(missing))}" if missing else ""
            )
        case "found":
            return _found(e, entries, course)
        case _:
            asked = [x for x in entries if x.what == "job"]
            share = sum(x.why == "served" for x in asked) / max(1, len(asked))
            return CheckResult(share >= e.amount, e.text, f"{share:.3f} of {len(asked)}")


def _at(e: Expect, entries: Sequence[HistoryEntry]) -> CheckResult:
    """What was asked of the schedulers themselves at that time."""
    reported = {x.who: x for x in entries if x.what == "state" and abs(x.at - e.at_s) < 1.0}
    wrong = []
    for name in e.who:
        if name not in reported:
            wrong.append(f"{name} told nothing")
        elif e.what == "see" and set(reported[name].of.split(",")) != set(e.of):
            wrong.append(f"{name} sees {reported[name].of}")
        elif e.what != "see" and reported[name].why != e.what:
            wrong.append(f"{name} is in a {reported[name].why}")
    return CheckResult(not wrong, e.text, "; ".join(wrong))


def _found(e: Expect, entries: Sequence[HistoryEntry], course: Course) -> CheckResult:
    """Each death of these known in time to all who could know it."""
    wrong, longest = [], 0.0
    for act in course.acts:
        for name in set(act.fault.who) & set(e.of) if act.fault.what == "kill" and not act.ends else ():
            at = act.at_s
            for other in course.members:
                if other == name or course.hindered(other, at + e.amount, 0.0) or course.hindered(other, at):
                    continue
                knew = min(
                    (
                        x.at - at
                        for x in entries
                        if x.who == other and x.of == name and x.at >= at and x.what in _GONE
                    ),
                    default=1e9,
                )
                longest = max(longest, knew)
                if knew > e.amount:
                    wrong.append(f"{other} after {knew:.2f} s" if knew < 1e9 else f"{other} never")
    return CheckResult(not wrong, e.text, "; ".join(wrong) or f"the last after {longest:.2f} s")


def _held_dead_by_all(entries: Sequence[HistoryEntry], course: Course) -> list[CheckResult]:
    """Nobody that runs and can be reached by some way is held dead by all others at once."""
    dead: dict[str, set[str]] = {name: set() for name in course.members}
    wrong: list[CheckResult] = []
    for x in entries:
        if x.of not in dead or x.who == RIG:
            continue
        if x.what == Change.DIED.value:
            dead[x.of].add(x.who)
        elif x.what in (Change.JOINED.value, Change.RESTARTED.value):
            dead[x.of].discard(x.who)
        others = {n for n in course.members if n != x.of and not course.hindered(n, x.at)}
        all_hold = x.what == Change.DIED.value and others and others <= dead[x.of]
        if all_hold and not course.hindered(x.of, x.at):
            wrong.append(
                CheckResult(
                    False,
                    "who runs and can be reached is not held dead by all",
                    f"{x.of} at {x.at:.1f} s, the last of them {x.who}",
                )
            )
    return wrong


def _numbers(entries: Sequence[HistoryEntry]) -> list[CheckResult]:
    """The numbers of one process's views never fall."""
    last: dict[str, int] = {}
    for x in entries:
        if x.what in ("started", "ended"):
            last.pop(x.who, None)
        elif x.view:
            if x.view < last.get(x.who, 0):
                return [CheckResult(False, "numbers of views never fall", f"{x.who} at {x.at:.1f} s")]
            last[x.who] = x.view
    return []


def _jobs(entries: Sequence[HistoryEntry]) -> list[CheckResult]:
    """What the nodes ran and the clients were told."""
    wrong = []
    runs: dict[str, int] = {}
    answers: dict[str, int] = {}
    for x in entries:
        if x.what == "run" and x.why == "once":
            runs[x.of] = runs.get(x.of, 0) + 1
        elif x.what == "job":
            answers[x.of] = answers.get(x.of, 0) + 1
            if x.why in ("late", "wrong"):
                wrong.append(CheckResult(False, "each job has one right answer in time", f"{x.of}: {x.why}"))
    wrong += [
        CheckResult(False, "an unsafe job runs once at most", f"{job}: {n} runs")
        for job, n in runs.items()
        if n > 1
    ]
    wrong += [
        CheckResult(False, "each job has one answer", f"{job}: {n}") for job, n in answers.items() if n > 1
    ]
    return wrong
