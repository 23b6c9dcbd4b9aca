"""Pauses between tries."""

from __future__ import annotations

import asyncio
import random

FIRST_PAUSE_S = 0.1
MOST_PAUSE_S = 0.5


class Backoff:
    """Growing pauses between tries, with some chance so that processes do not try in step."""

    def __init__(self, chance: random.Random, first_s: float = FIRST_PAUSE_S) -> None:
        self._chance = chance
        self._first_s = first_s
        self._pause = 0.0

    def reset(self) -> None:
        """A try has succeeded."""
        self._pause = 0.0

    async def wait(self) -> None:
        """Pause after a failed try."""
        self._pause = min(MOST_PAUSE_S, max(self._first_s, 1.5 * self._pause))
        await asyncio.sleep(self._pause * self._chance.uniform(0.7, 1.0))
