"""How the placement of partitions follows the stores.  No I/O, no clock.

A partition has min(stores, 2f+1) replicas; one of them is its primary.  A record is committed on f+1
replicas, the primary among them, and a new primary reads replicas - f of them, so the two always meet.  A
replica is replaced in two steps: a learner copies everything first; when the primary has reported that it has
caught up, it takes the replica's place, provided that no more than f of the new replicas are missing.  One
replica is replaced at a time.

Each change of a partition's primary or replicas gets a greater epoch, and so does letting a learner go: what
its primary reported about it counts no longer, whenever that report arrives.  An epoch belongs to one life of
one primary's process (`primary_incarnation`): a primary that has restarted gets a new epoch.

Copies are made where they are needed (a replica is lost, away, being emptied, or lacking), and while all is
calm one at a time for balance: a store that was added, or that has returned after its replicas were given
away, gets replicas from the store that has most.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement.replica_states import ReplicaStates, store_name
from hollowusher.coordination.rendezvous import weight
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.placement import PartitionPlacement, Placement

MIN_BALANCE_GAIN = 2  # a move for balance has to bring two stores closer by so many replicas or primaries
RETIRING_PRIORITY = 1_000_000  # a primary leaves a machine that is being emptied before any move for balance
LearnerReport = tuple[int, int, str]  # partition, epoch, the learner's store id


def plan_placement(
    placement: Placement,
    stores: Mapping[str, StoreCondition],
    tolerance: int,
    retiring: Collection[str] = (),
    ready_learners: Collection[LearnerReport] = (),
    allow_moves: bool = False,
    lost_learners: Collection[LearnerReport] = (),
) -> Placement | None:
    """The placement that the stores' conditions call for, None where the present one is right.

    `stores` holds the condition of every store known or named by the placement; `retiring` the machines that
    are being emptied; `ready_learners` the reports of primaries about learners, `lost_learners` those about
    learners that do not answer them.  Where `allow_moves` is set, one primary may be moved only for balance
    or away from a machine that is being emptied, and one replica may be moved for balance."""
    planner = PlacementPlanner(placement, stores, tolerance, retiring)
    for number in list(planner.entries):
        planner.promote_learners(number, ready_learners)
        planner.replace_primary(number)
        planner.update_learners(number, lost_learners)
    if allow_moves:
        planner.move_primary()
        planner.start_balancing_move()
    entries = list(planner.entries.values())
    if entries == placement.partitions:
        return None
    return Placement(placement.version + 1, entries)


class PlacementPlanner:
    """One run over a placement; `entries` holds the new one."""

    def __init__(
        self,
        placement: Placement,
        stores: Mapping[str, StoreCondition],
        tolerance: int,
        retiring: Collection[str],
    ) -> None:
        self.entries = {entry.partition: entry for entry in placement.partitions}
        self._original_epochs = {entry.partition: entry.epoch for entry in placement.partitions}
        self._states = ReplicaStates(stores, retiring, placement)
        self._tolerance = tolerance
        self._primaries = Counter(entry.primary for entry in placement.partitions)
        self._replicas = Counter(replica for entry in placement.partitions for replica in entry.replicas)
        self._assignments = self._replicas + Counter(
            learner for entry in placement.partitions for learner in entry.learners
        )

    # -- the primary

    def replace_primary(self, number: int) -> None:
        """Another living replica where the primary is away; a new epoch where it has restarted."""
        entry = self.entries[number]
        states = self._states
        if entry.primary not in states.live:
            candidates = [replica for replica in entry.replicas if replica in states.live]
            if candidates and states.is_down(entry.primary):
                self._set_primary(entry, self._best_primary(entry, candidates))
            return
        if entry.primary_incarnation in (0, states.incarnation(entry.primary)):
            return
        steady = [replica for replica in entry.replicas if states.is_stable(replica)]
        self._set_primary(entry, self._best_primary(entry, steady or [entry.primary]))

    def _best_primary(self, entry: PartitionPlacement, candidates: Sequence[str]) -> str:
        key = f"primary/{entry.partition}"
        return min(
            candidates,
            key=lambda store_id: (
                store_id not in self._states.usable,
                not self._states.is_stable(store_id),
                self._primaries[store_id],
                weight(key, store_id),
            ),
        )

    def _set_primary(self, entry: PartitionPlacement, primary: str) -> None:
        self._primaries[entry.primary] -= 1
        self._primaries[primary] += 1
        self.entries[entry.partition] = evolve(
            entry,
            epoch=entry.epoch + 1,
            primary=primary,
            primary_incarnation=self._states.incarnation(primary),
        )

    def move_primary(self) -> None:
        """Move one primary off a machine that is being emptied, or else towards balance."""
        moves = [
            (gain, -entry.partition, replica)
            for entry in self.entries.values()
            for replica in entry.replicas
            if (gain := self._move_gain(entry, replica)) > 0
        ]
        if moves:
            _, number, replica = max(moves)
            self._set_primary(self.entries[-number], replica)

    def _has_all_replicas(self, entry: PartitionPlacement) -> bool:
        """Whether all replicas are there, so that a move costs no more than a hand-over."""
        return all(replica in self._states.live for replica in entry.replicas)

    def _move_gain(self, entry: PartitionPlacement, replica: str) -> int:
        """How much a move of the primary to `replica` is wanted; 0: not at all."""
        if replica == entry.primary or replica not in self._states.usable:
            return 0
        if self._states.is_retiring(entry.primary):
            return RETIRING_PRIORITY - self._primaries[replica] if self._can_hand_over(entry) else 0
        if not self._states.is_stable(replica) or not self._has_all_replicas(entry):
            return 0
        difference = self._primaries[entry.primary] - self._primaries[replica]
        return difference if difference >= MIN_BALANCE_GAIN else 0

    def _can_hand_over(self, entry: PartitionPlacement) -> bool:
        """Whether enough replicas are there for another primary to take over: an emptied machine does not
        wait until the last one of the others has been replaced."""
        living = sum(replica in self._states.live for replica in entry.replicas)
        return living >= len(entry.replicas) - self._tolerance

    # -- replicas and learners

    def promote_learners(self, number: int, ready_learners: Collection[LearnerReport]) -> None:
        """Learners that have caught up take the places of the replicas to be replaced."""
        for learner in self.entries[number].learners:
            entry = self.entries[number]
            if (number, entry.epoch, learner) in ready_learners and learner in self._states.usable:
                self._promote(entry, learner)
                return  # the epoch has changed: further learners are reported anew

    def _promote(self, entry: PartitionPlacement, learner: str) -> None:
        replaced = self._replica_to_replace(entry, learner)
        replicas = list(entry.replicas)
        if replaced is not None:
            replicas[replicas.index(replaced)] = learner
        elif len(replicas) < self._target_replica_count():
            replicas.append(learner)
        else:
            return
        if sum(replica not in self._states.live for replica in replicas) > self._tolerance:
            return
        learners = [other for other in entry.learners if other != learner]
        self._replicas[learner] += 1
        if replaced is not None:
            self._replicas[replaced] -= 1
        self.entries[entry.partition] = evolve(
            entry, epoch=entry.epoch + 1, replicas=replicas, learners=learners
        )

    def _replica_to_replace(self, entry: PartitionPlacement, learner: str) -> str | None:
        """The replica that gives way to a learner, None where none has to."""
        others = [replica for replica in entry.replicas if replica != entry.primary]
        candidates = [replica for replica in others if self._states.may_be_replaced(replica)]
        if candidates:
            return min(candidates, key=lambda replica: self._replacement_rank(replica, learner))
        if len(entry.replicas) < self._target_replica_count():
            return None
        return self._replica_to_offload(entry, learner)

    def _replacement_rank(self, replica: str, learner: str) -> tuple[bool, bool, bool]:
        """The order in which replicas give way to a learner: its own lost disk, lost disks, stores that are
        gone, machines being emptied."""
        return (
            store_name(replica) != store_name(learner),
            not self._states.has_lost_disk(replica),
            replica in self._states.live,
        )

    def _target_replica_count(self) -> int:
        """How many replicas a partition should have."""
        return min(2 * self._tolerance + 1, len(self._states.usable))

    def update_learners(self, number: int, lost_learners: Collection[LearnerReport] = ()) -> None:
        """One learner for each replica that has to be replaced or that is lacking, where a store is free;
        learners that are needed no longer, or that their primary cannot reach, are let go."""
        entry = self.entries[number]
        retained = self._retained_learners(entry, lost_learners)
        learners = list(retained)
        wanted = [replica for replica in entry.replicas if self._needs_copy(replica)]
        most = len(wanted) + self._missing_replica_count(entry)
        while len(learners) < most:
            lost = {learner for learner in entry.learners if learner not in retained}
            found = self._choose_learner(entry, wanted, learners, lost)
            if found is None:
                break
            learners.append(found)
        if learners == entry.learners:
            return
        epoch = entry.epoch
        if len(retained) < len(entry.learners):
            epoch = max(epoch, self._original_epochs[number] + 1)
        self._assignments.update(learner for learner in learners if learner not in entry.learners)
        self.entries[number] = evolve(entry, epoch=epoch, learners=learners)

    def _needs_copy(self, replica: str) -> bool:
        return self._states.is_retiring(replica) or self._states.is_missing(replica)

    def _missing_replica_count(self, entry: PartitionPlacement) -> int:
        return max(0, self._target_replica_count() - len(entry.replicas))

    def _retained_learners(
        self, entry: PartitionPlacement, lost_learners: Collection[LearnerReport]
    ) -> list[str]:
        """The learners that go on: those that are there, one for each replica that is away, to be emptied or
        lacking, or one that is moved for balance."""
        usable = [
            learner
            for learner in entry.learners
            if learner in self._states.usable and (entry.partition, entry.epoch, learner) not in lost_learners
        ]
        needed = sum(
            replica not in self._states.live or self._states.is_retiring(replica)
            for replica in entry.replicas
        )
        most = needed + self._missing_replica_count(entry)
        if most == 0:
            return [learner for learner in usable if self._replica_to_offload(entry, learner) is not None][:1]
        return usable[:most]

    def _choose_learner(
        self,
        entry: PartitionPlacement,
        wanted: Sequence[str],
        learners: Sequence[str],
        excluded: Collection[str],
    ) -> str | None:
        taken = {*entry.replicas, *learners}
        free = [store_id for store_id in self._states.usable if store_id not in {*taken, *excluded}]
        returned = {store_name(replica) for replica in wanted}
        staying = [replica for replica in taken if replica not in wanted]
        zones = Counter(self._states.zone(store_id) for store_id in staying)
        key = f"partition/{entry.partition}"
        return min(
            free,
            default=None,
            key=lambda store_id: (
                store_name(store_id) not in returned,
                zones[self._states.zone(store_id)],
                self._assignments[store_id],
                -weight(key, store_id),
            ),
        )

    # -- balance of the replicas

    def start_balancing_move(self) -> None:
        """While all is calm, have one store that holds few replicas learn one more partition."""
        if not self._is_settled():
            return
        moves = [
            (self._replicas[replaced] - self._replicas[store_id], -entry.partition, store_id)
            for entry in self.entries.values()
            for store_id in sorted(self._states.usable)
            if self._states.is_stable(store_id) and store_id not in entry.replicas
            if (replaced := self._replica_to_offload(entry, store_id)) is not None
        ]
        if moves:
            _, number, learner = max(moves)
            entry = self.entries[-number]
            self.entries[-number] = evolve(entry, learners=[learner])

    def _is_settled(self) -> bool:
        """Whether nothing is being repaired, moved or emptied, and every replica has been there a while."""
        return all(
            not entry.learners
            and all(
                self._states.is_stable(replica) and not self._states.is_retiring(replica)
                for replica in entry.replicas
            )
            for entry in self.entries.values()
        )

    def _replica_to_offload(self, entry: PartitionPlacement, learner: str) -> str | None:
        """The replica with whose place a learner would bring the stores closer without lessening the spread
        over zones; None where there is none or where not all replicas are there."""
        if learner in entry.replicas or not self._has_all_replicas(entry):
            return None
        spread = len({self._states.zone(replica) for replica in entry.replicas})
        candidates = [
            replica
            for replica in entry.replicas
            if replica != entry.primary
            and self._replicas[replica] - self._replicas[learner] >= MIN_BALANCE_GAIN
            and len({self._states.zone(each) for each in [*entry.replicas, learner] if each != replica})
            >= spread
        ]
        return max(candidates, key=lambda replica: (self._replicas[replica], replica), default=None)


# ---- emptying a machine


def can_retire(
    name: str, stores: Mapping[str, StoreCondition], retiring: Collection[str], tolerance: int
) -> bool:
    """Whether a store machine may be emptied: 2f+1 other living stores have to remain, none being emptied.

    f+1 stores would keep every record on f+1 disks and so lose nothing.  But a record is committed on f+1
    replicas: with fewer than 2f+1, the f losses that the deployment tolerates would stop every write, and
    the emptied machine's removal does not count among them.  So an order that leaves fewer is refused."""
    remaining = [
        other
        for other, condition in stores.items()
        if other != name and condition.is_alive and other not in retiring
    ]
    return len(remaining) >= 2 * tolerance + 1


def is_store_placed(placement: Placement, name: str) -> bool:
    """Whether the placement still needs a machine."""
    return any(
        store_name(store_id) == name
        for entry in placement.partitions
        for store_id in (entry.primary, *entry.replicas, *entry.learners)
    )
