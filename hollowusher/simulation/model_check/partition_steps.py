"""One step of the modelled system: what each label does."""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.messages import records
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.records import MessageKey
from hollowusher.protocol.codec import evolve
from hollowusher.simulation.model_check.partition_events import Label
from hollowusher.simulation.model_check.partition_system import PartitionSystem, register_store
from hollowusher.simulation.model_check.store_model import (
    PARTITION,
    TOLERANCE,
    PendingComparison,
    PrimaryStandIn,
    StoreModel,
)

START_TICKS = 2  # from the start of a process to its registration
SUCCESSOR_TICKS = 2  # from a loss to the start of what takes its place
CATCH_UP_TICKS = 8  # 4 s: from that start to the next loss
RESTART_TICKS = 1  # after a loss of power
LATE_RESTART_TICKS = 6  # 3 s: longer than the start of an empty machine
OUTAGE_TICKS = 4
REPORT_REPEAT_TICKS = 4  # reports are repeated


def step(system: PartitionSystem, label: Label) -> PartitionSystem:
    """Return the state after a step."""
    after = _copy(system, label)
    _STEPS[label[0]](after, *label[1:])
    _check(after)
    return after


def _copy(system: PartitionSystem, label: Label) -> PartitionSystem:
    """Copy the system, with own copies of the stores that a step names; the others are shared."""
    touched = {part.partition("/")[0] for part in label[1:] if isinstance(part, str)}
    stores = {
        name: store.copy() if name in touched or label[0] in ("tick", "outage") else store
        for name, store in system.stores.items()
    }
    return attrs.evolve(
        system,
        head=system.head.copy(),
        stores=stores,
        starts=list(system.starts),
        ended=dict(system.ended),
        reports=list(system.reports),
        acknowledged_puts=dict(system.acknowledged_puts),
        committers=dict(system.committers),
    )


def _learn(system: PartitionSystem, name: str) -> None:
    store = system.stores[name]
    store.known = system.head.placement.version
    replica = store.running
    if not replica.is_current(system.entry):
        return
    if replica.apply_placement(system.entry, TOLERANCE, store.incarnation, system.now):
        store.comparisons.clear()
        replica.table.fence_older_epochs(replica.epoch)
    elif replica.primary is not None:
        for proposal in replica.take_committed():
            _committed(system, store, proposal)


def _sync(system: PartitionSystem, name: str) -> None:
    store = system.stores[name]
    replica = store.running
    store.log.flush()
    if replica.epoch and not replica.is_epoch_durable:
        replica.is_epoch_durable = True
    for proposal in list(replica.outstanding):
        if replica.acknowledge(proposal, store.store_id):
            _committed(system, store, proposal)


def _committed(system: PartitionSystem, store: StoreModel, proposal: Proposal) -> None:
    replica = store.running
    system.acknowledged_puts[proposal.key] = records.unpack_put(proposal.record).message.id
    committer = (store.store_id, store.incarnation)
    if system.committers.setdefault(replica.epoch, committer) != committer:
        system.broken = f"two lives commit in epoch {replica.epoch}"


def _send(system: PartitionSystem, name: str, peer: str, key: MessageKey) -> None:
    store = system.stores[name]
    replica = store.running
    receiver = system.by_id(peer)
    if receiver is None:
        replica.peer_progress[peer].is_streaming = replica.peer_progress[peer].is_caught_up = False
        return
    proposal = next(each for each in replica.outstanding if each.key == key)
    refused = receiver.receive(replica.epoch, [proposal.record])
    if refused:
        _refused(store, peer, refused)
    else:
        store.pending_acknowledgements.append((key, peer))


def _refused(store: StoreModel, peer: str, epoch: int) -> None:
    replica = store.running
    if replica.epoch and replica.epoch < epoch:
        replica.resign()
        store.comparisons.clear()
    elif peer in replica.peer_progress:
        replica.peer_progress[peer].is_streaming = replica.peer_progress[peer].is_caught_up = False


def _acknowledge(system: PartitionSystem, name: str, key: MessageKey, peer: str) -> None:
    store = system.stores[name]
    store.pending_acknowledgements.remove((key, peer))
    for proposal in [each for each in store.running.outstanding if each.key == key]:
        if store.running.acknowledge(proposal, peer):
            _committed(system, store, proposal)


def _ask(system: PartitionSystem, name: str, peer: str) -> None:
    progress = system.stores[name].running.peer_progress[peer]
    progress.is_streaming = True
    progress.needs_comparison = False
    _compare(system, name, peer, for_report=False)


