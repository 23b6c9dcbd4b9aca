"""A feed of versioned items that readers pull.  The module performs no I/O and reads no clock.

Every controller publishes items under its own origin ("name/incarnation") and numbers them.  A reader sends
its version vector (origin -> counter) with each pull.  For each origin, the vector covers the items up to
that counter: the reader has received them or a newer version of the same key.  Controllers pull from each
other, and every other process pulls from one controller.  A feed keeps only the newest item of each key, so
its size is bounded by the number of keys.

Version vectors were introduced by Parker et al., "Detection of mutual inconsistency in distributed systems"
(1983).  Exchanging updates by pulls is a form of anti-entropy (Demers et al., "Epidemic algorithms for
replicated database maintenance", 1987).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from hollowusher.protocol.distribution import DistributedItem, PullUpdates, UpdatesResponse

MAX_AGE_S = 1e6  # upper limit of a reported age; also stands for an infinite age
MS_PER_S = 1000
Listener = Callable[[DistributedItem], None]  # receives each item that replaced an older value


class UpdateFeed:
    """The newest item of every key, and the version vector of the items received so far.

    Invariants: the version of a key never decreases, and the vector has an entry for the origin of every
    item.
    """

    def __init__(self, origin: str) -> None:
        self.origin = origin
        self._counter = 0
        self._items: dict[str, DistributedItem] = {}
        self._version_vector: dict[str, int] = {}
        self._listeners: list[Listener] = []

    @property
    def version_vector(self) -> dict[str, int]:
        """A copy of the version vector."""
        return dict(self._version_vector)

    def item(self, key: str) -> DistributedItem | None:
        """Return the newest item of a key."""
        return self._items.get(key)

    def items(self) -> list[DistributedItem]:
        """Return the newest items of all keys."""
        return list(self._items.values())

    def add_listener(self, listener: Listener) -> None:
        """Register `listener`, which the feed calls with each item that increases the version of its key."""
        self._listeners.append(listener)

    def publish(self, key: str, version: Iterable[int], value: object) -> bool:
        """Publish a new value of a key under this feed's origin.

        Return False, without a change, if `version` is not greater than the version of the current item.
        """
        known = self._items.get(key)
        numbers = list(version)
        if known is not None and numbers <= list(known.version):
            return False
        self._counter += 1
        self._items[key] = item = DistributedItem(key, numbers, self.origin, self._counter, value)
        self._version_vector[self.origin] = self._counter
        self._prune()
        self._notify([item])
        return True

    def merge(self, updates: UpdatesResponse) -> list[str]:
        """Merge the response of another controller; return the keys whose value has changed."""
        newer = [item for item in updates.items if self._replace_if_newer(item)]
        for origin, counter in updates.have.items():
            if origin != self.origin and counter > self._version_vector.get(origin, 0):
                self._version_vector[origin] = counter
        self._prune()
        self._notify(newer)
        return [item.key for item in newer]

    def updates_for(
        self, request: PullUpdates, *, is_connected: bool = True, age_s: float = 0.0
    ) -> UpdatesResponse:
        """Return the items that the reader's vector does not cover, and the vector that includes them.

        `is_connected` and `age_s` are sent to the reader.  They state whether this controller is in contact
        with a majority of the controllers and how many seconds ago it last was.
        """
        items = [item for item in self._items.values() if item.counter > request.have.get(item.origin, 0)]
        items.sort(key=lambda item: (item.origin, item.counter))
        age_ms = math.ceil(MS_PER_S * min(age_s, MAX_AGE_S))
        return UpdatesResponse(items, self.version_vector, is_connected, age_ms)

    def _replace_if_newer(self, item: DistributedItem) -> bool:
        """Store an item if it is newer; return whether its version is greater than that of the current item.

        If two items of a key have the same version, every feed keeps the one with the greater (origin,
        counter).  All feeds therefore converge to the same items and prune the same origins from their
        vectors.
        """
        known = self._items.get(item.key)
        if known is None or list(item.version) > list(known.version):
            self._items[item.key] = item
            return True
        has_same_version = list(item.version) == list(known.version)
        if has_same_version and (item.origin, item.counter) > (known.origin, known.counter):
            self._items[item.key] = item
        return False

    def _prune(self) -> None:
        """Remove origins without items from the vector.

        A reader whose vector lacks such an origin may receive an old item again, which it ignores because of
        the item's version.
        """
        origins = {item.origin for item in self._items.values()}
        if len(self._version_vector) > len(origins):
            self._version_vector = {
                origin: counter for origin, counter in self._version_vector.items() if origin in origins
            }

    def _notify(self, items: list[DistributedItem]) -> None:
        for item in items:
            for listener in list(self._listeners):
                listener(item)
