"""Distribution of control values: a feed of versioned items that others pull with their version vector.

Every controller publishes items under its own origin ("name/incarnation") and numbers them.  A version
vector (origin -> counter) says which items a reader has, or has newer ones of.  Controllers pull from each
other, all other processes from one controller.  Only the newest item of each key is kept, so a feed's size
is bounded by the number of keys.

`UpdateFeed` is pure; `LongPollResponder` adds the waiting.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from typing import Any

from hollowusher.protocol.distribution import DistributedItem, PullUpdates, UpdatesResponse

MAX_AGE_S = 1e6  # told for "never" and for all that is older
BATCH_DELAY_S = (
    0.02  # a waiting pull is answered this long after the first news, so that news travel together
)
Listener = Callable[[DistributedItem], None]  # called with each item that replaced an older value


class UpdateFeed:
    """The newest item of every key, and the version vector that says what has been seen."""

    def __init__(self, origin: str) -> None:
        self.origin = origin
        self._counter = 0
        self._items: dict[str, DistributedItem] = {}
        self._version_vector: dict[str, int] = {}
        self._listeners: list[Listener] = []

    @property
    def have(self) -> dict[str, int]:
        """The version vector."""
        return dict(self._version_vector)

    def item(self, key: str) -> DistributedItem | None:
        """The newest item of a key."""
        return self._items.get(key)

    def items(self) -> list[DistributedItem]:
        """The newest items of all keys."""
        return list(self._items.values())

    def add_listener(self, listener: Listener) -> None:
        """Have `listener` called with each item that brings a greater version of its key."""
        self._listeners.append(listener)

    def publish(self, key: str, version: Iterable[int], value: Any) -> bool:
        """Give a key a new value under this origin; False where the version is not greater than the known."""
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
        """Take the answer of another controller; the keys whose value has changed."""
        newer = [item for item in updates.items if self._replace_if_newer(item)]
        for origin, counter in updates.have.items():
            if origin != self.origin and counter > self._version_vector.get(origin, 0):
                self._version_vector[origin] = counter
        self._prune()
        self._notify(newer)
        return [item.key for item in newer]

    def answer(self, request: PullUpdates, is_connected: bool = True, age_s: float = 0.0) -> UpdatesResponse:
        """The items beyond the reader's vector, and the vector it has after taking them."""
        items = [item for item in self._items.values() if item.counter > request.have.get(item.origin, 0)]
        items.sort(key=lambda item: (item.origin, item.counter))
        return UpdatesResponse(items, self.have, is_connected, math.ceil(1000 * min(age_s, MAX_AGE_S)))

    def _replace_if_newer(self, item: DistributedItem) -> bool:
        """Keep an item if it is newer; True if its version is greater than the known one.

        Of two items with one version the same one wins everywhere, so that all feeds come to hold the same
        items and the vectors can be pruned alike."""
        known = self._items.get(item.key)
        if known is None or list(item.version) > list(known.version):
            self._items[item.key] = item
            return True
        same_version = list(item.version) == list(known.version)
        if same_version and (item.origin, item.counter) > (known.origin, known.counter):
            self._items[item.key] = item
        return False

    def _prune(self) -> None:
        """Forget origins without live items.  A reader that forgets one may get an old item again, which
        its version then rules out."""
        live = {item.origin for item in self._items.values()}
        if len(self._version_vector) > len(live):
            self._version_vector = {
                origin: counter for origin, counter in self._version_vector.items() if origin in live
            }

    def _notify(self, items: list[DistributedItem]) -> None:
        for item in items:
            for listener in list(self._listeners):
                listener(item)


class LongPollResponder:
    """Answers pulls from a feed, and lets them wait for news.  `is_connected` says whether this controller
    hears enough of the others for its answers to be new, `age_s` how long ago it had word from them."""

    def __init__(
        self,
        feed: UpdateFeed,
        is_connected: Callable[[], bool] = lambda: True,
        age_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._feed = feed
        self._is_connected = is_connected
        self._age_s = age_s
        self._updated = asyncio.Event()
        feed.add_listener(self._wake)

    def _wake(self, _item: DistributedItem) -> None:
        self._updated.set()
        self._updated = asyncio.Event()

    async def answer(self, request: PullUpdates) -> UpdatesResponse:
        """The answer to a pull: at once if there are items for it, else when some come, at the latest after
        the time that the reader is willing to wait."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + request.wait_ms / 1000
        while True:
            updated = self._updated
            updates = self._feed.answer(request, self._is_connected(), self._age_s())
            left = deadline - loop.time()
            if updates.items or left <= 0:
                return updates
            try:
                async with asyncio.timeout(left):
                    await updated.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(min(BATCH_DELAY_S, max(0.0, deadline - loop.time())))
