"""Answers to long polls of an `UpdateFeed`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.coordination.distribution.update_feed import MS_PER_S, UpdateFeed
from hollowusher.protocol.distribution import DistributedItem, PullUpdates, UpdatesResponse

BATCH_DELAY_S = 0.02  # a waiting pull is answered this long after the first update: later ones travel with it


class LongPollResponder:
    """Answers pulls from a feed, and lets them wait for updates.

    `is_connected` says whether this controller hears enough of the others for its answers to be up to date,
    `age_s` how many seconds ago it last heard from them.
    """

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

    async def respond(self, request: PullUpdates) -> UpdatesResponse:
        """Return the answer to a pull: at once if there are items for the reader, else once some come.

        The answer is empty after the time that the reader is willing to wait.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + request.wait_ms / MS_PER_S
        while True:
            updated = self._updated
            updates = self._feed.updates_for(request, is_connected=self._is_connected(), age_s=self._age_s())
            remaining = deadline - loop.time()
            if updates.items or remaining <= 0:
                return updates
            try:
                async with asyncio.timeout(remaining):
                    await updated.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(min(BATCH_DELAY_S, max(0.0, deadline - loop.time())))
