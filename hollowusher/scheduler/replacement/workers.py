"""Converts the worker list to and from the records of a handover."""

from __future__ import annotations

from collections.abc import Iterable

from hollowusher.balancing.interface import Listed, State
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.replacement.records import WorkerRecord


def to_records(registry: WorkerRegistry) -> list[WorkerRecord]:
    """Return a record of each listed worker that is not gone."""
    return [_record(worker) for worker in registry.listed() if worker.entry.state is not State.GONE]


def _record(worker: RouteNode) -> WorkerRecord:
    entry, (host, port) = worker.entry, worker.address
    return WorkerRecord(
        worker.name,
        host,
        port,
        entry.zone,
        entry.kind,
        entry.cell,
        entry.state.value,
        entry.size,
        entry.started_ns,
        worker.front,
    )


def from_records(records: Iterable[WorkerRecord], registry: WorkerRegistry) -> list[RouteNode]:
    """Return the workers of a handover; raises ValueError if a record is invalid."""
    return [
        RouteNode(
            r.name,
            (r.host, r.port),
            Listed(registry.number(r.name), r.zone, r.kind, r.cell, State(r.state), r.size, r.started_ns),
            r.front,
        )
        for r in records
    ]
