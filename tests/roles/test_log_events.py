"""The table of log events in docs/log-events.md and the classes of `hollowusher.log_events` agree."""

from __future__ import annotations

import ast
import inspect
import re
from pathlib import Path
from typing import ClassVar, get_origin, get_type_hints

import pytest

from hollowusher import log_events
from hollowusher.log_events import LogEvent

ROOT = Path(__file__).parent.parent.parent
TABLE = ROOT / "docs" / "log-events.md"
EVENTS: list[type[LogEvent]] = [
    value
    for value in vars(log_events).values()
    if inspect.isclass(value) and issubclass(value, LogEvent) and not value.__subclasses__()
]
REGULAR_NAME = re.compile(r"[a-z]+(_[a-z]+)*_([a-z]+ed|lost|timed_out)")
FIELDS_OF_EVERY_LINE = {"node", "role", "timestamp", "message_type", "task_uuid", "task_level"}
FORMER_SPELLINGS = {"error", "caller", "name", "of", "machine"}  # replaced by `reason` and `peer`


def fields_of(event: type[LogEvent]) -> list[str]:
    hints = get_type_hints(event)
    return [name for name, hint in hints.items() if hint is not ClassVar and get_origin(hint) is not ClassVar]


def documented(event: type[LogEvent]) -> tuple[str, str]:
    """The meaning and the action of an event, from its docstring."""
    text = inspect.getdoc(event) or ""
    meaning, marker, action = text.partition("\n\nAction: ")
    assert marker, f"{event.__name__} names no action"
    return meaning.replace("\n", " "), action.replace("\n", " ")


def row_of(event: type[LogEvent]) -> str:
    meaning, action = documented(event)
    fields = ", ".join(f"`{name}`" for name in fields_of(event)) or "-"
    return f"| `{event.name}` | {event.written_by} | {fields} | {meaning} | {action} |"


def documented_rows() -> list[str]:
    return [line for line in TABLE.read_text().splitlines() if line.startswith("| `")]


def test_the_page_lists_exactly_the_events() -> None:
    assert documented_rows() == [row_of(event) for event in EVENTS]


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.name)
def test_an_event_is_named_by_a_noun_and_a_participle(event: type[LogEvent]) -> None:
    assert REGULAR_NAME.fullmatch(event.name)


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.name)
def test_an_events_fields_have_the_names_that_all_events_use(event: type[LogEvent]) -> None:
    assert not set(fields_of(event)) & (FIELDS_OF_EVERY_LINE | FORMER_SPELLINGS)


def constructed_names() -> set[str]:
    """All names that the modules of the service read, except in `log_events.py` and the simulation."""
    found: set[str] = set()
    for source in (ROOT / "hollowusher").rglob("*.py"):
        if source.name == "log_events.py" or "simulation" in source.parts:
            continue
        nodes = ast.walk(ast.parse(source.read_text()))
        found |= {node.id for node in nodes if isinstance(node, ast.Name) and isinstance(node.ctx, ast.Load)}
    return found


def test_every_event_is_logged_somewhere() -> None:
    assert {event.__name__ for event in EVENTS} <= constructed_names()


def test_a_field_that_is_none_is_omitted() -> None:
    event = log_events.FaultToleranceRestored(
        group=log_events.RedundantGroup.STORES, losses_borne=1, lost_partitions=[]
    )
    assert event.fields() == {"group": "stores", "losses_borne": 1, "lost_partitions": []}
