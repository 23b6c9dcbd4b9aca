"""Brings the view that a process holds to the seeds of its settings.

Seeds need no disk: after a loss of power of everything they know nothing, and whoever looks for the cluster
asks them.  So every process that holds a view over such a loss (a controller, a store) calls each seed until
it answers with a view as new as the own one, and again now and then, for a seed that starts anew has
forgotten.  The settings may name other seeds at any time.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

import attrs

from hollowusher.protocol.view import OfferView, View, ViewResponse
from hollowusher.transport.interface import PeerError, Transport

OFFER_TIMEOUT_S = 0.6
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
REFRESH_INTERVAL_S = 2.0  # a seed that has answered is called again after this long
TICK_S = 0.1


@attrs.define
class _Seed:
    """What is known of one seed."""

    epoch: int = 0  # of the view that it has answered with
    next_call: float = 0.0
    pause: float = 0.0


class SeedSchedule:
    """Which seeds are to be called when.  No I/O, no clock."""

    def __init__(self, refresh_s: float) -> None:
        self._refresh_s = refresh_s
        self._seeds: dict[str, _Seed] = {}

    def due(self, seeds: Iterable[str], epoch: int, now: float) -> list[str]:
        """The seeds to be called now; those that the settings no longer name are forgotten."""
        self._seeds = {address: self._seeds.get(address, _Seed()) for address in seeds}
        return [
            address
            for address, seed in self._seeds.items()
            if now >= seed.next_call or (0 < seed.epoch < epoch and seed.pause == 0.0)
        ]

    def on_call_started(self, address: str, now: float) -> None:
        """A call has begun: no other one until it has ended, or for `MAX_BACKOFF_S`."""
        seed = self._seeds.get(address)
        if seed is not None:
            seed.next_call = now + MAX_BACKOFF_S

    def answered(self, address: str, epoch: int, now: float) -> None:
        """A seed has answered with the view of this epoch."""
        seed = self._seeds.get(address)
        if seed is not None:
            seed.epoch = epoch
            seed.pause = 0.0
            seed.next_call = now + self._refresh_s

    def on_no_answer(self, address: str, now: float) -> None:
        """A seed has not answered, or without a view."""
        seed = self._seeds.get(address)
        if seed is not None:
            seed.epoch = 0
            seed.pause = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 1.5 * seed.pause))
            seed.next_call = now + seed.pause


class ViewPublisher:
    """One process's calls to the seeds.  `seeds` and `view` tell the present ones; `learn` is called with a
    newer view that a seed knows."""

    def __init__(
        self,
        transport: Transport,
        seeds: Callable[[], list[str]],
        view: Callable[[], View | None],
        learn: Callable[[View], Awaitable[object]],
        chance: random.Random,
        refresh_s: float = REFRESH_INTERVAL_S,
    ) -> None:
        self._transport = transport
        self._seeds = seeds
        self._view = view
        self._learn = learn
        self._chance = chance
        self._schedule = SeedSchedule(refresh_s)
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Call the seeds when it is due; runs until cancelled."""
        while True:
            view = self._view()
            if view is not None:
                self._call_due_seeds(view)
            await asyncio.sleep(TICK_S * self._chance.uniform(0.7, 1.3))

    def _call_due_seeds(self, view: View) -> None:
        now = _now()
        seeds = [address for address in self._seeds() if address != self._transport.address]
        for address in self._schedule.due(seeds, view.epoch, now):
            self._schedule.on_call_started(address, now)
            call = asyncio.get_running_loop().create_task(self._offer(address, view))
            self._calls.add(call)  # each ends by itself within its time-out
            call.add_done_callback(self._calls.discard)

    async def _offer(self, address: str, view: View) -> None:
        try:
            answer = await self._transport.call(address, OfferView(view), OFFER_TIMEOUT_S)
        except PeerError:
            answer = None
        known = answer.view if isinstance(answer, ViewResponse) else None
        if known is None or known.epoch < view.epoch:
            self._schedule.on_no_answer(address, _now())
            return
        self._schedule.answered(address, known.epoch, _now())
        if known.epoch > view.epoch:
            await self._learn(known)


def _now() -> float:
    return asyncio.get_running_loop().time()
