"""Those who wait until what was appended before is durable."""

from __future__ import annotations

import asyncio

from hollowusher.storage.interface import StorageError


class SyncWaiters:
    """Waiters with the count of records that has to be durable first, in the order they came."""

    def __init__(self) -> None:
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []

    def __bool__(self) -> bool:
        return bool(self._waiters)

    def add(self, target: int) -> asyncio.Future[None]:
        """A future that is done once `target` records are durable."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((target, done))
        return done

    def resolve(self, synced: int) -> None:
        """So many records are durable."""
        waiting = []
        for target, done in self._waiters:
            if target > synced:
                waiting.append((target, done))
            elif not done.done():
                done.set_result(None)
        self._waiters = waiting

    def fail(self, up_to: int, error: StorageError) -> None:
        """Tell those who wait for no more than `up_to` records that these could not be written."""
        waiting = []
        for target, done in self._waiters:
            if target > up_to:
                waiting.append((target, done))
            elif not done.done():
                done.set_exception(StorageError(error.step, error.file, error.reason))
        self._waiters = waiting

    def fail_all(self, error: StorageError) -> None:
        """Tell everyone."""
        for _, done in self._waiters:
            if not done.done():
                done.set_exception(StorageError(error.step, error.file, error.reason))
        self._waiters = []
