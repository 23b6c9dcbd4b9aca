"""Shares an event loop between connections that have received more than can be processed at once.

Each connection processes one small part of its bytes at a time, and the connections take turns.  In one turn
of the event loop the connections of a queue together get a short time only, so that everything else that the
loop has to do goes on meanwhile.  This module does no I/O.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

TIME_PER_TURN_S = 0.004


class Connection(Protocol):
    """A connection as `FairQueue` sees it."""

    def __hash__(self) -> int:
        """Return a hash of the object's identity."""

    def process_part(self) -> bool:
        """Process one part of the received bytes, and return whether another one can be processed now."""

    def fail(self, error: Exception) -> None:
        """Handle an exception of `process_part`."""


class FairQueue:
    """The connections of one server that have a part to process; the one that waits longest comes first.

    `call_soon` calls a function in the next turn of the event loop; `clock` returns seconds.
    """

    def __init__(self, call_soon: Callable[[Callable[[], None]], object], clock: Callable[[], float]) -> None:
        self._call_soon = call_soon
        self._clock = clock
        self._waiting: dict[Connection, None] = {}
        self._used_s = 0.0  # in this turn
        self._is_next_turn_due = False
        self._is_processing = False

    @classmethod
    def on_running_loop(cls) -> FairQueue:
        """Return a queue for the event loop in which it is used."""
        return cls(lambda work: asyncio.get_running_loop().call_soon(work), time.perf_counter)

    def __contains__(self, connection: Connection) -> bool:
        """Return whether a connection waits."""
        return connection in self._waiting

    def add(self, connection: Connection) -> None:
        """Let a connection process its parts: the first one at once if nobody waits and time is left."""
        self._waiting[connection] = None
        if not self._is_processing:
            self._process_parts()

    def remove(self, connection: Connection) -> None:
        """Forget a connection that was closed."""
        self._waiting.pop(connection, None)

    def _process_parts(self) -> None:
        self._is_processing = True
        while self._waiting and self._used_s < TIME_PER_TURN_S:
            started = self._clock()
            self._process_part(next(iter(self._waiting)))
            self._used_s += self._clock() - started
        self._is_processing = False
        if not self._is_next_turn_due:
            self._is_next_turn_due = True
            self._call_soon(self._start_turn)

    def _process_part(self, connection: Connection) -> None:
        del self._waiting[connection]
        try:
            has_more = connection.process_part()
        except Exception as error:  # of this connection, not of the one that was added
            connection.fail(error)
            return
        if has_more:
            self._waiting[connection] = None

    def _start_turn(self) -> None:
        self._used_s = 0.0
        self._is_next_turn_due = False
        if self._waiting:
            self._process_parts()
