"""Liveness: whether, some seconds after all is calm, every member has caught up and all is served."""

from __future__ import annotations

from collections.abc import Iterator

from hollowusher.protocol.placement import Placement
from hollowusher.protocol.view import View
from hollowusher.simulation.cluster import SimulatedCluster
from hollowusher.simulation.machine import SimulatedMachine
from hollowusher.simulation.observations import LivenessFailure


def find_liveness_failures(cluster: SimulatedCluster) -> Iterator[LivenessFailure]:
    """Find what is not in order now, from the state of the running processes."""
    now = cluster.loop.time()
    views = [view for machine in cluster.machines_with_role("edge") if (view := _view(machine)) is not None]
    newest = max(views, key=lambda view: view.epoch, default=None)
    if newest is None:
        yield LivenessFailure("view", "no process holds a view", now)
    else:
        yield from _voters(cluster, newest, now)
    for machine in cluster.machines.values():
        yield from _machine(machine, newest, now)
    placements = [
        placed
        for machine in cluster.machines_with_role("edge")
        if (placed := _placement(machine)) is not None
    ]
    if placements:
        yield from _replicas(cluster, max(placements, key=lambda placement: placement.version), now)


def _view(machine: SimulatedMachine) -> View | None:
    known = machine.program.cluster_state() if machine.program is not None else None
    return None if known is None else known.view


def _placement(machine: SimulatedMachine) -> Placement | None:
    known = machine.program.cluster_state() if machine.program is not None else None
    return None if known is None else known.placement


def _machine(machine: SimulatedMachine, newest: View | None, now: float) -> Iterator[LivenessFailure]:
    if machine.role == "edge" and machine.failed_readiness_checks:
        yield LivenessFailure(machine.name, "is not ready", now)
    view = _view(machine)
    known = 0 if view is None else view.epoch
    if newest is not None and known < newest.epoch:
        yield LivenessFailure(machine.name, f"holds view {known}, {newest.epoch} is decided", now)


def _voters(cluster: SimulatedCluster, view: View, now: float) -> Iterator[LivenessFailure]:
    """No voter is gone, there are as many as the losses need, and each of them is in the chain."""
    there = {machine.name for machine in cluster.controllers()}
    names = {voter.name for voter in view.voters}
    for gone in sorted(names - there):
        yield LivenessFailure(gone, f"is gone and votes in view {view.epoch}", now)
    enough = min(2 * cluster.size.faults + 1, len(there))
    if len(names & there) < enough:
        yield LivenessFailure(
            "view", f"{len(names & there)} living voters in view {view.epoch}, {enough} needed", now
        )
    for name in sorted((names & there) - set(view.chain)):
        yield LivenessFailure(name, f"votes in view {view.epoch} and is not in its chain", now)


def _replicas(cluster: SimulatedCluster, placement: Placement, now: float) -> Iterator[LivenessFailure]:
    """Each partition has as many living replicas as the losses need."""
    stores = {machine.name: machine for machine in cluster.machines_with_role("store")}
    living = {store_id for machine in stores.values() if (store_id := _store_id(machine))}
    enough = min(2 * cluster.size.faults + 1, len(stores))
    for entry in placement.partitions:
        count = len(set(entry.replicas) & living)
        if count < enough or entry.primary not in living:
            text = f"{count} of {enough} replicas live, the primary is {entry.primary}"
            yield LivenessFailure(f"partition {entry.partition}", text, now)


def _store_id(machine: SimulatedMachine) -> str:
    disk = machine.program.disk_id() if machine.program is not None else ""
    return f"{machine.name}/{disk}" if disk else ""
