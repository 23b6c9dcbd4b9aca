"""The one task that owns the dispatch desk, and the one queue that leads to it."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

from hollowusher.balancing.learned_state import LearnedState
from hollowusher.scheduler.dispatch.dispatcher import JobDispatcher
from hollowusher.scheduler.dispatch.model import DispatchCommand, DispatchEvent, TimerExpired, WakeDispatcher
from hollowusher.scheduler.log import LogWriter

_NS_PER_MS = 1_000_000


class DispatcherOwner:
    """Drains the queue in batches, steps the desk once for each, and has its orders carried out."""

    def __init__(
        self, dispatcher: JobDispatcher, carry_out: Callable[[DispatchCommand], None], log: LogWriter
    ) -> None:
        self._dispatcher, self._carry_out, self._log = dispatcher, carry_out, log
        self._queue: asyncio.Queue[DispatchEvent] = asyncio.Queue()
        self.taps: list[Callable[[DispatchEvent], None]] = []  # who else is told of each event

    def post(self, event: DispatchEvent) -> None:
        """Hand the desk an event."""
        for tap in self.taps:
            tap(event)
        self._queue.put_nowait(event)

    def remember(self) -> LearnedState:
        """What the decision module has learnt."""
        return self._dispatcher.remember()

    @property
    def avoided(self) -> frozenset[int]:
        """The workers in the list that the decision module avoids."""
        return self._dispatcher.suspect_workers()

    @property
    def busy(self) -> bool:
        """Whether jobs are open or events wait."""
        return self._dispatcher.open_jobs > 0 or not self._queue.empty()

    async def run(self) -> None:
        """Own the desk until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty():
                batch.append(self._queue.get_nowait())
            try:
                orders = self._dispatcher.process(time.monotonic_ns(), batch)
            except Exception as fault:  # one bad step must not end the jobs that others still wait for
                self._log.error("desk-fault", "the decision module failed in a step", fault=repr(fault))
                continue
            for order in orders:
                if isinstance(
                    order, WakeDispatcher
                ):  # rounded up: the loop's timers count whole milliseconds
                    delay = math.ceil(order.in_ns / _NS_PER_MS) / 1000
                    loop.call_later(delay, self.post, TimerExpired())
                    continue
                try:
                    self._carry_out(order)
                except Exception as fault:  # nor one order that cannot be carried out those that follow it
                    self._log.error("order-fault", "an order could not be carried out", fault=repr(fault))
