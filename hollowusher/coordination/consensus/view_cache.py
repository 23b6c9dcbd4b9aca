"""The newest view on the disk of a process that is no controller.

With it the process finds the voters even if no seed answers.  The view may be lost: it only says whom to ask.
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

SAVE_DELAY_S = 0.1  # views that follow each other within this time are saved as one


class ViewCache:
    """Loads the stored view into the cluster state, and saves each newer view."""

    def __init__(self, slot: Slot, state: ClusterState) -> None:
        self._slot = slot
        self._state = state
        self._view_changed = asyncio.Event()

    def load(self) -> None:
        """Apply the stored view, if there is a readable one, and watch for newer views."""
        view = None
        with suppress(StorageError, DecodeError):
            saved = self._slot.load()
            view = decode(saved) if saved is not None else None
        if isinstance(view, View):
            self._state.apply([DistributedItem(VIEW, [view.epoch], SOLICITED_ORIGIN, 0, view)], {})
        self._state.add_listener(self._on_change)

    async def run(self) -> None:
        """Save each newer view; runs until cancelled.  A failed save is left to the next view."""
        while True:
            await self._view_changed.wait()
            await asyncio.sleep(SAVE_DELAY_S)
            self._view_changed.clear()
            with suppress(StorageError):
                await self._slot.save(encode(self._state.view))

    def _on_change(self, key: str) -> None:
        if key == VIEW:
            self._view_changed.set()
