"""Server side of the long polls for the updates of an `UpdateFeed`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.coordination.distribution.update_feed import MS_PER_S, UpdateFeed
from hollowusher.protocol.distribution import DistributedItem, PullUpdates, UpdatesResponse

BATCH_DELAY_S = 0.02  # delay after the first update, so that one response carries several updates


class LongPollResponder:
    """Answers pulls from a feed and holds a pull open while there are no updates.

    `is_connected` returns whether this controller has been in contact with a majority of the controllers
    recently enough for its responses to be current.  `age_s` returns the seconds since that contact.
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
        """Return the items that are new to the reader, waiting for an update if there are none yet.

        If no update arrives within the request's `wait_ms`, the response contains no items.
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
