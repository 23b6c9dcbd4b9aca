"""Model check of one partition: replicas, epochs, learners, losses of disks and of power, an emptied machine.

What runs is the real planner (`coordination/placement`), the real rules of a replica and of a primary's
quorum (`messages/hosting`) and the real merging of records (`messages/table`).  What stands around them in
the service (streams, comparisons, reports, the judgement of deaths) is played in single steps: a store learns
of a placement, a disk syncs, a record reaches a replica, an acknowledgement comes back, a
comparison is answered, and taken in, a report reaches the head, the head plans.

The orders are bounded by the number of delays (delay-bounded scheduling: Emmi, Qadeer, Rakamaric, POPL 2011):
a fixed order of the steps that are possible, in which any step may be put off, up to a bound, behind all that
follows without it.  Several such orders are to be tried.  Losses come between any two steps, at any time; a
message or an order begins while nothing else is under way.

Time goes on in ticks of half a second, and only once all that is under way has been done; a death becomes
known within two ticks.  The next disk is lost no sooner than the deployment allows: `catchUpS` after the
start of what takes the first one's place.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from zlib import crc32

import attrs

from hollowusher.coordination.placement.learner_reports import LearnerReport
from hollowusher.messages import records
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.records import MessageKey
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.simulation.model_check.head_model import LONG_AGO, TICK_S, HeadModel
from hollowusher.simulation.model_check.store_model import (
    PARTITION,
    TOLERANCE,
    PendingComparison,
    PrimaryStandIn,
    StoreModel,
)

DETECTION_TICKS = 2  # a death is known after so many at the latest
START_TICKS = 2  # from the start of a process to its registration
SUCCESSOR_TICKS = 2  # from a loss to the start of what takes its place
CATCH_UP_TICKS = 8  # 4 s: from that start to the next loss
RESTART_TICKS = 1  # after a loss of power
OUTAGE_TICKS = 4
EVENT_TICKS = 2  # the next event comes so soon after the last one, or after it is allowed
REPORT_REPEAT_TICKS = 4  # reports are repeated
CALM_TICKS = 18  # after the last event
Label = tuple[Any, ...]


@attrs.frozen
class PartitionScenario:
    """What may happen in a run."""

    name: str
    stores: int = 3
    puts: int = 1
    disk_losses: int = 2
    power_losses: int = 0
    deaf: int = 0  # how often a store may miss placements for a while
    retire: bool = False
    planned: bool = False  # the first loss is announced: the successor is there, the store is asked to stop
    new_name: bool = True  # the successor has another name
    eager_puts: bool = False  # a message may begin between any two steps


SCENARIOS = (
    PartitionScenario("replace"),
    PartitionScenario("wipe", new_name=False),
    PartitionScenario("planned", planned=True),
    PartitionScenario("power", disk_losses=0, power_losses=2),
    PartitionScenario("deaf", disk_losses=1, power_losses=1, deaf=1),
    PartitionScenario("restart", puts=2, disk_losses=0, power_losses=1, eager_puts=True),
    PartitionScenario("retire", stores=4, disk_losses=1, retire=True, new_name=False),
)


@attrs.define(eq=False)
class PartitionSystem:
    """One state."""

    plan: PartitionScenario
    head: HeadModel
    stores: dict[str, StoreModel]
    tick: int = 0
    puts: int = 0
    disk_losses: int = 0
    power_losses: int = 0
    deaf: int = 0
    retired: bool = False
    starts: list[tuple[int, str]] = attrs.Factory(list)  # tick, name of a store whose process then registers
    ended: dict[str, int] = attrs.Factory(dict)  # store -> tick of an end that the head does not know of yet
    reports: list[tuple[int, str, bool]] = attrs.Factory(list)  # on their way to the head
    next_loss: int = 0  # no disk is lost before this tick
    last_event: int = 0
    acknowledged_puts: dict[MessageKey, str] = attrs.Factory(dict)  # acknowledged messages
    committers: dict[int, tuple[str, int]] = attrs.Factory(dict)  # epoch -> store and life
    broken: str = ""

    def key(self) -> tuple[object, ...]:
        """All that distinguishes this state."""
        return (
            self.head.key(),
            tuple(store.key() for _, store in sorted(self.stores.items())),
            self.tick,
            self.puts,
            self.disk_losses,
            self.power_losses,
            self.deaf,
            self.retired,
            tuple(sorted(self.starts)),
            tuple(sorted(self.ended.items())),
            tuple(sorted(self.reports)),
            self.next_loss,
            self.last_event,
            tuple(sorted(self.acknowledged_puts.items())),
            tuple(sorted(self.committers.items())),
            self.broken,
        )

    @property
    def now(self) -> float:
        """The time of the steady clocks."""
        return self.tick * TICK_S

    @property
    def entry(self) -> PartitionPlacement:
        """The placement in force."""
        return self.head.placement.partitions[0]

    def by_id(self, store_id: str) -> StoreModel | None:
        """The store with this disk if its process is there."""
        store = self.stores.get(store_id.partition("/")[0])
        return store if store is not None and store.alive and store.store_id == store_id else None

    def reachable(self, store_id: str) -> StoreModel | None:
        """The same if its address is known."""
        member = self.head.members.get(store_id.partition("/")[0])
        known = member is not None and member.store_id == store_id
        return self.by_id(store_id) if known else None

    def members_of(self) -> Iterator[StoreModel]:
        """The stores whose process is there."""
        return (store for _, store in sorted(self.stores.items()) if store.alive)


def initial_system(plan: PartitionScenario) -> PartitionSystem:
    """All stores are there, the first one is the primary and serves."""
    names = [f"s{number}" for number in range(plan.stores)]
    stores = {name: StoreModel(name, "d") for name in names}
    ids = [store.store_id for store in stores.values()]
    entry = PartitionPlacement(PARTITION, 1, ids[0], ids[:3], [], 1)
    head = HeadModel(Placement(1, [entry]))
    world = PartitionSystem(plan, head, stores)
    for store in stores.values():
        store.start()
        store.known = 1
        store.log.flush()
        _register(world, store, LONG_AGO)
        replica = store.running
        if replica.apply_placement(entry, TOLERANCE, 1, 0.0):
            replica.table.fence_older_epochs(1)
            replica.is_epoch_durable = True
            for progress in replica.peer_progress.values():
                progress.is_streaming = progress.is_caught_up = True
            replica.primary = PrimaryStandIn(1)  # type: ignore[assignment]
        elif store.store_id in entry.replicas:
            replica.table.fence_older_epochs(1)
        store.log.flush()
    return world


def _register(world: PartitionSystem, store: StoreModel, tick: int) -> None:
    member = Member(store.name, "store", f"{store.name}:1", store.name, "r", store.incarnation, store.disk)
    world.head.learn(member, tick)
    world.ended.pop(store.name, None)


# ---- what may happen next


def protocol_steps(world: PartitionSystem) -> list[Label]:
    """All that goes on by itself."""
    found: list[Label] = []
    for store in world.members_of():
        found += _store_steps(world, store)
    found += [("hear", report) for report in world.reports]
    found += [("register", name) for tick, name in world.starts if tick <= world.tick]
    if world.head.plan(world.tick) is not None:
        found.append(("plan",))
    return found


def _store_steps(world: PartitionSystem, store: StoreModel) -> Iterator[Label]:
    replica = store.running
    name = store.name
    if store.known < world.head.placement.version and world.tick >= store.outage_until:
        yield ("learn", name)
    if store.awaits_sync:
        yield ("sync", name)
    for key, peer in store.pending_acknowledgements:
        yield ("acknowledge", name, key, peer)
    for peer in store.comparisons:
        yield ("take in", name, peer)
    if not (replica.epoch and replica.is_epoch_durable):
        return
    if replica.primary is None and _may_serve(world, store):
        yield ("serve", name)
    for peer, progress in sorted(replica.peer_progress.items()):
        if not progress.is_caught_up and peer not in store.comparisons and world.reachable(peer) is not None:
            yield ("ask", name, peer)
        for proposal in replica.outstanding if progress.is_streaming else ():
            if (
                peer not in proposal.acknowledged_by
                and (proposal.key, peer) not in store.pending_acknowledgements
            ):
                yield ("send", name, peer, proposal.key)
    if replica.primary is not None:
        yield from _learner_steps(world, store)


def _learner_steps(world: PartitionSystem, store: StoreModel) -> Iterator[Label]:
    replica = store.running
    assert replica.placement is not None
    for learner in replica.placement.learners:
        progress = replica.peer_progress.get(learner)
        complete = progress is not None and progress.is_caught_up
        untold = (replica.epoch, learner, True) not in store.reported and learner not in store.comparisons
        if complete and untold and world.by_id(learner) is not None:
            yield ("report", store.name, learner)
        lost = learner in replica.required_learners and not complete
        if lost and (replica.epoch, learner, False) not in store.reported and world.by_id(learner) is None:
            yield ("tell lost", store.name, learner)


def quiet_events(world: PartitionSystem) -> list[Label]:
    """What is done to the system only while nothing is under way."""
    plan = world.plan
    found: list[Label] = [("detect", name) for name in sorted(world.ended)]
    if not _in_time(world):
        return found
    if not plan.eager_puts:
        found += _puts(world)
    if world.deaf < plan.deaf:
        found += [("deafen", store.name) for store in world.members_of()]
    if plan.retire and not world.retired:
        found += [("retire", "s0"), ("retire", "s1")]
    return found


def _in_time(world: PartitionSystem) -> bool:
    """Whether a further event may come: what comes later finds the same as what comes now."""
    return world.tick <= max(world.last_event, world.next_loss) + EVENT_TICKS


def _puts(world: PartitionSystem) -> list[Label]:
    serving = [store for store in world.members_of() if store.running.primary is not None]
    return [("put", store.name) for store in serving if world.puts < world.plan.puts]


def events(world: PartitionSystem) -> list[Label]:
    """What may be done to the system between any two steps."""
    plan = world.plan
    found: list[Label] = []
    if not _in_time(world):
        return found
    if plan.eager_puts:
        found += _puts(world)
    if world.disk_losses < plan.disk_losses and world.tick >= world.next_loss and not world.starts:
        if plan.planned and world.disk_losses == 0:
            found += [("stop", store.name) for store in world.members_of()]
        else:
            found += [("lose", store.name) for store in world.members_of()]
    if world.power_losses < plan.power_losses and not world.starts:
        found += [("power", store.name, keep) for store in world.members_of() for keep in (False, True)]
    return found


# ---- one step


def step(world: PartitionSystem, label: Label) -> PartitionSystem:
    """The state after a step."""
    after = _copy(world, label)
    _STEPS[label[0]](after, *label[1:])
    _check(after)
    return after


def _copy(world: PartitionSystem, label: Label) -> PartitionSystem:
    """The cluster as it is, with own copies of the stores that a step names; the others are shared."""
    touched = {part.partition("/")[0] for part in label[1:] if isinstance(part, str)}
    stores = {
        name: store.copy() if name in touched or label[0] == "tick" else store
        for name, store in world.stores.items()
    }
    return attrs.evolve(
        world,
        head=world.head.copy(),
        stores=stores,
        starts=list(world.starts),
        ended=dict(world.ended),
        reports=list(world.reports),
        acknowledged_puts=dict(world.acknowledged_puts),
        committers=dict(world.committers),
    )


def _learn(world: PartitionSystem, name: str) -> None:
    store = world.stores[name]
    store.known = world.head.placement.version
    replica = store.running
    if not replica.is_current(world.entry):
        return
    if replica.apply_placement(world.entry, TOLERANCE, store.incarnation, world.now):
        store.comparisons.clear()
        replica.table.fence_older_epochs(replica.epoch)
    elif replica.primary is not None:
        for proposal in replica.take_committed():
            _committed(world, store, proposal)


def _sync(world: PartitionSystem, name: str) -> None:
    store = world.stores[name]
    replica = store.running
    store.log.flush()
    if replica.epoch and not replica.is_epoch_durable:
        replica.is_epoch_durable = True
    for proposal in list(replica.outstanding):
        if replica.acknowledge(proposal, store.store_id):
            _committed(world, store, proposal)


def _committed(world: PartitionSystem, store: StoreModel, proposal: Proposal) -> None:
    replica = store.running
    world.acknowledged_puts[proposal.key] = records.unpack_put(proposal.record).message.id
    committer = (store.store_id, store.incarnation)
    if world.committers.setdefault(replica.epoch, committer) != committer:
        world.broken = f"two lives commit in epoch {replica.epoch}"


def _send(world: PartitionSystem, name: str, peer: str, key: MessageKey) -> None:
    store = world.stores[name]
    replica = store.running
    receiver = world.by_id(peer)
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


def _acknowledge(world: PartitionSystem, name: str, key: MessageKey, peer: str) -> None:
    store = world.stores[name]
    store.pending_acknowledgements.remove((key, peer))
    for proposal in [each for each in store.running.outstanding if each.key == key]:
        if store.running.acknowledge(proposal, peer):
            _committed(world, store, proposal)


def _ask(world: PartitionSystem, name: str, peer: str) -> None:
    progress = world.stores[name].running.peer_progress[peer]
    progress.is_streaming = True
    progress.needs_comparison = False
    _compare(world, name, peer, for_report=False)


def _compare(world: PartitionSystem, name: str, peer: str, for_report: bool) -> None:
    """A peer answers a comparison, having promised the epoch."""
    store, other = world.stores[name], world.by_id(peer)
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


def _take_in(world: PartitionSystem, name: str, peer: str) -> None:
    """Merge what a peer knew better, send it what it lacks."""
    store = world.stores[name]
    replica = store.running
    comparison = store.comparisons.pop(peer)
    learnt = [key for record in comparison.newer if (key := replica.table.apply(record, 0)) is not None]
    if learnt:
        store.log.flush()
        _adopt(world, store, peer, learnt)
    progress = replica.peer_progress.get(peer)
    if replica.epoch != comparison.epoch or progress is None:
        return
    other = world.by_id(peer)
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
            world.reports.append((replica.epoch, peer, True))
    elif progress.is_streaming:
        progress.is_caught_up = not progress.needs_comparison


def _adopt(world: PartitionSystem, store: StoreModel, source: str, learnt: list[MessageKey]) -> None:
    replica = store.running
    for peer, progress in replica.peer_progress.items():
        if peer != source:
            progress.is_caught_up = False
            progress.needs_comparison = True
    if replica.primary is not None:
        _vouch(world, store, learnt)


def _vouch(world: PartitionSystem, store: StoreModel, keys: list[MessageKey]) -> None:
    """A client that asks or repeats his message is told that it is kept."""
    table = store.running.table
    for key in keys:
        put = table.read_accepted(table.entries[key])
        assert put is not None
        world.acknowledged_puts[key] = put.message.id


def _may_serve(world: PartitionSystem, store: StoreModel) -> bool:
    replica = store.running
    former = replica.former_replicas
    replica.former_replicas = [replica for replica in former if world.head.living(replica)]
    may_serve = replica.may_serve(world.now)
    replica.former_replicas = former  # other states share this store
    return may_serve


def _serve(world: PartitionSystem, name: str) -> None:
    """Begin to serve: all that the primary knows counts as kept."""
    store = world.stores[name]
    replica = store.running
    replica.primary = PrimaryStandIn(replica.epoch)  # type: ignore[assignment]
    for key, message_id in world.acknowledged_puts.items():
        entry = replica.table.entries.get(key)
        put = None if entry is None else replica.table.read_accepted(entry)
        if put is None or put.message.id != message_id:
            world.broken = f"{store.store_id} serves epoch {replica.epoch} without kept message {message_id}"
            return
    _vouch(world, store, list(replica.table.entries))


def _report(world: PartitionSystem, name: str, learner: str) -> None:
    """From now on commits need the learner; what was committed before is compared once more."""
    store = world.stores[name]
    if learner in store.running.required_learners:
        store.reported.add((store.running.epoch, learner, True))
        world.reports.append((store.running.epoch, learner, True))
        return
    store.running.required_learners.add(learner)
    _compare(world, name, learner, for_report=True)


def _tell_lost(world: PartitionSystem, name: str, learner: str) -> None:
    store = world.stores[name]
    store.reported.add((store.running.epoch, learner, False))
    world.reports.append((store.running.epoch, learner, False))


def _hear(world: PartitionSystem, report: tuple[int, str, bool]) -> None:
    world.reports.remove(report)
    epoch, learner, ready = report
    key = LearnerReport(PARTITION, epoch, learner)
    head = world.head
    taken, other = (head.caught_up, head.lost_learners) if ready else (head.lost_learners, head.caught_up)
    other.pop(key, None)
    taken[key] = world.tick


def _plan(world: PartitionSystem) -> None:
    before = world.entry
    placement = world.head.plan(world.tick)
    assert placement is not None
    world.head.placement = placement
    for learner in set(world.entry.replicas) - set(before.replicas):
        store = world.stores.get(learner.partition("/")[0])
        if store is None or store.store_id != learner:
            continue  # its disk has just been lost
        lacking = set(world.acknowledged_puts) - store.log.durable_keys()
        if lacking:
            world.broken = (
                f"learner {learner} was promoted without {[world.acknowledged_puts[key] for key in lacking]}"
            )


def _detect(world: PartitionSystem, name: str) -> None:
    del world.ended[name]
    member = world.head.members[name]
    if member.alive:
        world.head.learn(evolve(member, status=member.status + 1), world.tick)


def _registered(world: PartitionSystem, name: str) -> None:
    (due,) = [each for each in world.starts if each[1] == name]
    world.starts.remove(due)
    store = world.stores[name]
    store.start()
    _register(world, store, world.tick)


def _put(world: PartitionSystem, name: str) -> None:
    world.puts += 1
    world.last_event = world.tick
    key = world.stores[name].put(f"m{world.puts}")
    if any(key in store.durable_keys() for store in world.stores.values()):
        world.broken = f"message m{world.puts} gets the key of another one"


def _lose(world: PartitionSystem, name: str) -> None:
    """The machine is gone with its disk; an empty one takes its place."""
    new_name = f"{name}n" if world.plan.new_name else name
    _remove(world, name)
    world.stores[new_name] = StoreModel(new_name, f"d{world.disk_losses}")
    registers_at = world.tick + SUCCESSOR_TICKS + START_TICKS
    world.starts.append((registers_at, new_name))
    world.next_loss = world.tick + SUCCESSOR_TICKS + CATCH_UP_TICKS


def _remove(world: PartitionSystem, name: str) -> None:
    world.disk_losses += 1
    world.last_event = world.tick
    del world.stores[name]
    if world.head.members[name].alive:
        world.ended[name] = world.tick


def _stop(world: PartitionSystem, name: str) -> None:
    """A planned replacement: the successor is there, the store leaves in order and is gone for good once it
    has waited for the copies of its replica, or for its time."""
    successor = StoreModel(f"{name}n", "d1")
    world.stores[successor.name] = successor
    successor.start()
    _register(world, successor, world.tick)
    store = world.stores[name]
    store.departing = True
    member = world.head.members[name]
    world.head.learn(evolve(member, status=member.status + 1, leaving=True), world.tick)
    world.last_event = world.tick
    world.disk_losses += 1
    world.next_loss = world.tick + CATCH_UP_TICKS


def _power(world: PartitionSystem, name: str, keep: bool) -> None:
    world.power_losses += 1
    world.last_event = world.tick
    world.stores[name].end(keep)
    world.ended[name] = world.tick
    world.starts.append((world.tick + RESTART_TICKS, name))


def _deafen(world: PartitionSystem, name: str) -> None:
    world.deaf += 1
    world.last_event = world.tick
    world.stores[name].outage_until = world.tick + OUTAGE_TICKS


def _retire(world: PartitionSystem, name: str) -> None:
    world.retired = True
    world.last_event = world.tick
    world.head.retiring.add(name)


def _tick(world: PartitionSystem) -> None:
    world.tick += 1
    world.head.forget_old_reports(world.tick)
    if world.tick % REPORT_REPEAT_TICKS == 0:
        for store in world.members_of():
            store.reported.clear()
    for store in list(world.members_of()):
        if store.departing and not (store.running.is_needed_here or _copied(world, store)):
            del world.stores[store.name]


def _copied(world: PartitionSystem, store: StoreModel) -> bool:
    """Whether a leaving store still has to wait: its replica has not been replaced, and there is time."""
    return store.store_id in world.entry.replicas and world.tick < world.last_event + CATCH_UP_TICKS - 1


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
    "deafen": _deafen,
    "retire": _retire,
    "tick": _tick,
}


# ---- what has to hold


def _check(world: PartitionSystem) -> None:
    if world.broken:
        return
    durable = [store.durable_keys() for store in world.stores.values()]
    for key, message_id in world.acknowledged_puts.items():
        if not any(key in keys for keys in durable):
            world.broken = f"kept message {message_id} is on no disk any more"


def is_over(world: PartitionSystem) -> bool:
    """Whether all has been calm for so long that everything has to be whole again."""
    return world.tick >= world.last_event + CALM_TICKS


def find_incomplete_recovery(world: PartitionSystem) -> str:
    """What is missing after the calm."""
    entry = world.entry
    primary = world.by_id(entry.primary)
    if primary is None or primary.running.primary is None or primary.running.epoch != entry.epoch:
        return f"after the calm nobody serves epoch {entry.epoch}"
    if len(entry.replicas) < 3 or any(world.by_id(replica) is None for replica in entry.replicas):
        return f"after the calm the replicas are {entry.replicas}: the next loss is not borne"
    if any(replica.partition("/")[0] in world.head.retiring for replica in entry.replicas):
        return "after the calm a machine is not emptied"
    for key, message_id in world.acknowledged_puts.items():
        holders = [store for store in world.members_of() if key in store.durable_keys()]
        if sum(store.store_id in entry.replicas for store in holders) <= TOLERANCE:
            return f"after the calm kept message {message_id} is on too few replicas"
    return ""


class PartitionState:
    """A state as the explorer needs it: the cluster, the steps that are put off, and how many more may be."""

    __slots__ = ("_hash", "_key", "deferred", "delays", "world")

    def __init__(self, world: PartitionSystem, deferred: tuple[Label, ...], delays: int) -> None:
        self.world = world
        self.deferred = deferred
        self.delays = delays
        self._key = (world.key(), deferred, delays)
        self._hash = hash(self._key)

    def __hash__(self) -> int:
        return self._hash

    def __eq__(self, other: object) -> bool:
        return isinstance(other, PartitionState) and self._hash == other._hash and self._key == other._key


class PartitionModel:
    """The model of one plan, for the explorer."""

    def __init__(self, plan: PartitionScenario, delays: int = 0, order: int = 0) -> None:
        self._plan = plan
        self._delays = delays
        self._order = order

    def initial(self) -> PartitionState:
        """All is well."""
        return PartitionState(initial_system(self._plan), (), self._delays)

    def steps(self, state: PartitionState) -> Iterator[tuple[Label, PartitionState]]:
        """All that can happen next."""
        world = state.world
        if world.broken or is_over(world):
            return
        for label in events(world):
            yield label, PartitionState(step(world, label), state.deferred, state.delays)
        possible = sorted(protocol_steps(world), key=self._rank)
        ready = [label for label in possible if label not in state.deferred]
        overdue = [name for name, at in world.ended.items() if world.tick - at >= DETECTION_TICKS]
        if ready:
            yield ready[0], PartitionState(step(world, ready[0]), state.deferred, state.delays)
            if state.delays and len(ready) > 1:
                deferred = (*state.deferred, ready[0])
                yield ("put off", *ready[0]), PartitionState(world, deferred, state.delays - 1)
        elif possible:
            yield ("go on",), PartitionState(world, (), state.delays)
        else:
            for label in quiet_events(world):
                yield label, PartitionState(step(world, label), (), state.delays)
        if not possible and not overdue:
            yield ("tick",), PartitionState(step(world, ("tick",)), (), state.delays)

    def _rank(self, label: Label) -> int:
        """The place of a step in the fixed order: as listed, the head's steps first, or drawn by chance."""
        if self._order == 0:
            return 0
        if self._order == 1:
            return 0 if label[0] in ("hear", "plan") else 1
        return crc32(f"{self._order} {label}".encode())

    def describe_step(self, label: Label) -> str:
        """The line of a trace for a step."""
        return " ".join(map(str, label))

    def violation(self, state: PartitionState) -> str:
        """The property that does not hold."""
        world = state.world
        if world.broken:
            return world.broken
        return find_incomplete_recovery(world) if is_over(world) and not protocol_steps(world) else ""
