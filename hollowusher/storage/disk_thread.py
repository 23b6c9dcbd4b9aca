"""The disk thread of a process: it writes and syncs, so that a slow disk never blocks the event loop.

An executor of the standard library costs several times as much per job, because it creates two futures with
their locks.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from queue import SimpleQueue
from typing import Any, Protocol

Job = Callable[[], Any]
Done = Callable[[Any], None]  # takes the result of the job, or the `Exception` that it raised


class DiskWorker(Protocol):
    """Runs jobs one after the other, in the order of submission."""

    def submit(self, job: Job, done: Done) -> None:
        """Run `job`, then call `done` with its result in the running event loop."""


class DiskThread:
    """A `DiskWorker` with a daemon thread, which starts with the first job."""

    def __init__(self) -> None:
        self._jobs: SimpleQueue[tuple[asyncio.AbstractEventLoop, Job, Done]] = SimpleQueue()
        self._thread: threading.Thread | None = None

    def submit(self, job: Job, done: Done) -> None:
        """Run `job`, then call `done` with its result in the running event loop."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._work, name="disk", daemon=True)
            self._thread.start()
        self._jobs.put((asyncio.get_running_loop(), job, done))

    def _work(self) -> None:
        while True:
            loop, job, done = self._jobs.get()
            result = run_job(job)
            with suppress(RuntimeError):  # the event loop has been closed in the meantime
                loop.call_soon_threadsafe(done, result)
            del loop, job, done, result  # the thread holds no references while it waits for the next job


def run_job(job: Job) -> Any:
    """Run a job and return its result, or the exception that it raised."""
    try:
        return job()
    except Exception as error:
        return error


_shared = DiskThread()


def shared_disk_thread() -> DiskThread:
    """Return the disk thread that all logs and slots of a process share."""
    return _shared
