"""Backoff delays grow up to a maximum and return to the initial delay after a success."""

from __future__ import annotations

import asyncio
import random

import pytest

from hollowusher.coordination.backoff import GROWTH, INITIAL_DELAY_S, MAX_DELAY_S, MIN_JITTER, Backoff


@pytest.fixture
def slept(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Replace `asyncio.sleep` and return the list that collects the requested delays."""
    delays: list[float] = []

    async def sleep(delay_s: float) -> None:
        delays.append(delay_s)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    return delays


class NoJitter(random.Random):
    def uniform(self, a: float, b: float) -> float:
        return b


class MostJitter(random.Random):
    def uniform(self, a: float, b: float) -> float:
        return a


def wait(backoff: Backoff, attempts: int) -> None:
    async def fail_often() -> None:
        for _ in range(attempts):
            await backoff.wait()

    asyncio.run(fail_often())


def test_delays_grow_to_the_maximum(slept: list[float]) -> None:
    wait(Backoff(NoJitter()), 6)
    assert slept[:2] == [INITIAL_DELAY_S, GROWTH * INITIAL_DELAY_S]
    assert slept == sorted(slept)
    assert slept[-1] == MAX_DELAY_S


def test_a_success_starts_again_with_the_initial_delay(slept: list[float]) -> None:
    backoff = Backoff(NoJitter(), initial_delay_s=0.2)
    wait(backoff, 3)
    backoff.reset()
    wait(backoff, 1)
    assert slept[0] == slept[-1] == 0.2
    assert slept[2] > 0.2


def test_jitter_shortens_a_delay_by_a_bounded_part(slept: list[float]) -> None:
    wait(Backoff(MostJitter()), 1)
    assert slept == [MIN_JITTER * INITIAL_DELAY_S]
