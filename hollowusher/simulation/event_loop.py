"""An asyncio event loop in virtual time, and the processes whose code runs on it.

Time stands while anything is ready and then jumps to the next timer, so a run depends on its seed alone.
Each callback belongs to the simulated process in whose context it was scheduled: callbacks of a killed
process never run again (not even its `finally` clauses), those of a frozen one are held until it is thawed.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import inspect
import itertools
import traceback
import weakref
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

MAX_CALLBACKS_PER_INSTANT = 500_000
MIN_TIMER_S = 0.00002
ResultT = TypeVar("ResultT")


class DeadlockError(Exception):
    """Nothing is ready and no timer is set, but the main task has not ended."""


class LivelockError(Exception):
    """Virtual time does not advance: callbacks keep scheduling each other."""


class SimulatedProcess:
    """One incarnation of a program: all that it schedules runs in its own context and ends with it."""

    def __init__(self, name: str, incarnation: int = 1) -> None:
        self.name = name
        self.incarnation = incarnation
        self.alive = True
        self.frozen = False
        self.context = contextvars.Context()
        self.context.run(_current_process.set, self)
        self.failures: list[str] = []  # errors that nobody caught
        self._deferred: list[asyncio.Handle] = []
        self._tasks: list[asyncio.Task[Any]] = []  # kept, so that a killed task is never finalized early

    def __repr__(self) -> str:
        return f"{self.name}#{self.incarnation}"

    def run(self, work: Coroutine[Any, Any, ResultT]) -> asyncio.Task[ResultT]:
        """Run a coroutine as part of this process."""
        return asyncio.get_running_loop().create_task(work, context=self.context.copy())

    def defer(self, handle: asyncio.Handle) -> None:
        """Defer a callback until the process is thawed."""
        self._deferred.append(handle)

    def take_deferred(self) -> list[asyncio.Handle]:
        """Take the deferred callbacks, oldest first."""
        deferred, self._deferred = self._deferred, []
        return deferred

    def track(self, task: asyncio.Task[Any]) -> None:
        """Keep a reference to a task of this process."""
        self._tasks.append(task)
        if len(self._tasks) > 2_000:
            self.collect_failures()

    def collect_failures(self) -> None:
        """Note the errors of ended tasks that nobody has asked for, and forget those tasks."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task._log_traceback:
                self.failures.append(_describe_failure(task))
        self._tasks = [kept for kept in self._tasks if not kept.done()]

    def kill(self) -> None:
        """End the process: no callback of it runs again."""
        self.alive = False
        self.collect_failures()
        self._deferred.clear()
        for task in self._tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]


def _describe_failure(task: asyncio.Task[Any]) -> str:
    error = task.exception()
    assert error is not None
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename.rpartition('/')[2]}:{frames[-1].lineno}" if frames else "unknown"
    return f"task failed: {type(error).__name__}: {error} ({place})"


_current_process: contextvars.ContextVar[SimulatedProcess] = contextvars.ContextVar("simulated_process")
_outside = contextvars.Context()


def current_process() -> SimulatedProcess | None:
    """Return the process whose code is running, None outside all of them."""
    return _current_process.get(None)


_hashes = itertools.count(1)


class _VirtualFuture(asyncio.Future):  # type: ignore[type-arg]
    """A future whose hash does not depend on its address, so that sets of futures keep one order."""

    def __init__(self, *, loop: Any = None) -> None:
        super().__init__(loop=loop)
        self._hash = next(_hashes)

    def __hash__(self) -> int:
        return self._hash


class _VirtualTask(asyncio.Task):  # type: ignore[type-arg]
    """A task that its process remembers."""

    def __hash__(self) -> int:
        return self._hash

    def __init__(self, coro: Any, *, loop: Any = None, name: Any = None, context: Any = None) -> None:
        self._hash = next(_hashes)
        super().__init__(coro, loop=loop, name=name, context=context)
        process = context.get(_current_process) if context is not None else current_process()
        if process is not None:
            process.track(self)


