"""The state of the modelled system: the head, the stores, what is in flight, what has been acknowledged."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from hollowusher.messages.records import MessageKey
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.simulation.model_check.head_model import LONG_AGO, TICK_S, HeadModel
from hollowusher.simulation.model_check.partition_scenario import PartitionScenario
from hollowusher.simulation.model_check.store_model import PARTITION, TOLERANCE, PrimaryStandIn, StoreModel


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
    system = PartitionSystem(plan, head, stores)
    for store in stores.values():
        store.start()
        store.known = 1
        store.log.flush()
        register_store(system, store, LONG_AGO)
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
    return system


def register_store(system: PartitionSystem, store: StoreModel, tick: int) -> None:
    """Let a store register with the head, which then knows it lives."""
    member = Member(store.name, "store", f"{store.name}:1", store.name, "r", store.incarnation, store.disk)
    system.head.learn(member, tick)
    system.ended.pop(store.name, None)
