"""What may happen next in the modelled system: steps that go on by themselves, and events from outside."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from hollowusher.simulation.model_check.partition_system import PartitionSystem
from hollowusher.simulation.model_check.store_model import StoreModel

EVENT_TICKS = 2  # the next event comes so soon after the last one, or after it is allowed
Label = tuple[Any, ...]


def protocol_steps(system: PartitionSystem) -> list[Label]:
    """All that goes on by itself."""
    found: list[Label] = []
    for store in system.members_of():
        found += _store_steps(system, store)
    found += [("hear", report) for report in system.reports]
    found += [("register", name) for tick, name in system.starts if tick <= system.tick]
    if system.head.plan(system.tick) is not None:
        found.append(("plan",))
    return found


def _store_steps(system: PartitionSystem, store: StoreModel) -> Iterator[Label]:
    replica = store.running
    name = store.name
    if store.known < system.head.placement.version and system.tick >= store.outage_until:
        yield ("learn", name)
    if store.awaits_sync:
        yield ("sync", name)
    for key, peer in store.pending_acknowledgements:
        yield ("acknowledge", name, key, peer)
    for peer in store.comparisons:
        yield ("take in", name, peer)
    if not (replica.epoch and replica.is_epoch_durable):
        return
    if replica.primary is None and may_serve(system, store):
        yield ("serve", name)
    for peer, progress in sorted(replica.peer_progress.items()):
        if not progress.is_caught_up and peer not in store.comparisons and system.reachable(peer) is not None:
            yield ("ask", name, peer)
        for proposal in replica.outstanding if progress.is_streaming else ():
            if (
                peer not in proposal.acknowledged_by
                and (proposal.key, peer) not in store.pending_acknowledgements
            ):
                yield ("send", name, peer, proposal.key)
    if replica.primary is not None:
        yield from _learner_steps(system, store)


def _learner_steps(system: PartitionSystem, store: StoreModel) -> Iterator[Label]:
    replica = store.running
    assert replica.placement is not None
    for learner in replica.placement.learners:
        progress = replica.peer_progress.get(learner)
        complete = progress is not None and progress.is_caught_up
        untold = (replica.epoch, learner, True) not in store.reported and learner not in store.comparisons
        if complete and untold and system.by_id(learner) is not None:
            yield ("report", store.name, learner)
        lost = learner in replica.required_learners and not complete
        if lost and (replica.epoch, learner, False) not in store.reported and system.by_id(learner) is None:
            yield ("tell lost", store.name, learner)


def quiet_events(system: PartitionSystem) -> list[Label]:
    """What is done to the system only while nothing is under way."""
    plan = system.plan
    found: list[Label] = [("detect", name) for name in sorted(system.ended)]
    if not _in_time(system):
        return found
    if not plan.eager_puts:
        found += _puts(system)
    if system.deaf < plan.deaf:
        found += [("deafen", store.name) for store in system.members_of()]
    if plan.outage:
        found += _outages(system)
    if plan.retire and not system.retired:
        found += [("retire", "s0"), ("retire", "s1")]
    return found


def _in_time(system: PartitionSystem) -> bool:
    """Whether a further event may come: what comes later finds the same as what comes now."""
    return system.tick <= max(system.last_event, system.next_loss) + EVENT_TICKS


def _puts(system: PartitionSystem) -> list[Label]:
    serving = [store for store in system.members_of() if store.running.primary is not None]
    return [("put", store.name) for store in serving if system.puts < system.plan.puts]


def events(system: PartitionSystem) -> list[Label]:
    """What may be done to the system between any two steps."""
    plan = system.plan
    found: list[Label] = []
    if not _in_time(system):
        return found
    if plan.eager_puts:
        found += _puts(system)
    if plan.outage:
        return found
    if system.disk_losses < plan.disk_losses and system.tick >= system.next_loss and not system.starts:
        if plan.planned and system.disk_losses == 0:
            found += [("stop", store.name) for store in system.members_of()]
        else:
            found += [("lose", store.name) for store in system.members_of()]
    if system.power_losses < plan.power_losses and not system.starts:
        found += [("power", store.name, keep) for store in system.members_of() for keep in (False, True)]
    return found


def _outages(system: PartitionSystem) -> list[Label]:
    """The losses of power of all stores: whose disk is lost, and who returns last."""
    if system.disk_losses == system.plan.disk_losses or system.starts:
        return []
    names = [store.name for store in system.members_of()]
    return [("outage", wiped, late, keep) for wiped in names for late in names for keep in (False, True)]


def may_serve(system: PartitionSystem, store: StoreModel) -> bool:
    """Whether a primary may begin to serve: what the real rule says, given which replicas live."""
    replica = store.running
    former = replica.former_replicas
    replica.former_replicas = [replica for replica in former if system.head.living(replica)]
    may_serve = replica.may_serve(system.now)
    replica.former_replicas = former  # other states share this store
    return may_serve