class VirtualTimeLoop(asyncio.BaseEventLoop):
    """The event loop; `time()` starts at 1000 s so that no code takes zero for a time."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 1000.0
        self._numbers = itertools.count()
        self._timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self._ready: deque[asyncio.Handle] = deque()
        self._callbacks_this_instant = 0
        self.callbacks = 0
        self.failures: list[str] = []
        self._all_tasks: weakref.WeakSet[asyncio.Task[Any]] = weakref.WeakSet()
        self.set_task_factory(self._make_task)
        self.set_exception_handler(self._record_failure)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def create_future(self) -> asyncio.Future[Any]:
        """Create a future of this loop."""
        return _VirtualFuture(loop=self)

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: Any = None,
    ) -> asyncio.Handle:
        """Run a callback at the present virtual time, after those already ready."""
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Any = None,
    ) -> asyncio.TimerHandle:
        """Run a callback at a virtual time; equal times run in the order of the calls.

        A timer takes at least `MIN_TIMER_S`, so that timers alone cannot stop the time.
        """
        when = max(when, self._now + MIN_TIMER_S)
        timer = asyncio.TimerHandle(when, callback, args, self, context)
        heapq.heappush(self._timers, (when, next(self._numbers), timer))
        return timer

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Any = None,
    ) -> asyncio.TimerHandle:
        """Run a callback after a virtual delay."""
        return self.call_at(self._now + delay, callback, *args, context=context)

    def call_outside(self, delay: float, callback: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        """Run a callback that belongs to no process (the network, the platform)."""
        return self.call_at(self._now + delay, callback, *args, context=_outside.copy())

    def call_soon_threadsafe(  # type: ignore[override]
        self,
        callback: Callable[..., Any],
        *args: Any,
        context: Any = None,
    ) -> asyncio.Handle:
        """Reject the call: a simulation has no threads."""
        raise RuntimeError("no threads in virtual time")

    def run_in_executor(  # type: ignore[override]
        self,
        executor: Any,
        func: Callable[..., Any],
        *args: Any,
    ) -> Any:
        """Reject the call: a simulation has no threads."""
        raise RuntimeError("no threads in virtual time")

    def freeze(self, process: SimulatedProcess) -> None:
        """Defer all callbacks of a process."""
        process.frozen = True

    def thaw(self, process: SimulatedProcess) -> None:
        """Let a frozen process go on with its deferred callbacks."""
        process.frozen = False
        self._ready.extend(process.take_deferred())

    def play(self, work: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Run a main coroutine to its end; `DeadlockError` where it can never end."""
        return self.run_until_complete(work)

    def shut(self) -> None:
        """Discard everything that is still to run, and close."""
        for task in list(self._all_tasks):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            work = task.get_coro()
            if inspect.iscoroutine(work) and inspect.getcoroutinestate(work) == inspect.CORO_CREATED:
                work.close()  # it was never begun, and is not to be reported as never awaited
        self._ready.clear()
        self._timers.clear()
        self.close()

    def _run_once(self) -> None:
        if not self._ready:
            self._advance_time()
        while self._ready and not self._stopping:  # type: ignore[attr-defined]
            self._run_handle(self._ready.popleft())

    def _run_handle(self, handle: asyncio.Handle) -> None:
        if handle.cancelled():
            return
        context = handle._context  # type: ignore[attr-defined]
        process = context.get(_current_process)
        if process is not None and not process.alive:
            return
        if process is not None and process.frozen:
            process.defer(handle)
            return
        self.callbacks += 1
        self._callbacks_this_instant += 1
        if self._callbacks_this_instant > MAX_CALLBACKS_PER_INSTANT:
            raise LivelockError(f"time stands at {self._now:.6f}; last callback: {handle!r}")
        handle._run()

    def _advance_time(self) -> None:
        while self._timers and self._timers[0][2].cancelled():
            heapq.heappop(self._timers)
        if not self._timers:
            raise DeadlockError(self._describe_tasks())
        if self._timers[0][0] > self._now:
            self._now = self._timers[0][0]
            self._callbacks_this_instant = 0
        while self._timers and self._timers[0][0] <= self._now:
            self._ready.append(heapq.heappop(self._timers)[2])

    def _describe_tasks(self) -> str:
        waiting = sorted(repr(task.get_coro()) for task in self._all_tasks if not task.done())
        return "nothing can happen any more; waiting: " + "; ".join(waiting[:10])

    def _make_task(self, loop: Any, coro: Any, context: Any = None) -> asyncio.Task[Any]:
        task = _VirtualTask(coro, loop=loop, context=context)
        self._all_tasks.add(task)
        return task

    def _record_failure(self, loop: Any, details: dict[str, Any]) -> None:
        error = details.get("exception")
        text = f"{details.get('message')}: {type(error).__name__}: {error}"
        process = current_process()
        self.failures.append(f"{self._now:.3f} {process}: {text}")
        if process is not None:
            process.failures.append(text)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing: cancelled timers are dropped when their time comes."""

    def _process_events(self, event_list: Any) -> None:
        """Do nothing: there are no file descriptors."""

    def _write_to_self(self) -> None:
        """Do nothing: no other thread wakes this loop."""
