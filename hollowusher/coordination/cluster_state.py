"""One process's copy of the cluster state, built from the items that controllers distribute.  No I/O.

Every value arrives as a `DistributedItem` with a version.  An older version never replaces a newer one, so
within one incarnation of the process the version of each item only increases.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hollowusher.configuration.model import Configuration, read_document
from hollowusher.coordination.store_id import store_name
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.protocol.view import View
from hollowusher.protocol.worker_list import PlatformWorkerList

CONFIGURATION = "configuration"
PLACEMENT = "placement"
VIEW = "view"
WORKERS = "workers"
MEMBER_PREFIX = "member/"
Listener = Callable[[str], None]  # called with the key of the changed item


class ClusterState:
    """The newest known value of each item.  Readers must not modify the values.

    Invariant: for each key `versions` holds the greatest version that this process has received.
    """

    def __init__(self) -> None:
        self.version_vector: dict[str, int] = {}  # origin -> the greatest counter received from it
        self.versions: dict[str, list[int]] = {}
        self._sources: dict[str, tuple[str, int]] = {}  # key -> origin and counter of the item
        self.configuration: Configuration | None = None
        self.placement: Placement | None = None
        self.view: View | None = None
        self.foreign_views = 0  # number of rejected views of other clusters
        self.members: dict[str, Member] = {}
        self.workers: PlatformWorkerList | None = None
        self._partition_placements: dict[int, PartitionPlacement] = {}
        self._listeners: list[Listener] = []

    # ---- updates

    def add_listener(self, listener: Listener) -> None:
        """Register `listener`, which is called with the key of each item that changes."""
        self._listeners.append(listener)

    def apply(self, items: Iterable[DistributedItem], version_vector: dict[str, int]) -> list[str]:
        """Store each item that is newer than the known one and return the keys of the stored items.

        `version_vector` is the version vector of the controller that sent the items.  It is empty for items
        from any other source and then leaves the known version vector unchanged.
        """
        changed = [item.key for item in items if self._apply(item)]
        if version_vector:  # drop the origins that the controller has dropped
            self.version_vector = {
                origin: max(counter, self.version_vector.get(origin, 0))
                for origin, counter in version_vector.items()
            }
        for key in changed:
            for listener in list(self._listeners):
                listener(key)
        return changed

    def _apply(self, item: DistributedItem) -> bool:
        if item.key == VIEW and self._is_foreign(item.value):
            self.foreign_views += 1
            return False
        known = self.versions.get(item.key)
        version = list(item.version)
        if known is not None and version < known:
            return False
        self._sources[item.key] = (item.origin, item.counter)
        if version == known:
            return False
        self.versions[item.key] = version
        self._store_value(item)
        return True

    def _is_foreign(self, view: View) -> bool:
        """Return whether a view belongs to another cluster than the known view.

        A view from an older version of the software has no cluster name and is never foreign.
        """
        known = self.view
        return known is not None and "" not in (known.cluster, view.cluster) and known.cluster != view.cluster

    def _store_value(self, item: DistributedItem) -> None:
        if item.key == CONFIGURATION:
            self.configuration = read_document(item.value)
        elif item.key == PLACEMENT:
            self.placement = item.value
            self._partition_placements = {entry.partition: entry for entry in item.value.partitions}
        elif item.key == VIEW:
            self.view = item.value
        elif item.key == WORKERS:
            self.workers = item.value
        elif item.key.startswith(MEMBER_PREFIX):
            self.members[item.key.removeprefix(MEMBER_PREFIX)] = item.value

    # ---- members

    def items_missing_from(self, version_vector: dict[str, int]) -> list[DistributedItem]:
        """Return the member items that a process with this version vector has not received."""
        missing = []
        for name, member in self.members.items():
            key = MEMBER_PREFIX + name
            origin, counter = self._sources[key]
            if counter > version_vector.get(origin, 0):
                missing.append(DistributedItem(key, self.versions[key], origin, counter, member))
        return missing

    def live_members(self, role: str | None = None) -> list[Member]:
        """Return the live members of `role`, or of every role if it is None, sorted by name."""
        return [
            member
            for _, member in sorted(self.members.items())
            if member.alive and role in (None, member.role)
        ]

    # ---- partitions

    def partition_placement(self, partition: int) -> PartitionPlacement | None:
        """Return the placement of a partition, None if the partition is unknown."""
        return self._partition_placements.get(partition)

    def partition_numbers(self) -> list[int]:
        """Return the numbers of all partitions in increasing order."""
        return sorted(self._partition_placements)

    def store_address(self, store_id: str) -> str | None:
        """Return the internal address of a store, None if no known member has this name and disk."""
        member = self.members.get(store_name(store_id))
        return member.address if member is not None and member.store_id == store_id else None

    def primary_address(self, partition: int) -> str | None:
        """Return the internal address of a partition's primary, None if it is unknown."""
        placement = self.partition_placement(partition)
        return None if placement is None else self.store_address(placement.primary)
