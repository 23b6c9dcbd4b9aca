"""A bounded pool of connections to one address, which are reused because opening a connection is costly."""

from __future__ import annotations

import asyncio
import math

import attrs

from hollowusher.delivery.http_connection import (
    DeliveryResponse,
    ExchangeError,
    HttpConnection,
    ResponseMatcher,
)
from hollowusher.transport.fair_queue import FairQueue
from hollowusher.transport.tcp import split_address

CONNECT_TIMEOUT_S = 1.0
FAILED_STATUS = 500


class NoFreeConnectionError(ExchangeError):
    """Raised if all the connections that the peer accepts are in use."""


class ConnectionPool:
    """At most `limit` connections to `address`.

    The pool reuses the most recently used connection first, so that surplus connections idle out.  Pools that
    share a `parse_queue` parse their responses in turn."""

    def __init__(self, address: str, limit: int, parse_queue: FairQueue) -> None:
        self.address = address
        self.limit = max(1, limit)
        self.opened_count = 0  # connections opened since the start
        self.last_used = 0.0
        self.is_retired = False  # if true, a connection is closed after its current request
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()
        self._connecting = 0
        self._parse_queue = parse_queue

    @property
    def open_count(self) -> int:
        """The number of connections that are open or being opened."""
        return len(self._open) + self._connecting

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress."""
        return self.open_count > len(self._idle)

    async def exchange(
        self,
        request: bytes,
        matches: ResponseMatcher,
        deadline: float,
        is_idempotent: bool = False,
        start_deadline: float = math.inf,
        message_id: str = "",
    ) -> DeliveryResponse:
        """Send a request and return its response, or raise `ExchangeError` if there is none by `deadline`.

        The pool sends nothing after `start_deadline`: if the process was frozen while it opened the
        connection, the lease of the request may have expired.

        `is_idempotent` means that the request may run twice.  The pool then sends it again on a new
        connection if a reused connection is lost before any byte of a response.  In that case the peer has
        most likely closed the idle connection while the request was on its way.

        `message_id` is the id that responses repeat.  A message that failed is not sent again on the same
        connection, where a duplicate response to the first attempt would match the second one.

        Both deadlines are in event loop time."""
        self.last_used = asyncio.get_running_loop().time()
        connection = self._pop_idle(message_id) or await self._connect(deadline)
        self._check_start_deadline(connection, start_deadline)
        try:
            return await self._exchange_on(connection, request, matches, deadline, message_id)
        except ExchangeError as error:
            was_idle_closed = (
                error.reused and not error.answered and error.reason.startswith("connection lost")
            )
            if error.sent and not (was_idle_closed and is_idempotent):
                raise
            sent_before = error.sent
        connection = await self._connect(deadline, may_have_run=sent_before)
        self._check_start_deadline(connection, start_deadline, may_have_run=sent_before)
        response = await self._exchange_on(connection, request, matches, deadline, message_id)
        return attrs.evolve(response, is_resend=sent_before)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            connection.close()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self._idle):
            self._remove(connection)
            connection.close()

    def retire(self) -> None:
        """Close the idle connections now, and each other connection after its current request."""
        self.is_retired = True
        self.close_idle()

    def _check_start_deadline(
        self, connection: HttpConnection, start_deadline: float, may_have_run: bool = False
    ) -> None:
        if asyncio.get_running_loop().time() > start_deadline:
            self._return_connection(connection)
            raise ExchangeError("send", self.address, "start deadline has passed", sent=may_have_run)

    async def _exchange_on(
        self,
        connection: HttpConnection,
        request: bytes,
        matches: ResponseMatcher,
        deadline: float,
        message_id: str,
    ) -> DeliveryResponse:
        response = await connection.exchange(request, matches, deadline)
        if response.status == FAILED_STATUS and message_id:
            connection.failed_message_ids.add(message_id)
        self._return_connection(connection)
        return response

    def _return_connection(self, connection: HttpConnection) -> None:
        if connection.is_usable and not self.is_retired:
            self._idle.append(connection)
        else:
            connection.close()

    def _pop_idle(self, message_id: str) -> HttpConnection | None:
        """Remove and return the most recently used connection on which this message has not failed, or None.

        Unusable connections found on the way are closed."""
        for place in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[place]
            if not connection.is_usable:
                del self._idle[place]
                connection.close()
            elif message_id not in connection.failed_message_ids:
                del self._idle[place]
                return connection
        return None

    async def _connect(self, deadline: float, may_have_run: bool = False) -> HttpConnection:
        # The idle connections that are left cannot carry this request: close one to make room for a new one.
        if self.open_count >= self.limit and self._idle:
            spare = self._idle[0]
            self._remove(spare)
            spare.close()
        if self.open_count >= self.limit:
            raise NoFreeConnectionError("connect", self.address, "no free connection", sent=may_have_run)
        loop = asyncio.get_running_loop()
        host, port = split_address(self.address)
        self._connecting += 1
        try:
            async with asyncio.timeout_at(min(deadline, loop.time() + CONNECT_TIMEOUT_S)):
                _, connection = await loop.create_connection(
                    lambda: HttpConnection(self.address, self._remove, self._parse_queue), host, port
                )
        except TimeoutError:
            raise ExchangeError("connect", self.address, "no connection in time", sent=may_have_run) from None
        except OSError as error:
            raise ExchangeError(
                "connect", self.address, f"no connection: {error}", sent=may_have_run
            ) from None
        finally:
            self._connecting -= 1
        self.opened_count += 1
        if not connection.is_usable:  # the connection was lost before this task resumed
            raise ExchangeError("connect", self.address, "connection lost", sent=may_have_run)
        self._open.add(connection)
        return connection

    def _remove(self, connection: HttpConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
