"""What the commands show of a survey, a configuration and a message, as text.  No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

import attrs

from hollowusher.console.client import CallError
from hollowusher.console.control_report import (
    control_lacks,
    control_lines,
    partitions_table,
    voters_table,
)
from hollowusher.console.report import (
    PRESENT,
    MemberReport,
    PartitionReport,
    PlacementReport,
    ProcessReport,
    StatusReport,
)
from hollowusher.console.store_view import store_lacks, stores_table
from hollowusher.console.survey import Survey
from hollowusher.console.tables import Cell, table
from hollowusher.protocol.codec import as_document
from hollowusher.protocol.control_status import ControlStatus

NONE = "-"
NO_ANSWER = "no answer"
STORE = "store"


def lacks(survey: Survey) -> list[str]:
    """What is not as it should be, one line each; empty for a system that is whole."""
    report = survey.report
    found = []
    if report.view is None:
        found.append("no view is known: the controllers have not agreed yet, or cannot be reached")
    if report.process.generation == 0:
        found.append("no configuration is in force")
    found += _placement_lacks(report.placement)
    found += [f"{member.name} is not there" for member in report.members.entries if not member.alive]
    newest = max(
        (process.generation for process in survey.processes.values() if isinstance(process, ProcessReport)),
        default=0,
    )
    for name, process in survey.processes.items():
        if isinstance(process, CallError):
            found.append(f"{name} gives no status: {process}")
        elif not process.ready:
            found.append(f"{name} is not ready")
        elif process.generation < newest:
            found.append(f"{name} serves generation {process.generation}, others {newest}")
    if isinstance(survey.control, CallError):
        found.append(f"how control stands is not known: {survey.control}")
    elif survey.control is not None:
        found += control_lacks(survey.control)
    return found + store_lacks(survey.stores)


def _placement_lacks(placement: PlacementReport | None) -> list[str]:
    if placement is None:
        return ["no placement is known"]
    found = []
    if placement.copies_lacking:
        found.append(f"copies of partitions that are not there: {placement.copies_lacking}")
    if placement.without_primary:
        found.append(f"partitions without a primary: {placement.without_primary}")
    return found


def status_tables(survey: Survey) -> str:
    """The whole status."""
    report = survey.report
    parts = [_overview(survey), _processes_table(survey)]
    if isinstance(survey.control, ControlStatus):
        parts.append(voters_table(survey.control))
        parts.append(partitions_table(survey.control))
    if survey.stores:
        parts.append(stores_table(survey.stores))
    if survey.not_asked:
        parts.append(f"{survey.not_asked} more edge processes were not asked (--all asks them).")
    lacking = [entry for entry in _partitions(report) if entry.lacking or entry.learners]
    if lacking:
        parts.append(_partitions_table(lacking))
    if report.workers is not None and report.workers.services:
        parts.append(_workers_table(report))
    parts.append(_figures_table(report))
    found = lacks(survey)
    parts.append("\n".join(["Lacking:", *(f"  {line}" for line in found)]) if found else "Nothing lacks.")
    return "\n\n".join(part for part in parts if part)


def _overview(survey: Survey) -> str:
    report = survey.report
    view, placement, workers, members = report.view, report.placement, report.workers, report.members
    lines = [("asked", f"{report.process.name}, up {report.process.up_s:.0f} s")]
    if view is None:
        lines.append(("view", "none known"))
    else:
        lines.append(("view", f"epoch {view.epoch}, {len(view.voters)} voters"))
        lines.append(("chain", f"{' > '.join(view.chain)} (head {view.chain[0]}, tail {view.chain[-1]})"))
    lines.append(("configuration", f"generation {report.process.generation or 'none'}"))
    if placement is None:
        lines.append(("placement", "none known"))
    else:
        lines.append(
            (
                "placement",
                f"version {placement.version}, {placement.total} partitions, "
                f"{placement.copies_lacking} copies lacking, "
                f"{placement.without_primary} without primary",
            )
        )
    lines.append(("members", f"{members.alive} of {members.total} alive"))
    lines.append(
        (
            "workers",
            "no list known"
            if workers is None
            else f"{workers.total} listed, last change {workers.age_s:.0f} s ago",
        )
    )
    if isinstance(survey.control, ControlStatus):
        lines += control_lines(survey.control)
    width = max(len(name) for name, _ in lines)
    return "\n".join(f"{name.ljust(width)}  {text}" for name, text in lines)


def _processes_table(survey: Survey) -> str:
    report = survey.report
    primaries: Counter[str] = Counter(entry.primary for entry in _partitions(report))
    copies: Counter[str] = Counter(copy.store for entry in _partitions(report) for copy in entry.copies)
    rows: list[list[Cell]] = []
    for member in report.members.entries:
        process = survey.processes.get(member.name)
        held = f"{primaries[member.name]}/{copies[member.name]}" if member.role == STORE else NONE
        rows.append(
            [
                member.name,
                member.role,
                member.zone,
                _yes(member.alive),
                _duty(member, report),
                *_own_words(process),
                held,
            ]
        )
    return table(
        ["process", "role", "zone", "alive", "duty", "ready", "generation", "up s", "primary/copies"], rows
    )


def _own_words(process: ProcessReport | CallError | None) -> list[Cell]:
    """Ready, generation and time up, as the process says itself."""
    if process is None:
        return [NONE, NONE, NONE]
    if isinstance(process, CallError):
        return [NO_ANSWER, NONE, NONE]
    return [_yes(process.ready), str(process.generation), f"{process.up_s:.0f}"]


def _duty(member: MemberReport, report: StatusReport) -> str:
    view = report.view
    if view is None or not member.controller:
        return NONE
    if member.name == view.chain[0]:
        return "head"
    if member.name == view.chain[-1]:
        return "tail"
    if member.name in view.chain:
        return "chain"
    return "voter" if member.name in view.voters else "controller"


def _partitions(report: StatusReport) -> list[PartitionReport]:
    return [] if report.placement is None else report.placement.partitions


def _partitions_table(entries: list[PartitionReport]) -> str:
    rows: list[list[Cell]] = [
        [
            entry.partition,
            entry.epoch,
            entry.primary,
            ", ".join(
                copy.store if copy.state == PRESENT else f"{copy.store} ({copy.state})"
                for copy in entry.copies
            ),
            ", ".join(copy.store for copy in entry.learners) or NONE,
        ]
        for entry in entries
    ]
    return table(["partition", "epoch", "primary", "copies", "learning"], rows)


def _workers_table(report: StatusReport) -> str:
    services = report.workers.services if report.workers is not None else []
    return table(
        ["service", "ready", "draining", "slots"],
        [[each.service, each.ready, each.draining, each.slots] for each in services],
    )


def _figures_table(report: StatusReport) -> str:
    """The counters of the process asked that are not 0."""
    rows: list[list[Cell]] = [
        [part, name, value]
        for part, counters in report.figures.items()
        for name, value in counters.items()
        if value
    ]
    return table([f"counted by {report.process.name}", "figure", "value"], rows)


def members_table(report: StatusReport) -> str:
    """The processes of the system."""
    rows: list[list[Cell]] = [
        [
            member.name,
            member.role,
            member.zone,
            member.region,
            _yes(member.alive),
            str(member.incarnation),
            _yes(member.controller),
            _yes(member.counts),
            member.address,
            member.admin or NONE,
        ]
        for member in report.members.entries
    ]
    text = table(
        [
            "process",
            "role",
            "zone",
            "region",
            "alive",
            "incarnation",
            "controller",
            "counts",
            "address",
            "admin",
        ],
        rows,
    )
    more = report.members.total - len(rows)
    return f"{text}\n{more} more are not shown." if more else text


def configuration_tables(document: Mapping[str, Any]) -> str:
    """A configuration's routes and services."""
    routes: list[list[Cell]] = [
        [
            route["name"],
            route["hostname"],
            route["pathPrefix"],
            route["upstream"],
            route.get("timeoutMs", 0),
            route.get("maxAttempts", 1),
            _yes(route.get("ordered", False)),
            _yes(route.get("callbackUrl", False)),
        ]
        for route in document.get("routes", ())
    ]
    services: list[list[Cell]] = [
        [
            service["name"],
            _reached(service),
            service.get("ratePerS") or NONE,
            service.get("maxConnections", NONE),
            _yes(service.get("idempotent", False)),
        ]
        for service in document.get("upstreams", ())
    ]
    return "\n\n".join(
        [
            f"generation {document['generation']}",
            table(
                ["route", "host", "prefix", "service", "timeout ms", "attempts", "ordered", "call-back"],
                routes,
            ),
            table(["service", "reached by", "rate per s", "connections", "idempotent"], services),
        ]
    )


def _reached(service: Mapping[str, Any]) -> str:
    if service.get("pull"):
        return "pull"
    return f"fixed {service['fixed']}" if service.get("fixed") else "list"


def message_table(document: Mapping[str, Any]) -> str:
    """The state of one message."""
    width = max(map(len, document))
    return "\n".join(
        f"{name.ljust(width)}  {value if value != '' else NONE}" for name, value in document.items()
    )


def survey_document(survey: Survey) -> dict[str, Any]:
    """A survey as JSON's values."""
    processes = {name: _told(process) for name, process in survey.processes.items()}
    return {
        "report": survey.report,
        "processes": processes,
        "control": _control_document(survey.control),
        "stores": {name: _told(each) for name, each in survey.stores.items()},
        "not_asked": survey.not_asked,
        "lacks": lacks(survey),
    }


def _told(answer: object) -> object:
    """A report as it is, a failure as a map."""
    return attrs.asdict(answer) if isinstance(answer, CallError) else answer


def _control_document(control: ControlStatus | CallError | None) -> object:
    return as_document(control) if isinstance(control, ControlStatus) else _told(control)


def _yes(value: bool) -> str:
    return "yes" if value else "no"
