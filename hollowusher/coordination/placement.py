"""Where partitions are kept: the first placement, and how it follows the stores.  No I/O, no clock.

A partition has min(stores, 2f+1) replicas; one of them is its primary.  A record is committed on f+1
replicas, the primary among them, and a new primary reads replicas - f of them, so the two always meet.  A
replica is replaced in two steps: a learner copies everything first; when the primary has reported that it has
caught up, it takes the replica's place, provided that no more than f of the new replicas are missing.

Each change of a partition's primary or replicas gets a greater epoch.  An epoch belongs to one life of one
primary's process (`primary_incarnation`): a primary that has restarted gets a new epoch.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

from hollowusher.coordination.directory import StoreCondition
from hollowusher.coordination.rendezvous import rank, weight
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control import Member, PartitionPlacement, Placement

PARTITIONS = 16
STEADY_S = 6.0  # a store that has been there this long gets primaries back
GONE_S = 8.0  # a store that has been away this long is replaced
UNKNOWN_S = 2.0  # a store that this head has never seen is awaited this long before it counts as away
CAUGHT_UP = tuple[int, int, str]  # partition, epoch, the learner's store id


def store_name(store_id: str) -> str:
    """The machine's name in a store id."""
    return store_id.partition("/")[0]


def homes(service: str, partitions: Iterable[int]) -> list[int]:
    """The partitions in the order of preference for a service's messages; the first is its home."""
    key = f"home/{service}"
    return sorted(partitions, key=lambda number: (weight(key, str(number)), number), reverse=True)


# ---- the first placement


