"""The callers that wait for records to become durable."""

from __future__ import annotations

import asyncio

from hollowusher.storage.interface import StorageError


class SyncWaiters:
    """Futures of waiting callers in order of arrival, each with the count of records to make durable."""

    def __init__(self) -> None:
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    def __bool__(self) -> bool:
        return bool(self._waiters)

    def add(self, target: int) -> asyncio.Future[None]:
        """Return a future that completes once `target` records are durable."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((target, done))
        return done

    def resolve(self, synced: int) -> None:
        """Complete the futures that wait for at most `synced` durable records."""
        waiting = []
        for target, done in self._waiters:
            if target > synced:
                waiting.append((target, done))
            elif not done.done():
                done.set_result(None)
        self._waiters = waiting

    def fail(self, up_to: int, error: StorageError) -> None:
        """Fail the futures that wait for at most `up_to` durable records."""
        waiting = []
        for target, done in self._waiters:
            if target > up_to:
                waiting.append((target, done))
            elif not done.done():
                done.set_exception(StorageError(error.step, error.file, error.reason))
        self._waiters = waiting

    def fail_all(self, error: StorageError) -> None:
        """Fail all futures."""
        for _, done in self._waiters:
            if not done.done():
                done.set_exception(StorageError(error.step, error.file, error.reason))
        self._waiters = []
