"""Pauses between tries."""

from __future__ import annotations

import asyncio
import random

INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 0.5


class Backoff:
    """Growing pauses between tries, with some chance so that processes do not try in step."""

    def __init__(self, random_source: random.Random, initial_delay_s: float = INITIAL_DELAY_S) -> None:
        self._random_source = random_source
        self._initial_delay_s = initial_delay_s
        self._delay_s = 0.0

    def reset(self) -> None:
        """A try has succeeded."""
        self._delay_s = 0.0

    async def wait(self) -> None:
        """Pause after a failed try."""
        self._delay_s = min(MAX_DELAY_S, max(self._initial_delay_s, 1.5 * self._delay_s))
        await asyncio.sleep(self._delay_s * self._random_source.uniform(0.7, 1.0))
