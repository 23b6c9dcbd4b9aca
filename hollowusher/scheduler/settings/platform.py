"""Validates the platform's settings: checks of single keys, and of keys against each other.

Keys without a check here are optional.  Each error is one line that names the key as the file spells it.  A
goal time beyond the deadline is valid: jobs of such a class are never late.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

_MISSING = object()
LONGEST_NS = 86_400 * 1_000_000_000
EFFECTS, SCOPES = ("retryable", "dedup", "fragile"), ("all", "zone", "cell")


@dataclass(frozen=True, slots=True)
class Check:
    """The check of one key: whether it is required, and its valid values."""

    path: str
    needed: bool = True
    words: tuple[str, ...] = ()  # the valid values of a text; empty: no restriction
    least: float | None = None  # inclusive lower bound of a number
    above: float | None = None  # exclusive lower bound of a number
    most: float | None = None
    complete: bool = False

    def fault(self, table: Mapping[str, Any]) -> str | None:
        """Return why the key is invalid, or None if it is valid."""
        value: Any = table
        for part in self.path.split("."):
            value = value.get(part, _MISSING) if isinstance(value, Mapping) else _MISSING
        if value is _MISSING or value is None:
            return "is missing" if self.needed else None
        if self.words:
            if value not in self.words:
                return f"must be one of {', '.join(self.words)}, is {value!r}"
        elif self.least is not None or self.above is not None:
            if isinstance(value, bool) or not isinstance(value, int if self.complete else int | float):
                return f"must be a {'whole ' if self.complete else ''}number, is {value!r}"
            if not self._in_range(value):
                lowest = f"{self.least:g} or more" if self.least is not None else f"above {self.above:g}"
                return f"must be {lowest}{f' and at most {self.most:g}' if self.most else ''}, is {value!r}"
        elif not isinstance(value, str) or not value:
            return f"must be a non-empty string, is {value!r}"
        return None

    def _in_range(self, value: float) -> bool:
        return (
            (self.least is None or value >= self.least)
            and (self.above is None or value > self.above)
            and (self.most is None or value <= self.most)
        )


COMMON = (
    Check("discovery", words=("push", "ask")),
    Check("fleet_size", least=1, most=100_000, complete=True),
    Check("me", least=0, complete=True),
    Check("granularity_ns", above=0, most=LONGEST_NS, complete=True, needed=False),
    Check("caps.max_attempts", least=1, most=1000, complete=True),
    Check("caps.connect_timeout_ns", above=0, most=LONGEST_NS, complete=True),
    Check("caps.idle_close_ns", above=0, most=LONGEST_NS, complete=True),
    Check("caps.max_retry_after_ns", least=0, most=LONGEST_NS, complete=True, needed=False),
    Check("contract.drain_grace_ns", least=0, most=LONGEST_NS, complete=True),
    Check("contract.fall_multiple", above=0, most=1e6),
    Check("contract.tip_after_ns", above=0, most=LONGEST_NS, complete=True),
    Check("contract.cold_share", above=0, most=1),
    Check("contract.warm_after_ns", least=0, most=LONGEST_NS, complete=True),
    Check("contract.grace_to_answer_ns", least=0, most=LONGEST_NS, complete=True, needed=False),
)
ASKED = (Check("contract.must_ask_in_ns", above=0, most=LONGEST_NS, complete=True),)
GRADE = (
    Check("name"),
    Check("effect", words=EFFECTS),
    Check("goal_time_ns", above=0, most=LONGEST_NS, complete=True),
    Check("deadline_ns", above=0, most=LONGEST_NS, complete=True),
    Check("value", least=0, most=1e12, needed=False),
    Check("late_share", least=0, most=1, needed=False),
    Check("share", above=0, needed=False),
)
KEYED = (
    Check("key_scope", words=SCOPES),
    Check("memory_span_ns", above=0, most=LONGEST_NS, complete=True),
)
CUSTOMER = (
    Check("name"),
    Check("share", above=0, needed=False),
    Check("allowance_per_s", least=0, needed=False),
)


def faults(table: Mapping[str, Any]) -> Iterator[str]:
    """Yield one line for each invalid key: the key and the reason."""
    for check in (*COMMON, *(ASKED if table.get("discovery") == "ask" else ())):
        if (why := check.fault(table)) is not None:
            yield f"{check.path}: {why}"
    size, me = table.get("fleet_size"), table.get("me")
    if isinstance(size, int) and isinstance(me, int) and 1 <= size <= me:
        yield f"me: must be below fleet_size, which is {size}, is {me}"
    grades = table.get("grades", _MISSING)
    if not isinstance(grades, list) or not grades:
        yield "grades: " + ("is missing" if grades is _MISSING else "must be a list of one class or more")
        grades = []
    names = set[str]()
    for index, grade in enumerate(grades):
        yield from _check_row("grades", index, grade, GRADE)
        if isinstance(grade, Mapping):
            yield from _class_faults(f"grades.{index}", index, grade, names)
    customers = table.get("customers") or []
    if not isinstance(customers, list):
        yield "customers: must be a list"
        customers = []
    for index, customer in enumerate(customers):
        yield from _check_row("customers", index, customer, CUSTOMER)


def missing_keys(before: Mapping[str, Any], now: Mapping[str, Any], path: str = "") -> Iterator[str]:
    """Yield the keys of `before` that `now` lacks, which indicates an incompletely written file.

    In a list, each row must have the keys that all previous rows had in common."""
    for key, value in before.items():
        at = f"{path}{key}"
        if key not in now:
            yield at
        elif isinstance(value, Mapping):
            found = now[key]
            yield from missing_keys(value, found, f"{at}.") if isinstance(found, Mapping) else (at,)
        elif isinstance(value, list) and isinstance(now[key], list):
            yield from _missing_in_rows(value, now[key], at)


def _missing_in_rows(before: list[Any], now: list[Any], path: str) -> Iterator[str]:
    rows = [set(row) for row in before if isinstance(row, Mapping)]
    common = set.intersection(*rows) if rows else set[str]()
    for index, row in enumerate(now):
        if isinstance(row, Mapping):
            yield from (f"{path}.{index}.{key}" for key in sorted(common - set(row)))


def _class_faults(at: str, index: int, grade: Mapping[str, Any], names: set[str]) -> Iterator[str]:
    """Check the keys of a job class against each other and against other classes."""
    if grade.get("effect") == "dedup":
        yield from _check_row("grades", index, grade, KEYED)
    if (name := str(grade.get("name"))) in names:
        yield f"{at}.name: another class has this name, {name!r}"
    names.add(name)


def _check_row(list_name: str, index: int, row: object, checks: tuple[Check, ...]) -> Iterator[str]:
    if not isinstance(row, Mapping):
        yield f"{list_name}.{index}: must be an object"
        return
    for check in checks:
        if (why := check.fault(row)) is not None:
            yield f"{list_name}.{index}.{check.path}: {why}"
