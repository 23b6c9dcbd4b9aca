"""What a process knows of the whole system, from the items that controllers distribute.  No I/O, no clock.

Every value comes as an `Item` with a version; an older one never replaces a newer one, so that nothing goes
back within a life of the process.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from hollowusher.configuration.model import Configuration, read_document
from hollowusher.protocol.distribution import Item
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.protocol.view import View
from hollowusher.protocol.worker_list import WorkerList

CONFIGURATION = "configuration"
PLACEMENT = "placement"
VIEW = "view"
WORKERS = "workers"
MEMBER_PREFIX = "member/"
Listener = Callable[[str], None]  # called with the key that has changed


class ClusterState:
    """The newest known values.  `version_vector` is the version vector of what was received."""

    def __init__(self) -> None:
        self.version_vector: dict[str, int] = {}
        self.versions: dict[str, list[int]] = {}
        self._sources: dict[str, tuple[str, int]] = {}  # key -> origin and counter of the item
        self.configuration: Configuration | None = None
        self.placement: Placement | None = None
        self.view: View | None = None
        self.members: dict[str, Member] = {}
        self.workers: WorkerList | None = None
        self._placements: dict[int, PartitionPlacement] = {}
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Have `listener` called after each change, with the item's key."""
        self._listeners.append(listener)

    def apply(self, items: Iterable[Item], version_vector: dict[str, int]) -> list[str]:
        """Take what a controller sent; the keys that have changed."""
        changed = [item.key for item in items if self._apply(item)]
        if version_vector:  # origins that the controller has forgotten are forgotten here too
            self.version_vector = {
                origin: max(counter, self.version_vector.get(origin, 0))
                for origin, counter in version_vector.items()
            }
        for key in changed:
            for listener in list(self._listeners):
                listener(key)
        return changed

    def _apply(self, item: Item) -> bool:
        known = self.versions.get(item.key)
        version = list(item.version)
        if known is not None and version < known:
            return False
        self._sources[item.key] = (item.origin, item.counter)
        if version == known:
            return False
        self.versions[item.key] = version
        self._store_value(item.key, item.value)
        return True

    def _store_value(self, key: str, value: Any) -> None:
        if key == CONFIGURATION:
            self.configuration = read_document(value)
        elif key == PLACEMENT:
            self.placement = value
            self._placements = {entry.partition: entry for entry in value.partitions}
        elif key == VIEW:
            self.view = value
        elif key == WORKERS:
            self.workers = value
        elif key.startswith(MEMBER_PREFIX):
            self.members[key.removeprefix(MEMBER_PREFIX)] = value

    def items_missing_from(self, version_vector: dict[str, int]) -> list[Item]:
        """The members' items known here that the holder of a version vector has not seen."""
        found = []
        for name, member in self.members.items():
            key = MEMBER_PREFIX + name
            origin, counter = self._sources[key]
            if counter > version_vector.get(origin, 0):
                found.append(Item(key, self.versions[key], origin, counter, member))
        return found

    def live_members(self, role: str | None = None) -> list[Member]:
        """The members that are there, of one role or all, by name."""
        return [
            member
            for _, member in sorted(self.members.items())
            if member.alive and role in (None, member.role)
        ]

    def partition_placement(self, number: int) -> PartitionPlacement | None:
        """Where a partition is kept."""
        return self._placements.get(number)

    def partition_numbers(self) -> list[int]:
        """All partition numbers."""
        return sorted(self._placements)

    def store_address(self, store_id: str) -> str | None:
        """The internal address of a replica, None where that machine or disk is not known."""
        member = self.members.get(store_id.partition("/")[0])
        return member.address if member is not None and member.store_id == store_id else None

    def primary_address(self, number: int) -> str | None:
        """The internal address of a partition's primary."""
        entry = self._placements.get(number)
        return None if entry is None else self.store_address(entry.primary)