def _compare(system: PartitionSystem, name: str, peer: str, for_report: bool) -> None:
    """A peer answers a comparison, having promised the epoch."""
    store, other = system.stores[name], system.by_id(peer)
    replica = store.running
    if other is None:
        replica.peer_progress[peer].is_streaming = replica.peer_progress[peer].is_caught_up = False
        return
    if replica.epoch > other.running.table.minimum_epoch:
        other.promise(replica.epoch)
    if replica.epoch < other.running.table.minimum_epoch:
        _refused(store, peer, other.running.table.minimum_epoch)
        return
    buckets = other.running.table.differing_buckets(replica.table.bucket_digests())
    versions = replica.table.bucket_versions(buckets)
    newer, _ = other.running.table.records_newer_than(versions)
    wanted, incomplete = other.running.table.references_older_than(versions)
    store.comparisons[peer] = PendingComparison(replica.epoch, newer, wanted, incomplete, for_report)


def _take_in(system: PartitionSystem, name: str, peer: str) -> None:
    """Merge what a peer knew better, send it what it lacks."""
    store = system.stores[name]
    replica = store.running
    comparison = store.comparisons.pop(peer)
    learnt = [key for record in comparison.newer if (key := replica.table.apply(record, 0)) is not None]
    if learnt:
        store.log.flush()
        _adopt(system, store, peer, learnt)
    progress = replica.peer_progress.get(peer)
    if replica.epoch != comparison.epoch or progress is None:
        return
    other = system.by_id(peer)
    if other is None:
        progress.is_streaming = progress.is_caught_up = False
        return
    pushed = list(replica.table.requested_records(comparison.wanted, comparison.incomplete))
    refused = other.receive(replica.epoch, pushed) if pushed else 0
    if refused:
        _refused(store, peer, refused)
    elif comparison.for_report:
        if peer in replica.required_learners:
            store.reported.add((replica.epoch, peer, True))
            system.reports.append((replica.epoch, peer, True))
    elif progress.is_streaming:
        progress.is_caught_up = not progress.needs_comparison


def _adopt(system: PartitionSystem, store: StoreModel, source: str, learnt: list[MessageKey]) -> None:
    replica = store.running
    for peer, progress in replica.peer_progress.items():
        if peer != source:
            progress.is_caught_up = False
            progress.needs_comparison = True
    if replica.primary is not None:
        _vouch(system, store, learnt)


def _vouch(system: PartitionSystem, store: StoreModel, keys: list[MessageKey]) -> None:
    """A client that asks or repeats his message is told that it is kept."""
    table = store.running.table
    for key in keys:
        put = table.read_accepted(table.entries[key])
        assert put is not None
        system.acknowledged_puts[key] = put.message.id


def _serve(system: PartitionSystem, name: str) -> None:
    """Begin to serve: all that the primary knows counts as kept."""
    store = system.stores[name]
    replica = store.running
    replica.primary = PrimaryStandIn(replica.epoch)  # type: ignore[assignment]
    for key, message_id in system.acknowledged_puts.items():
        entry = replica.table.entries.get(key)
        put = None if entry is None else replica.table.read_accepted(entry)
        if put is None or put.message.id != message_id:
            system.broken = f"{store.store_id} serves epoch {replica.epoch} without kept message {message_id}"
            return
    _vouch(system, store, list(replica.table.entries))


def _report(system: PartitionSystem, name: str, learner: str) -> None:
    """From now on commits need the learner; what was committed before is compared once more."""
    store = system.stores[name]
    if learner in store.running.required_learners:
        store.reported.add((store.running.epoch, learner, True))
        system.reports.append((store.running.epoch, learner, True))
        return
    store.running.required_learners.add(learner)
    _compare(system, name, learner, for_report=True)


def _tell_lost(system: PartitionSystem, name: str, learner: str) -> None:
    store = system.stores[name]
    store.reported.add((store.running.epoch, learner, False))
    system.reports.append((store.running.epoch, learner, False))


def _hear(system: PartitionSystem, report: tuple[int, str, bool]) -> None:
    system.reports.remove(report)
    epoch, learner, ready = report
    key = LearnerReport(PARTITION, epoch, learner)
    head = system.head
    taken, other = (head.caught_up, head.lost_learners) if ready else (head.lost_learners, head.caught_up)
    other.pop(key, None)
    taken[key] = system.tick


def _plan(system: PartitionSystem) -> None:
    before = system.entry
    placement = system.head.plan(system.tick)
    assert placement is not None
    system.head.placement = placement
    for learner in set(system.entry.replicas) - set(before.replicas):
        store = system.stores.get(learner.partition("/")[0])
        if store is None or store.store_id != learner:
            continue  # its disk has just been lost
        lacking = set(system.acknowledged_puts) - store.log.durable_keys()
        if lacking:
            system.broken = (
                f"learner {learner} was promoted without {[system.acknowledged_puts[key] for key in lacking]}"
            )


