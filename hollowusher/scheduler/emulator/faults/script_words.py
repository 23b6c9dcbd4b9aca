"""The words of a script about schedulers: what befalls them and their links, and what is expected of them.

`docs/faults.md` has the words.  Every fault of a script names file and line.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from hollowusher.scheduler.rules.membership.events import Change
from hollowusher.scheduler.settings.model import SettingsFileError, ValueKind, size, span

MOST_MEMBERS = 1_000
_PART = re.compile(r"([ns])([0-9]{1,4})(?:\.\.\1?([0-9]{1,4}))?")
_AHEAD = span(0.001, 86_400)


class Line(Protocol):
    """A line of a script, taken word by word."""

    def fault(self, why: str) -> SettingsFileError:
        """A fault of this line."""

    def next(self, what: str) -> str:
        """The next word."""

    def value(self, what: str, kind: Any) -> Any:
        """The next word as a value."""

    def options(self, known: dict[str, Any]) -> dict[str, Any]:
        """The rest as names and values."""

    def end(self) -> None:
        """Nothing more may follow."""


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """Something that befalls schedulers (`who`) or the links from them to others (`to`)."""

    at_s: float
    what: str
    who: tuple[str, ...]
    to: tuple[str, ...] = ()
    both: bool = False
    amount: float = 0.0
    spread_s: float = 0.0
    for_s: float = 0.0
    every_s: float = 0.0
    until_s: float = 0.0
    fresh: bool = False
    clock_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Expect:
    """What a history must show: of a time, or (at_s below 0) of the whole."""

    line: int
    text: str
    at_s: float
    what: str  # see, minority, majority, died, told, found, served
    who: tuple[str, ...] = ()
    of: tuple[str, ...] = ()
    amount: float = 0.0


def _read_share(words: Sequence[str]) -> float:
    match = re.fullmatch(r"([0-9]{1,3}(?:\.[0-9]+)?)%", words[0])
    if match is None or not 0 < float(match[1]) <= 100:
        raise ValueError(words[0])
    return float(match[1]) / 100


def _read_clock(words: Sequence[str]) -> float:
    text = words[0]
    return -_AHEAD.read([text[1:]]) if text.startswith("-") else float(_AHEAD.read([text]))


def _read_rate(words: Sequence[str]) -> float:
    if re.fullmatch(r"[0-9]{1,6}/s", words[0]) is None or int(words[0][:-2]) < 1:
        raise ValueError(words[0])
    return float(words[0][:-2])


SHARE = ValueKind("a share such as 30%", _read_share)
CLOCK = ValueKind("a span such as 100s, or -100s", _read_clock)
RATE = ValueKind("a rate such as 1000/s", _read_rate)
_FLAG = ValueKind("yes or no", lambda words: {"yes": True, "no": False}[words[0]])
_SPAN = span(0.001, 86_400)
# What befalls links: the word and kind of its amount.  And schedulers: the same, and whether it lasts.
ON_LINKS: dict[str, ValueKind | None] = {
    "cut": None,
    "lose": SHARE,
    "double": SHARE,
    "delay": _SPAN,
    "hold": None,
    "narrow": size(1, 1 << 30),
    "reset": None,
}
ON_MEMBERS = {"pause", "kill", "start", "restart", "stop", "starve", "flood", "twin", "rename"}
ON_NODES = {"fail"}  # route nodes; other troubles of theirs are words of rehearsals
_LASTS = {"pause", "starve", "flood", "twin", "fail"}


def names(line: Line, members: int, known: Sequence[str] = ("n",)) -> tuple[str, ...]:
    """Schedulers (and, for links, route nodes): n1, n1..n3, n1,n4, or * for all schedulers."""
    text = line.next("whom it befalls")
    if text == "*":
        return tuple(f"n{n}" for n in range(1, members + 1))
    found: list[str] = []
    for part in text.split(","):
        match = _PART.fullmatch(part)
        if match is None or match[1] not in known:
            raise line.fault(f"{text}: must be names such as n1, n1..n3, n1,n4 or *")
        first, last = int(match[2]), int(match[3] or match[2])
        if not 1 <= first <= last <= MOST_MEMBERS or (match[1] == "n" and last > members):
            raise line.fault(f"{part}: there are n1 to n{members}")
        found += [f"{match[1]}{n}" for n in range(first, last + 1)]
    return tuple(dict.fromkeys(found))


def read_scheduled_fault(line: Line, at_s: float, what: str, members: int) -> ScheduledFault:
    """The rest of `at 12s WHAT ...`."""
    if not members:
        raise line.fault(f"{what}: the script has no `members` before this line")
    fields: dict[str, Any] = {}
    allowed: dict[str, ValueKind] = {"every": _SPAN, "until": _SPAN}
    if what in ON_LINKS:
        if (kind := ON_LINKS[what]) is not None:
            fields["amount"] = line.value(what, kind)
        fields["who"] = names(line, members, ("n", "s"))
        arrow = line.next("-> or <->")
        if arrow not in ("->", "<->"):
            raise line.fault(f"{what}: -> or <-> must stand between the names, is {arrow!r}")
        fields["both"] = arrow == "<->"
        fields["to"] = names(line, members, ("n", "s"))
        allowed |= {} if what == "reset" else {"for": _SPAN}
        allowed |= {"spread": _SPAN} if what == "delay" else {}
    else:
        if what in ("starve", "flood"):
            fields["amount"] = line.value(what, SHARE if what == "starve" else RATE)
        fields["who"] = names(line, members, ("s",) if what in ON_NODES else ("n",))
        if what == "rename":
            if line.next("to") != "to":
                raise line.fault("rename: `to` and names must follow")
            fields["to"] = names(line, MOST_MEMBERS)
        allowed |= {"for": _SPAN} if what in _LASTS else {}
        allowed |= {"fresh": _FLAG, "clock": CLOCK} if what in ("start", "restart") else {}
    found = line.options(allowed)
    if ("every" in found) != ("until" in found):
        raise line.fault(f"{what}: `every` and `until` go together")
    if what in _LASTS and "for" not in found:
        raise line.fault(f"{what}: `for` is missing")
    return ScheduledFault(
        at_s,
        what,
        for_s=found.get("for", 0.0),
        every_s=found.get("every", 0.0),
        until_s=found.get("until", at_s),
        spread_s=found.get("spread", 0.0),
        fresh=found.get("fresh", False),
        clock_s=found.get("clock", 0.0),
        **fields,
    )


_CHANGES = {change.value for change in Change}


def read_expect(line: Line, number: int, text: str, at_s: float, members: int) -> Expect:
    """The rest of `expect ...` (at_s below 0) or `at 12s expect ...`."""
    if not members:
        raise line.fault("expect: the script has no `members` before this line")
    make: Callable[..., Expect] = lambda *a, **k: Expect(number, text, at_s, *a, **k)  # noqa: E731
    if at_s >= 0:
        who, what = names(line, members), line.next("see, minority or majority")
        if what == "see":
            return make("see", who, names(line, members))
        if what in ("minority", "majority"):
            return make(what, who)
        raise line.fault(f"expect: must be see, minority or majority, is {what!r}")
    match line.next("what is expected"):
        case "died":
            if (said := line.next("none, or only and names")) not in ("none", "only"):
                raise line.fault(f"expect died: must be none, or only and names, is {said!r}")
            return make("died", of=names(line, members) if said == "only" else ())
        case "told":
            change = line.next("a change")
            if change not in _CHANGES:
                known = ", ".join(sorted(_CHANGES))
                raise line.fault(f"expect told: {change!r} is no change; there are {known}")
            if line.next("of") != "of":
                raise line.fault("expect told: `of` and names must follow")
            return make("told", (change,), names(line, members))
        case "found":
            whom = names(line, members)
            if line.next("within") != "within":
                raise line.fault("expect found: `within` and a span must follow")
            return make("found", of=whom, amount=line.value("within", _SPAN))
        case "served":
            return make("served", amount=line.value("served", SHARE))
        case other:
            raise line.fault(f"expect: {other!r} is nothing to expect; there are died, found, served, told")
