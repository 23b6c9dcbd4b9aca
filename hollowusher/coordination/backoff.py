"""Exponential backoff between attempts."""

from __future__ import annotations

import asyncio
import random

INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 0.5
GROWTH = 1.5
MIN_JITTER = 0.7  # lower bound of the random factor that each delay is multiplied by


class Backoff:
    """Growing delays between attempts, with jitter so that processes do not retry at the same time.

    Each delay is `GROWTH` times the previous one, up to `MAX_DELAY_S`.
    """

    def __init__(self, random_source: random.Random, initial_delay_s: float = INITIAL_DELAY_S) -> None:
        self._random_source = random_source
        self._initial_delay_s = initial_delay_s
        self._delay_s = 0.0

    def reset(self) -> None:
        """Return to the initial delay; call this after a successful attempt."""
        self._delay_s = 0.0

    async def wait(self) -> None:
        """Sleep for the next delay; call this after a failed attempt."""
        self._delay_s = min(MAX_DELAY_S, max(self._initial_delay_s, GROWTH * self._delay_s))
        await asyncio.sleep(self._delay_s * self._random_source.uniform(MIN_JITTER, 1.0))
