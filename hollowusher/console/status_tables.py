"""Formats the status of a system, a configuration and a message as text.  No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

import attrs

from hollowusher.console.admin_client import AdminCallError
from hollowusher.console.control_report import (
    control_problems,
    control_summary,
    format_partitions,
    format_voters,
)
from hollowusher.console.status_report import (
    PRESENT,
    MemberReport,
    PartitionReport,
    PlacementReport,
    ProcessReport,
    StatusReport,
)
from hollowusher.console.store_tables import format_stores, store_problems
from hollowusher.console.system_status import SystemStatus
from hollowusher.console.text_table import Cell, format_table
from hollowusher.protocol.codec import as_document
from hollowusher.protocol.control_status import ControlStatus

NONE = "-"
NO_ANSWER = "no answer"
STORE = "store"


def find_problems(system_status: SystemStatus) -> list[str]:
    """Return the problems of the system, one line each; empty if there are none."""
    report = system_status.report
    problems = []
    if report.view is None:
        problems.append("no view is known: the controllers have not agreed yet, or cannot be reached")
    if report.process.generation == 0:
        problems.append("no configuration is in force")
    problems += _placement_problems(report.placement)
    problems += [f"{member.name} is not there" for member in report.members.entries if not member.alive]
    newest = max(
        (
            process.generation
            for process in system_status.processes.values()
            if isinstance(process, ProcessReport)
        ),
        default=0,
    )
    for name, process in system_status.processes.items():
        if isinstance(process, AdminCallError):
            problems.append(f"{name} gives no status: {process}")
        elif not process.ready:
            problems.append(f"{name} is not ready")
        elif process.generation < newest:
            problems.append(f"{name} serves generation {process.generation}, others {newest}")
    if isinstance(system_status.control, AdminCallError):
        problems.append(f"the control status is not known: {system_status.control}")
    elif system_status.control is not None:
        problems += control_problems(system_status.control)
    return problems + store_problems(system_status.stores)


def _placement_problems(placement: PlacementReport | None) -> list[str]:
    if placement is None:
        return ["no placement is known"]
    problems = []
    if placement.copies_lacking:
        problems.append(f"copies of partitions that are not there: {placement.copies_lacking}")
    if placement.without_primary:
        problems.append(f"partitions without a primary: {placement.without_primary}")
    return problems


def format_system_status(system_status: SystemStatus) -> str:
    """Format the complete status as text."""
    report = system_status.report
    parts = [_format_overview(system_status), _format_processes(system_status)]
    if isinstance(system_status.control, ControlStatus):
        parts.append(format_voters(system_status.control))
        parts.append(format_partitions(system_status.control))
    if system_status.stores:
        parts.append(format_stores(system_status.stores))
    if system_status.unasked_count:
        parts.append(
            f"{system_status.unasked_count} more edge processes were not queried (--all queries them)."
        )
    lacking = [entry for entry in _partitions(report) if entry.missing_replicas or entry.learners]
    if lacking:
        parts.append(_format_partitions(lacking))
    if report.workers is not None and report.workers.services:
        parts.append(_format_workers(report))
    parts.append(_format_figures(report))
    problems = find_problems(system_status)
    parts.append(
        "\n".join(["Lacking:", *(f"  {line}" for line in problems)]) if problems else "Nothing lacks."
    )
    return "\n\n".join(part for part in parts if part)


def _format_overview(system_status: SystemStatus) -> str:
    report = system_status.report
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
    if isinstance(system_status.control, ControlStatus):
        lines += control_summary(system_status.control)
    width = max(len(name) for name, _ in lines)
    return "\n".join(f"{name.ljust(width)}  {text}" for name, text in lines)


def _format_processes(system_status: SystemStatus) -> str:
    report = system_status.report
    primaries: Counter[str] = Counter(entry.primary for entry in _partitions(report))
    copies: Counter[str] = Counter(copy.store for entry in _partitions(report) for copy in entry.copies)
    rows: list[list[Cell]] = []
    for member in report.members.entries:
        process = system_status.processes.get(member.name)
        held = f"{primaries[member.name]}/{copies[member.name]}" if member.role == STORE else NONE
        rows.append(
            [
                member.name,
                member.role,
                member.zone,
                _yes(member.alive),
                _chain_role(member, report),
                *_reported_cells(process),
                held,
            ]
        )
    return format_table(
        ["process", "role", "zone", "alive", "duty", "ready", "generation", "up s", "primary/copies"], rows
    )


def _reported_cells(process: ProcessReport | AdminCallError | None) -> list[Cell]:
    """Return the cells for readiness, generation and uptime, which the process itself reports."""
    if process is None:
        return [NONE, NONE, NONE]
    if isinstance(process, AdminCallError):
        return [NO_ANSWER, NONE, NONE]
    return [_yes(process.ready), str(process.generation), f"{process.up_s:.0f}"]


def _chain_role(member: MemberReport, report: StatusReport) -> str:
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


def _format_partitions(entries: list[PartitionReport]) -> str:
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
    return format_table(["partition", "epoch", "primary", "copies", "learning"], rows)


def _format_workers(report: StatusReport) -> str:
    services = report.workers.services if report.workers is not None else []
    return format_table(
        ["service", "ready", "draining", "slots"],
        [[each.service, each.ready, each.draining, each.slots] for each in services],
    )


def _format_figures(report: StatusReport) -> str:
    """Format a table of the nonzero counters of the process that gave the report."""
    rows: list[list[Cell]] = [
        [part, name, value]
        for part, counters in report.figures.items()
        for name, value in counters.items()
        if value
    ]
    return format_table([f"counted by {report.process.name}", "figure", "value"], rows)


def format_members(report: StatusReport) -> str:
    """Format a table of the members."""
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
    text = format_table(
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


def format_configuration(document: Mapping[str, Any]) -> str:
    """Format the routes and services of a configuration as tables."""
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
            _delivery_method(service),
            service.get("ratePerS") or NONE,
            service.get("maxConnections", NONE),
            _yes(service.get("idempotent", False)),
        ]
        for service in document.get("upstreams", ())
    ]
    return "\n\n".join(
        [
            f"generation {document['generation']}",
            format_table(
                ["route", "host", "prefix", "service", "timeout ms", "attempts", "ordered", "call-back"],
                routes,
            ),
            format_table(["service", "reached by", "rate per s", "connections", "idempotent"], services),
        ]
    )


def _delivery_method(service: Mapping[str, Any]) -> str:
    if service.get("pull"):
        return "pull"
    return f"fixed {service['fixed']}" if service.get("fixed") else "list"


def format_message(document: Mapping[str, Any]) -> str:
    """Format the state of one message as lines of field and value."""
    width = max(map(len, document))
    return "\n".join(
        f"{name.ljust(width)}  {value if value != '' else NONE}" for name, value in document.items()
    )


def system_status_document(system_status: SystemStatus) -> dict[str, Any]:
    """Return the status as a document that can be written as JSON."""
    processes = {name: _json_value(process) for name, process in system_status.processes.items()}
    return {
        "report": system_status.report,
        "processes": processes,
        "control": _control_document(system_status.control),
        "stores": {name: _json_value(each) for name, each in system_status.stores.items()},
        "not_asked": system_status.unasked_count,
        "lacks": find_problems(system_status),
    }


def _json_value(answer: object) -> object:
    """Return a report unchanged, and an error as a dictionary."""
    return attrs.asdict(answer) if isinstance(answer, AdminCallError) else answer


def _control_document(control: ControlStatus | AdminCallError | None) -> object:
    return as_document(control) if isinstance(control, ControlStatus) else _json_value(control)


def _yes(value: bool) -> str:
    return "yes" if value else "no"
