"""A feed of versioned items, which others pull with their version vector.  No I/O, no clock.

Every controller publishes items under its own origin ("name/incarnation") and numbers them.  A version vector
(origin -> counter) says which items a reader has, or has newer ones of.  Controllers pull from each other,
all other processes from one controller.  Only the newest item of each key is kept, so that the size of a feed
is bounded by the number of keys.

Version vectors: Parker et al., "Detection of mutual inconsistency in distributed systems" (1983); their
exchange by pull is anti-entropy (Demers et al., "Epidemic algorithms for replicated database maintenance",
1987).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from hollowusher.protocol.distribution import DistributedItem, PullUpdates, UpdatesResponse

MAX_AGE_S = 1e6  # the age that stands for "never", and for all that is older
MS_PER_S = 1000
Listener = Callable[[DistributedItem], None]  # called with each item that replaced an older value


class UpdateFeed:
    """The newest item of every key, and the version vector of what has been received.

    Invariants: the version of a key never decreases, and the vector has an entry for each origin of an item.
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
        """Have `listener` called with each item that brings a greater version of its key."""
        self._listeners.append(listener)

    def publish(self, key: str, version: Iterable[int], value: object) -> bool:
        """Give a key a new value under this origin; return False if its version is not greater."""
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
        """Merge the answer of another controller; return the keys whose value has changed."""
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
        """Return the items beyond the reader's vector, and the vector that the reader has with them.

        `is_connected` and `age_s` say how up to date this controller is: whether it hears a quorum of the
        others, and how long ago it last did.
        """
        items = [item for item in self._items.values() if item.counter > request.have.get(item.origin, 0)]
        items.sort(key=lambda item: (item.origin, item.counter))
        age_ms = math.ceil(MS_PER_S * min(age_s, MAX_AGE_S))
        return UpdatesResponse(items, self.version_vector, is_connected, age_ms)

    def _replace_if_newer(self, item: DistributedItem) -> bool:
        """Store an item if it is newer; return whether its version is greater than the known one.

        Of two items with one version the same one wins everywhere, so that all feeds converge to the same
        items and prune their vectors alike.
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

        A reader whose vector lacks such an origin may receive an old item again; its version rules it out.
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