def initial_placement(stores: Sequence[Member], tolerance: int, partitions: int = PARTITIONS) -> Placement:
    """The placement of a new system on these stores."""
    size = min(len(stores), 2 * tolerance + 1)
    load: Counter[str] = Counter()
    replicas = {}
    for number in range(partitions):
        chosen = _choose_replicas(number, stores, size, load)
        load.update(chosen)
        replicas[number] = chosen
    primaries = balanced_primaries(replicas, -(-partitions // len(stores)))
    incarnations = {store.store_id: store.incarnation for store in stores}
    entries = [
        PartitionPlacement(number, 1, primaries[number], chosen, [], incarnations[primaries[number]])
        for number, chosen in replicas.items()
    ]
    return Placement(1, entries)


def _choose_replicas(number: int, stores: Sequence[Member], size: int, load: Mapping[str, int]) -> list[str]:
    """Replicas of one partition: the zones used least go first, then the stores with the least load, then
    the rank."""
    by_id = {store.store_id: store for store in stores}
    order = {store_id: place for place, store_id in enumerate(rank(f"partition/{number}", by_id))}
    chosen: list[str] = []
    while len(chosen) < size:
        zones = Counter(by_id[store_id].zone for store_id in chosen)
        best = min(
            (store_id for store_id in by_id if store_id not in chosen),
            key=lambda store_id: (zones[by_id[store_id].zone], load.get(store_id, 0), order[store_id]),
        )
        chosen.append(best)
    return chosen


def balanced_primaries(replicas: Mapping[int, Sequence[str]], most: int) -> dict[int, str]:
    """A primary for each partition among its replicas, at most `most` to a store where that can be done
    (augmenting paths in the graph of partitions and stores), and no store two ahead of another replica."""
    assigned: dict[int, str] = {}
    held: dict[str, set[int]] = {}

    def assign(number: int, seen: set[str]) -> bool:
        options = [store for store in replicas[number] if store not in seen]
        for store in sorted(options, key=lambda store: len(held.get(store, ()))):
            if store in seen:
                continue
            seen.add(store)
            taken = held.setdefault(store, set())
            if len(taken) < most or any(assign(other, seen) for other in sorted(taken)):
                previous = assigned.get(number)
                if previous is not None:
                    held[previous].discard(number)
                assigned[number] = store
                taken.add(number)
                return True
        return False

    for number in replicas:
        if not assign(number, set()):
            store = min(replicas[number], key=lambda store: len(held.get(store, ())))
            assigned[number] = store
            held.setdefault(store, set()).add(number)
    _even_out(assigned, replicas)
    return assigned


def _even_out(assigned: dict[int, str], replicas: Mapping[int, Sequence[str]]) -> None:
    """Move primaries to replicas that have at least two fewer, until there are none."""
    held = Counter(assigned.values())
    moved = True
    while moved:
        moved = False
        for number, options in replicas.items():
            least = min(options, key=lambda store: held[store])
            if held[assigned[number]] - held[least] >= 2:
                held[assigned[number]] -= 1
                held[least] += 1
                assigned[number] = least
                moved = True


# ---- changes


def replan(
    placement: Placement,
    stores: Mapping[str, StoreCondition],
    tolerance: int,
    retiring: Collection[str] = (),
    caught_up: Collection[CAUGHT_UP] = (),
    may_move: bool = False,
) -> Placement | None:
    """The placement that the stores' conditions call for, None where the present one is right.

    `stores` holds the condition of every store known or named by the placement; `retiring` the machines that
    are being emptied; `caught_up` the reports of primaries about learners.  Where `may_move` is set, one
    primary may be moved only for balance or away from a machine that is being emptied."""
    planner = _Planner(placement, stores, tolerance, retiring)
    for number in list(planner.entries):
        planner.promote_learners(number, caught_up)
        planner.replace_primary(number)
        planner.update_learners(number)
    if may_move:
        planner.move_one_primary()
    entries = list(planner.entries.values())
    if entries == placement.partitions:
        return None
    return Placement(placement.version + 1, entries)


class _Planner:
    """One run over a placement; `entries` holds the new one."""

    def __init__(
        self,
        placement: Placement,
        stores: Mapping[str, StoreCondition],
        tolerance: int,
        retiring: Collection[str],
    ) -> None:
        self.entries = {entry.partition: entry for entry in placement.partitions}
        self._stores = stores
        self._tolerance = tolerance
        self._retiring = retiring
        self._living = {condition.store_id: condition for condition in stores.values() if condition.living}
        self._usable = {store_id for store_id in self._living if store_name(store_id) not in retiring}
        self._primaries = Counter(entry.primary for entry in placement.partitions)
        self._copies = Counter(
            store_id for entry in placement.partitions for store_id in (*entry.replicas, *entry.learners)
        )

    # -- conditions of a store id

    def _disk_lost(self, store_id: str) -> bool:
        """Whether the machine has come with another disk: this one never returns."""
        condition = self._stores.get(store_name(store_id))
        return condition is not None and condition.member is not None and condition.store_id != store_id

    def _gone(self, store_id: str) -> bool:
        """Whether the store has been away for so long that it is replaced."""
        if store_id in self._living:
            return False
        condition = self._stores.get(store_name(store_id))
        return self._disk_lost(store_id) or (condition is not None and condition.for_s >= GONE_S)

    def _away(self, store_id: str) -> bool:
        """Whether the store is known to be away now."""
        if store_id in self._living:
            return False
        condition = self._stores.get(store_name(store_id))
        unknown = condition is not None and condition.member is None
        return not unknown or (condition is not None and condition.for_s >= UNKNOWN_S)

    def _must_be_replaced(self, store_id: str) -> bool:
        return self._gone(store_id) or store_name(store_id) in self._retiring

    def _steady(self, store_id: str) -> bool:
        condition = self._living.get(store_id)
        return condition is not None and condition.for_s >= STEADY_S

    def _incarnation(self, store_id: str) -> int:
        member = self._living[store_id].member
        assert member is not None
        return member.incarnation

    # -- the primary

    def replace_primary(self, number: int) -> None:
        """Another living replica where the primary is away; a new epoch where it has restarted."""
        entry = self.entries[number]
        if entry.primary not in self._living:
            candidates = [replica for replica in entry.replicas if replica in self._living]
            if candidates and self._away(entry.primary):
                self._set_primary(entry, self._best_primary(entry, candidates))
            return
        if entry.primary_incarnation in (0, self._incarnation(entry.primary)):
            return
        steady = [replica for replica in entry.replicas if self._steady(replica)]
        self._set_primary(entry, self._best_primary(entry, steady or [entry.primary]))

    def _best_primary(self, entry: PartitionPlacement, candidates: Sequence[str]) -> str:
        key = f"primary/{entry.partition}"
        return min(
            candidates,
            key=lambda store_id: (
                store_id not in self._usable,
                not self._steady(store_id),
                self._primaries[store_id],
                weight(key, store_id),
            ),
        )

    def _set_primary(self, entry: PartitionPlacement, primary: str) -> None:
        self._primaries[entry.primary] -= 1
        self._primaries[primary] += 1
        self.entries[entry.partition] = evolve(
            entry, epoch=entry.epoch + 1, primary=primary, primary_incarnation=self._incarnation(primary)
        )

    def move_one_primary(self) -> None:
        """Move one primary off a machine that is being emptied, or else towards balance."""
        moves = [
            (gain, -entry.partition, replica)
            for entry in self.entries.values()
            if self._calm(entry)
            for replica in entry.replicas
            if (gain := self._gain(entry, replica)) > 0
        ]
        if moves:
            _, number, replica = max(moves)
            self._set_primary(self.entries[-number], replica)

    def _calm(self, entry: PartitionPlacement) -> bool:
        """Whether all replicas are there, so that a move costs no more than a hand-over."""
        return all(replica in self._living for replica in entry.replicas)

    def _gain(self, entry: PartitionPlacement, replica: str) -> int:
        """How much a move of the primary to `replica` is wanted; 0: not at all."""
        if replica == entry.primary or replica not in self._usable or not self._steady(replica):
            return 0
        if store_name(entry.primary) in self._retiring:
            return 1_000_000 - self._primaries[replica]
        difference = self._primaries[entry.primary] - self._primaries[replica]
        return difference if difference >= 2 else 0

    # -- replicas and learners

    def promote_learners(self, number: int, caught_up: Collection[CAUGHT_UP]) -> None:
        """Learners that have caught up take the places of the replicas to be replaced."""
        for learner in self.entries[number].learners:
            entry = self.entries[number]
            if (number, entry.epoch, learner) in caught_up and learner in self._usable:
                self._promote(entry, learner)
                return  # the epoch has changed: further learners are reported anew

    def _promote(self, entry: PartitionPlacement, learner: str) -> None:
        victims = [
            replica
            for replica in entry.replicas
            if replica != entry.primary and self._must_be_replaced(replica)
        ]
        replicas = list(entry.replicas)
        if victims:
            victim = min(victims, key=lambda replica: self._victim_rank(replica, learner))
            replicas[replicas.index(victim)] = learner
        elif len(replicas) < self._target():
            replicas.append(learner)
        else:
            return
        if sum(replica not in self._living for replica in replicas) > self._tolerance:
            return
        learners = [other for other in entry.learners if other != learner]
        self.entries[entry.partition] = evolve(
            entry, epoch=entry.epoch + 1, replicas=replicas, learners=learners
        )

    def _victim_rank(self, replica: str, learner: str) -> tuple[bool, bool, bool]:
        """The order in which replicas give way to a learner: its own lost disk, lost disks, stores that are
        gone, machines being emptied."""
        return (
            store_name(replica) != store_name(learner),
            not self._disk_lost(replica),
            not self._gone(replica),
        )

    def _target(self) -> int:
        """How many replicas a partition should have."""
        return min(2 * self._tolerance + 1, len(self._usable))

    def update_learners(self, number: int) -> None:
        """One learner for each replica that has to be replaced or that is lacking, where a store is free."""
        entry = self.entries[number]
        wanted = [replica for replica in entry.replicas if self._must_be_replaced(replica)]
        most = len(wanted) + max(0, self._target() - len(entry.replicas))
        learners = [learner for learner in entry.learners if not self._must_be_replaced(learner)][:most]
        while len(learners) < most:
            found = self._new_learner(entry, wanted, learners)
            if found is None:
                break
            learners.append(found)
        if learners != entry.learners:
            self._copies.update(learner for learner in learners if learner not in entry.learners)
            self.entries[number] = evolve(entry, learners=learners)

    def _new_learner(
        self, entry: PartitionPlacement, wanted: Sequence[str], learners: Sequence[str]
    ) -> str | None:
        taken = {*entry.replicas, *learners}
        free = [store_id for store_id in self._usable if store_id not in taken]
        returned = {store_name(replica) for replica in wanted}
        staying = [replica for replica in taken if replica not in wanted]
        zones = Counter(self._zone(store_id) for store_id in staying)
        key = f"partition/{entry.partition}"
        return min(
            free,
            default=None,
            key=lambda store_id: (
                store_name(store_id) not in returned,
                zones[self._zone(store_id)],
                self._copies[store_id],
                -weight(key, store_id),
            ),
        )

    def _zone(self, store_id: str) -> str:
        condition = self._stores.get(store_name(store_id))
        return condition.member.zone if condition is not None and condition.member is not None else ""


# ---- emptying a machine


def enough_would_remain(
    name: str, stores: Mapping[str, StoreCondition], retiring: Collection[str], tolerance: int
) -> bool:
    """Whether a store machine may be emptied: 2f+1 other living stores have to remain, none being emptied.

    f+1 stores would keep every record on f+1 disks and so lose nothing.  But a record is committed on f+1
    replicas: with fewer than 2f+1, the f losses that the deployment tolerates would stop every write, and
    the emptied machine's removal does not count among them.  So an order that leaves fewer is refused."""
    remaining = [
        other
        for other, condition in stores.items()
        if other != name and condition.living and other not in retiring
    ]
    return len(remaining) >= 2 * tolerance + 1


def is_named(placement: Placement, name: str) -> bool:
    """Whether the placement still needs a machine."""
    return any(
        store_name(store_id) == name
        for entry in placement.partitions
        for store_id in (entry.primary, *entry.replicas, *entry.learners)
    )
