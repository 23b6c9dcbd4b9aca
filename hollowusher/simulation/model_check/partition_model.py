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
from zlib import crc32

from hollowusher.simulation.model_check.partition_events import Label, events, protocol_steps, quiet_events
from hollowusher.simulation.model_check.partition_scenario import PartitionScenario
from hollowusher.simulation.model_check.partition_steps import step
from hollowusher.simulation.model_check.partition_system import PartitionSystem, initial_system
from hollowusher.simulation.model_check.store_model import TOLERANCE

DETECTION_TICKS = 2  # a death is known after so many at the latest
CALM_TICKS = 18  # after the last event


def is_over(system: PartitionSystem) -> bool:
    """Whether all has been calm for so long that everything has to be whole again."""
    return system.tick >= system.last_event + CALM_TICKS


def find_incomplete_recovery(system: PartitionSystem) -> str:
    """What is missing after the calm."""
    entry = system.entry
    primary = system.by_id(entry.primary)
    if primary is None or primary.running.primary is None or primary.running.epoch != entry.epoch:
        return f"after the calm nobody serves epoch {entry.epoch}"
    if len(entry.replicas) < 3 or any(system.by_id(replica) is None for replica in entry.replicas):
        return f"after the calm the replicas are {entry.replicas}: the next loss is not borne"
    if any(replica.partition("/")[0] in system.head.retiring for replica in entry.replicas):
        return "after the calm a machine is not emptied"
    for key, message_id in system.acknowledged_puts.items():
        holders = [store for store in system.members_of() if key in store.durable_keys()]
        if sum(store.store_id in entry.replicas for store in holders) <= TOLERANCE:
            return f"after the calm kept message {message_id} is on too few replicas"
    return ""


class PartitionState:
    """A state as the explorer needs it: the cluster, the steps that are put off, and how many more may be."""

    __slots__ = ("_hash", "_key", "deferred", "delays", "system")

    def __init__(self, system: PartitionSystem, deferred: tuple[Label, ...], delays: int) -> None:
        self.system = system
        self.deferred = deferred
        self.delays = delays
        self._key = (system.key(), deferred, delays)
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
        system = state.system
        if system.broken or is_over(system):
            return
        for label in events(system):
            yield label, PartitionState(step(system, label), state.deferred, state.delays)
        possible = sorted(protocol_steps(system), key=self._rank)
        ready = [label for label in possible if label not in state.deferred]
        overdue = [name for name, at in system.ended.items() if system.tick - at >= DETECTION_TICKS]
        if ready:
            yield ready[0], PartitionState(step(system, ready[0]), state.deferred, state.delays)
            if state.delays and len(ready) > 1:
                deferred = (*state.deferred, ready[0])
                yield ("put off", *ready[0]), PartitionState(system, deferred, state.delays - 1)
        elif possible:
            yield ("go on",), PartitionState(system, (), state.delays)
        else:
            for label in quiet_events(system):
                yield label, PartitionState(step(system, label), (), state.delays)
        if not possible and not overdue:
            yield ("tick",), PartitionState(step(system, ("tick",)), (), state.delays)

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
        system = state.system
        if system.broken:
            return system.broken
        return find_incomplete_recovery(system) if is_over(system) and not protocol_steps(system) else ""
