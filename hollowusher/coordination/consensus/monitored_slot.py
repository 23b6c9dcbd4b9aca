"""A slot that detects a stalled disk.  A voter that cannot save its votes counts as dead."""

from __future__ import annotations

import asyncio

from hollowusher.storage.interface import Slot

STALLED_AFTER_S = 0.8


class MonitoredSlot:
    """Wraps a `Slot` and measures how long the save in progress has taken."""

    def __init__(self, slot: Slot) -> None:
        self._slot = slot
        self._saving_since_s: float | None = None  # event loop time

    def load(self) -> bytes | None:
        """Return the last saved value, None if there is none."""
        return self._slot.load()

    async def save(self, value: bytes) -> None:
        """Replace the value; the new value is durable on return."""
        if self._saving_since_s is None:
            self._saving_since_s = asyncio.get_running_loop().time()
        try:
            await self._slot.save(value)
        finally:
            self._saving_since_s = None

    def is_stalled(self, now_s: float) -> bool:
        """Return whether a save has been in progress for more than `STALLED_AFTER_S`."""
        return self._saving_since_s is not None and now_s - self._saving_since_s > STALLED_AFTER_S
