"""A slot that tells how long its disk has been busy: a voter whose votes do not get to the disk is not
there."""

from __future__ import annotations

import asyncio

from hollowusher.storage.interface import Slot

STALLED_AFTER_S = 0.8


class MonitoredSlot:
    """A `Slot` around another one."""

    def __init__(self, slot: Slot) -> None:
        self._slot = slot
        self._saving_since: float | None = None

    def load(self) -> bytes | None:
        """The value saved last, None where there is none."""
        return self._slot.load()

    async def save(self, value: bytes) -> None:
        """Replace the value durably."""
        if self._saving_since is None:
            self._saving_since = asyncio.get_running_loop().time()
        try:
            await self._slot.save(value)
        finally:
            self._saving_since = None

    def stalled(self, now: float) -> bool:
        """Whether a save has been under way for too long."""
        return self._saving_since is not None and now - self._saving_since > STALLED_AFTER_S
