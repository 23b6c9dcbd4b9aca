"""Cache of the newest view on the disk of a process that is not a controller.

With the cached view a restarted process finds the voters even if no seed responds.  Losing the cache is
harmless: the view only provides addresses to query.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress

from hollowusher.coordination.cluster_state import VIEW, ClusterState
from hollowusher.coordination.consensus.view_discovery import SOLICITED_ORIGIN
from hollowusher.protocol.codec import DecodeError, decode, encode
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.view import View
from hollowusher.storage.interface import Slot, StorageError

SAVE_DELAY_S = 0.1  # of several views within this time only the newest is saved


class ViewCache:
    """Loads the cached view into the cluster state and saves each newer view."""

    def __init__(self, slot: Slot, state: ClusterState) -> None:
        self._slot = slot
        self._state = state
        self._view_changed = asyncio.Event()

    def load(self) -> None:
        """Apply the cached view if it is readable, and subscribe to newer views."""
        view = None
        with suppress(StorageError, DecodeError):
            saved = self._slot.load()
            view = decode(saved) if saved is not None else None
        if isinstance(view, View):
            self._state.apply([DistributedItem(VIEW, [view.epoch], SOLICITED_ORIGIN, 0, view)], {})
        self._state.add_listener(self._on_change)

    async def run(self) -> None:
        """Save each newer view until cancelled.  After a failed save, the next view starts the next save."""
        while True:
            await self._view_changed.wait()
            await asyncio.sleep(SAVE_DELAY_S)
            self._view_changed.clear()
            with suppress(StorageError):
                await self._slot.save(encode(self._state.view))

    def _on_change(self, key: str) -> None:
        if key == VIEW:
            self._view_changed.set()
