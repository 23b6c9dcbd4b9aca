"""The single task that runs the job dispatcher, and the event queue in front of it."""

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
    """Drains the event queue in batches, steps the dispatcher once per batch and executes its commands."""

    def __init__(
        self, dispatcher: JobDispatcher, carry_out: Callable[[DispatchCommand], None], log: LogWriter
    ) -> None:
        self._dispatcher, self._carry_out, self._log = dispatcher, carry_out, log
        self._queue: asyncio.Queue[DispatchEvent] = asyncio.Queue()
        self.taps: list[Callable[[DispatchEvent], None]] = []  # called with each posted event

    def post(self, event: DispatchEvent) -> None:
        """Call the taps with the event and queue it for the dispatcher."""
        for tap in self.taps:
            tap(event)
        self._queue.put_nowait(event)

    def remember(self) -> LearnedState:
        """Return the learned state of the dispatcher's decision module."""
        return self._dispatcher.remember()

    @property
    def avoided(self) -> frozenset[int]:
        """The listed workers that the decision module currently avoids as suspect."""
        return self._dispatcher.suspect_workers()

    @property
    def busy(self) -> bool:
        """Whether any job is open or any event is queued."""
        return self._dispatcher.open_jobs > 0 or not self._queue.empty()

    async def run(self) -> None:
        """Process events until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty():
                batch.append(self._queue.get_nowait())
            try:
                commands = self._dispatcher.process(time.monotonic_ns(), batch)
            except Exception as fault:  # a failed step must not end the jobs of other clients
                self._log.error("desk-fault", "the decision module failed in a step", fault=repr(fault))
                continue
            for command in commands:
                if isinstance(command, WakeDispatcher):
                    # Rounded up, because the event loop's timers have a resolution of one millisecond.
                    delay = math.ceil(command.in_ns / _NS_PER_MS) / 1000
                    loop.call_later(delay, self.post, TimerExpired())
                    continue
                try:
                    self._carry_out(command)
                except Exception as fault:  # a failed command must not prevent the commands after it
                    self._log.error("order-fault", "a dispatcher command failed", fault=repr(fault))
