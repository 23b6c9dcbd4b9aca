"""Liveness: whether, some seconds after all is calm, every member has caught up and all is served."""

from __future__ import annotations

from collections.abc import Iterator

from hollowusher.protocol.placement import Placement
from hollowusher.protocol.view import View
from hollowusher.simulation.observations import Unwell
from hollowusher.simulation.world import Machine, World


def ailments(world: World) -> Iterator[Unwell]:
    """What is not in order now, from what the running processes hold."""
    now = world.loop.time()
    views = [view for machine in world.of("edge") if (view := _view(machine)) is not None]
    newest = max(views, key=lambda view: view.epoch, default=None)
    if newest is None:
        yield Unwell("view", "no process holds a view", now)
    else:
        yield from _voters(world, newest, now)
    for machine in world.machines.values():
        yield from _machine(machine, newest, now)
    placements = [placed for machine in world.of("edge") if (placed := _placement(machine)) is not None]
    if placements:
        yield from _copies(world, max(placements, key=lambda placement: placement.version), now)


def _view(machine: Machine) -> View | None:
    known = machine.program.knowledge() if machine.program is not None else None
    return None if known is None else known.view


def _placement(machine: Machine) -> Placement | None:
    known = machine.program.knowledge() if machine.program is not None else None
    return None if known is None else known.placement


def _machine(machine: Machine, newest: View | None, now: float) -> Iterator[Unwell]:
    if machine.role == "edge" and machine.readiness_misses:
        yield Unwell(machine.name, "is not ready", now)
    view = _view(machine)
    known = 0 if view is None else view.epoch
    if newest is not None and known < newest.epoch:
        yield Unwell(machine.name, f"holds view {known}, {newest.epoch} is decided", now)


def _voters(world: World, view: View, now: float) -> Iterator[Unwell]:
    """No voter is gone, there are as many as the losses need, and each of them is in the chain."""
    there = {machine.name for machine in world.controllers()}
    names = {voter.name for voter in view.voters}
    for gone in sorted(names - there):
        yield Unwell(gone, f"is gone and votes in view {view.epoch}", now)
    enough = min(2 * world.size.faults + 1, len(there))
    if len(names & there) < enough:
        yield Unwell("view", f"{len(names & there)} living voters in view {view.epoch}, {enough} needed", now)
    for name in sorted((names & there) - set(view.chain)):
        yield Unwell(name, f"votes in view {view.epoch} and is not in its chain", now)


def _copies(world: World, placement: Placement, now: float) -> Iterator[Unwell]:
    """Each partition has as many living replicas as the losses need."""
    stores = {machine.name: machine for machine in world.of("store")}
    living = {store_id for machine in stores.values() if (store_id := _store_id(machine))}
    enough = min(2 * world.size.faults + 1, len(stores))
    for entry in placement.partitions:
        count = len(set(entry.replicas) & living)
        if count < enough or entry.primary not in living:
            text = f"{count} of {enough} replicas live, the primary is {entry.primary}"
            yield Unwell(f"partition {entry.partition}", text, now)


def _store_id(machine: Machine) -> str:
    disk = machine.program.disk_identity() if machine.program is not None else ""
    return f"{machine.name}/{disk}" if disk else ""
