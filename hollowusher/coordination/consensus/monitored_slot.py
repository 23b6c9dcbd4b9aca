"""A slot that reports a stalled disk: a voter whose votes do not reach the disk counts as dead."""

from __future__ import annotations

import asyncio

from hollowusher.storage.interface import Slot

STALLED_AFTER_S = 0.8


class MonitoredSlot:
    """A `Slot` around another one that knows how long its save has been in progress."""

    def __init__(self, slot: Slot) -> None:
        self._slot = slot
        self._saving_since_s: float | None = None  # of the event loop's clock

    def load(self) -> bytes | None:
        """Return the value saved last, None if there is none."""
        return self._slot.load()

    async def save(self, value: bytes) -> None:
        """Replace the value durably."""
        if self._saving_since_s is None:
            self._saving_since_s = asyncio.get_running_loop().time()
        try:
            await self._slot.save(value)
        finally:
            self._saving_since_s = None

    def is_stalled(self, now_s: float) -> bool:
        """Return whether a save has been in progress for too long."""
        return self._saving_since_s is not None and now_s - self._saving_since_s > STALLED_AFTER_S