def _detect(system: PartitionSystem, name: str) -> None:
    del system.ended[name]
    member = system.head.members[name]
    if member.alive:
        system.head.learn(evolve(member, status=member.status + 1), system.tick)


def _registered(system: PartitionSystem, name: str) -> None:
    (due,) = [each for each in system.starts if each[1] == name]
    system.starts.remove(due)
    store = system.stores[name]
    store.start()
    register_store(system, store, system.tick)


def _put(system: PartitionSystem, name: str) -> None:
    system.puts += 1
    system.last_event = system.tick
    key = system.stores[name].put(f"m{system.puts}")
    if any(key in store.durable_keys() for store in system.stores.values()):
        system.broken = f"message m{system.puts} gets the key of another one"


def _lose(system: PartitionSystem, name: str) -> None:
    """The machine is gone with its disk; an empty one takes its place."""
    new_name = f"{name}n" if system.plan.new_name else name
    _remove(system, name)
    system.stores[new_name] = StoreModel(new_name, f"d{system.disk_losses}")
    registers_at = system.tick + SUCCESSOR_TICKS + START_TICKS
    system.starts.append((registers_at, new_name))
    system.next_loss = system.tick + SUCCESSOR_TICKS + CATCH_UP_TICKS


def _remove(system: PartitionSystem, name: str) -> None:
    system.disk_losses += 1
    system.last_event = system.tick
    del system.stores[name]
    if system.head.members[name].alive:
        system.ended[name] = system.tick


def _stop(system: PartitionSystem, name: str) -> None:
    """A planned replacement: the successor is there, the store leaves in order and is gone for good once it
    has waited for the copies of its replica, or for its time."""
    successor = StoreModel(f"{name}n", "d1")
    system.stores[successor.name] = successor
    successor.start()
    register_store(system, successor, system.tick)
    store = system.stores[name]
    store.departing = True
    member = system.head.members[name]
    system.head.learn(evolve(member, status=member.status + 1, leaving=True), system.tick)
    system.last_event = system.tick
    system.disk_losses += 1
    system.next_loss = system.tick + CATCH_UP_TICKS


def _power(system: PartitionSystem, name: str, keep: bool) -> None:
    system.power_losses += 1
    system.last_event = system.tick
    system.stores[name].end(keep)
    system.ended[name] = system.tick
    system.starts.append((system.tick + RESTART_TICKS, name))


def _outage(system: PartitionSystem, wiped: str, late: str, keep: bool) -> None:
    """All stores lose power at once, one of them its disk; one returns later than the others."""
    for name in list(system.stores):
        if name == wiped:
            _lose(system, name)
        else:
            _power(system, name, keep)
    system.starts = [
        (system.tick + LATE_RESTART_TICKS, name) if name == late else (tick, name)
        for tick, name in system.starts
    ]


def _deafen(system: PartitionSystem, name: str) -> None:
    system.deaf += 1
    system.last_event = system.tick
    system.stores[name].outage_until = system.tick + OUTAGE_TICKS


def _retire(system: PartitionSystem, name: str) -> None:
    system.retired = True
    system.last_event = system.tick
    system.head.retiring.add(name)


def _tick(system: PartitionSystem) -> None:
    system.tick += 1
    system.head.forget_old_reports(system.tick)
    if system.tick % REPORT_REPEAT_TICKS == 0:
        for store in system.members_of():
            store.reported.clear()
    for store in list(system.members_of()):
        if store.departing and not (store.running.is_needed_here or _copied(system, store)):
            del system.stores[store.name]


def _copied(system: PartitionSystem, store: StoreModel) -> bool:
    """Whether a leaving store still has to wait: its replica has not been replaced, and there is time."""
    return store.store_id in system.entry.replicas and system.tick < system.last_event + CATCH_UP_TICKS - 1


_STEPS: dict[str, Any] = {
    "learn": _learn,
    "sync": _sync,
    "send": _send,
    "acknowledge": _acknowledge,
    "ask": _ask,
    "take in": _take_in,
    "serve": _serve,
    "report": _report,
    "tell lost": _tell_lost,
    "hear": _hear,
    "plan": _plan,
    "detect": _detect,
    "register": _registered,
    "put": _put,
    "lose": _lose,
    "stop": _stop,
    "power": _power,
    "outage": _outage,
    "deafen": _deafen,
    "retire": _retire,
    "tick": _tick,
}


def _check(system: PartitionSystem) -> None:
    if system.broken:
        return
    durable = [store.durable_keys() for store in system.stores.values()]
    for key, message_id in system.acknowledged_puts.items():
        if not any(key in keys for keys in durable):
            system.broken = f"kept message {message_id} is on no disk any more"
