"""Publishes a process's view to the seeds in its settings.

Seeds need no disk, so after a power loss of the whole cluster they know no view, although starting processes
query them for one.  Therefore every process that stores its view on disk (a controller or a store) offers the
view to each seed until the seed responds with a view that is at least as new.  It repeats the offer regularly
because a restarted seed has lost the view.  The seeds in the settings may change at any time.
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
BACKOFF_GROWTH = 1.5
REFRESH_INTERVAL_S = 2.0  # pause before the next call to a seed that has responded
TICK_S = 0.1
MIN_JITTER = 0.7
MAX_JITTER = 1.3


@attrs.define
class _Seed:
    """The time of the next call to one seed, and the epoch of the last view that the seed returned."""

    epoch: int = 0  # 0: the last call failed or returned no current view
    next_call_s: float = 0.0
    backoff_s: float = 0.0  # 0: no call has failed since the last success


class SeedSchedule:
    """Schedule of the calls to the seeds.  No I/O, no clock.

    Times are seconds of the owner's monotonic clock.
    """

    def __init__(self, refresh_interval_s: float) -> None:
        self._refresh_interval_s = refresh_interval_s
        self._seeds: dict[str, _Seed] = {}

    def due(self, seeds: Iterable[str], epoch: int, now_s: float) -> list[str]:
        """Return the seeds to call now, and forget all seeds that are not in `seeds`.

        A seed whose last response contained a view older than `epoch` is due at once.
        """
        self._seeds = {address: self._seeds.get(address, _Seed()) for address in seeds}
        return [
            address
            for address, seed in self._seeds.items()
            if now_s >= seed.next_call_s or (0 < seed.epoch < epoch and seed.backoff_s == 0.0)
        ]

    def on_call_started(self, address: str, now_s: float) -> None:
        """Schedule no other call to this seed until the call has ended, or for `MAX_BACKOFF_S`."""
        seed = self._seeds.get(address)
        if seed is not None:
            seed.next_call_s = now_s + MAX_BACKOFF_S

    def on_answer(self, address: str, epoch: int, now_s: float) -> None:
        """Record that a seed has responded with a current view, whose epoch is `epoch`."""
        seed = self._seeds.get(address)
        if seed is not None:
            seed.epoch = epoch
            seed.backoff_s = 0.0
            seed.next_call_s = now_s + self._refresh_interval_s

    def on_no_answer(self, address: str, now_s: float) -> None:
        """Record that a seed has not responded, or has responded without a current view."""
        seed = self._seeds.get(address)
        if seed is not None:
            seed.epoch = 0
            seed.backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, BACKOFF_GROWTH * seed.backoff_s))
            seed.next_call_s = now_s + seed.backoff_s


@attrs.frozen
class ViewAccess:
    """Access to the view of the publishing process."""

    current: Callable[[], View | None]
    learn: Callable[[View], Awaitable[object]]  # called with a newer view from a seed


class ViewPublisher:
    """Offers one process's view to the seeds.

    `seeds` returns the current addresses of the seeds.
    """

    def __init__(
        self,
        transport: Transport,
        seeds: Callable[[], list[str]],
        view: ViewAccess,
        random_source: random.Random,
        refresh_interval_s: float = REFRESH_INTERVAL_S,
    ) -> None:
        self._transport = transport
        self._seeds = seeds
        self._view = view
        self._random_source = random_source
        self._schedule = SeedSchedule(refresh_interval_s)
        self._calls: set[asyncio.Task[None]] = set()  # `run` cancels the remaining ones when it ends

    async def run(self) -> None:
        """Call each seed when it is due, until cancelled; then cancel the calls in progress, too."""
        try:
            while True:
                view = self._view.current()
                if view is not None:
                    self._call_due_seeds(view)
                await asyncio.sleep(TICK_S * self._random_source.uniform(MIN_JITTER, MAX_JITTER))
        finally:
            for call in self._calls:
                call.cancel()

    def _call_due_seeds(self, view: View) -> None:
        now_s = _now_s()
        seeds = [address for address in self._seeds() if address != self._transport.address]
        for address in self._schedule.due(seeds, view.epoch, now_s):
            self._schedule.on_call_started(address, now_s)
            call = asyncio.get_running_loop().create_task(self._offer(address, view))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _offer(self, address: str, view: View) -> None:
        try:
            answer = await self._transport.call(address, OfferView(view), OFFER_TIMEOUT_S)
        except PeerError:
            answer = None
        known = answer.view if isinstance(answer, ViewResponse) else None
        if known is None or known.epoch < view.epoch:
            self._schedule.on_no_answer(address, _now_s())
            return
        self._schedule.on_answer(address, known.epoch, _now_s())
        if known.epoch > view.epoch:
            await self._view.learn(known)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
