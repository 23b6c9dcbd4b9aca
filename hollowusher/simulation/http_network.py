"""HTTP exchanges between simulated machines, without sockets: one exchange is one connection.

An exchange can be refused, meet silence, be reset under way, or lose its answer; a caller that leaves closes
the connection, which the server may notice.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from hollowusher.simulation.addresses import host_of
from hollowusher.simulation.event_loop import SimulatedProcess, current_process
from hollowusher.simulation.network import SimulatedNetwork

RESEND_S = 0.2


@dataclass(frozen=True)
class HttpRequest:
    """An HTTP request."""

    method: str
    target: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header; the case of its name does not matter."""
        wanted = name.lower()
        return next((value for key, value in self.headers.items() if key.lower() == wanted), default)


@dataclass(frozen=True)
class HttpResponse:
    """An HTTP response."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header; the case of its name does not matter."""
        wanted = name.lower()
        return next((value for key, value in self.headers.items() if key.lower() == wanted), default)


class HttpExchangeError(Exception):
    """An exchange without an answer.  `sent` is False where the server certainly never saw the request."""

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


class HttpExchange:
    """One request on its way; servers see whether its caller has left."""

    def __init__(self, request: HttpRequest, source: str, caller: SimulatedProcess | None) -> None:
        self.request = request
        self.source = source
        self.caller = caller
        self.reached = False
        self.server: HttpServer | None = None
        self.closed = asyncio.Event()
        self.read = False  # the caller has taken the complete answer
        self.on_read: Callable[[], None] | None = None


class HttpServer(Protocol):
    """Something that answers HTTP at an address."""

    @property
    def process(self) -> SimulatedProcess | None:
        """The process that it belongs to; None outside the system."""

    async def serve(self, exchange: HttpExchange) -> HttpResponse | None:
        """Return the response; None closes the connection without one."""


class UnresponsiveServerError(Exception):
    """Raised by a server that never answers and keeps the connection open."""


class HttpNetwork:
    """All HTTP servers of the cluster, by address."""

    def __init__(self, network: SimulatedNetwork) -> None:
        self.network = network
        self.servers: dict[str, HttpServer] = {}
        self.exchanges = 0
        self._open: dict[HttpExchange, asyncio.Future[HttpResponse]] = {}

    def listen(self, address: str, server: HttpServer) -> None:
        """Have a server answer at an address."""
        self.servers[address] = server

    def stop_listening(self, address: str) -> None:
        """Nothing listens at an address any more."""
        self.servers.pop(address, None)

    def process_ended(self, process: SimulatedProcess) -> None:
        """Servers of a process end; exchanges that it served or made are closed."""
        for address, server in list(self.servers.items()):
            if server.process is process:
                del self.servers[address]
                self.server_ended(server, host_of(address))
        for exchange in list(self._open):
            if exchange.caller is process:
                exchange.closed.set()
                del self._open[exchange]

    def server_ended(self, server: HttpServer, host: str) -> None:
        """Reset the open exchanges of a server, if its host can still send a reset."""
        for exchange, future in list(self._open.items()):
            if exchange.server is server:
                exchange.closed.set()
                if self.network.reaches(host, exchange.source):
                    self.network.loop.call_outside(self.network.delay(), _fail_sent, future, "reset")

    async def exchange(
        self, source: str, address: str, request: HttpRequest, timeout_s: float
    ) -> HttpResponse:
        """Send a request and return the response; `HttpExchangeError` if none came."""
        loop = self.network.loop
        exchange = HttpExchange(request, source, current_process())
        future: asyncio.Future[HttpResponse] = loop.create_future()
        self._open[exchange] = future
        self.exchanges += 1
        loop.call_outside(self.network.delay(), self._arrive, exchange, address, future)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await future
        except TimeoutError:
            raise HttpExchangeError("timeout", sent=exchange.reached) from None
        finally:
            exchange.closed.set()
            self._open.pop(exchange, None)
        exchange.read = True
        if exchange.on_read is not None:
            exchange.on_read()
        return answer

    def _arrive(self, exchange: HttpExchange, address: str, future: asyncio.Future[HttpResponse]) -> None:
        if exchange.closed.is_set() or future.done():
            return
        network = self.network
        there = host_of(address)
        if network.rejects(exchange.source, there):
            network.loop.call_outside(network.delay(), _fail_unsent, future, "refused")
            return
        if not (network.reaches(exchange.source, there) and network.reaches(there, exchange.source)):
            network.loop.call_outside(RESEND_S, self._arrive, exchange, address, future)
            return
        server = self.servers.get(address)
        if server is None:
            network.loop.call_outside(network.delay(), _fail_unsent, future, "refused")
            return
        exchange.reached = True
        exchange.server = server
        work = self._serve(exchange, server, there, future)
        if server.process is not None:
            server.process.run(work)
        else:
            network.loop.call_outside(0.0, _spawn, network.loop, work)

    async def _serve(
        self, exchange: HttpExchange, server: HttpServer, host: str, future: asyncio.Future[HttpResponse]
    ) -> None:
        try:
            answer = await server.serve(exchange)
        except UnresponsiveServerError:
            return
        self.network.loop.call_outside(self.network.delay(), self._return, exchange, host, answer, future)

    def _return(
        self,
        exchange: HttpExchange,
        host: str,
        answer: HttpResponse | None,
        future: asyncio.Future[HttpResponse],
    ) -> None:
        if future.done() or exchange.closed.is_set():
            return
        if not self.network.reaches(host, exchange.source):
            self.network.loop.call_outside(RESEND_S, self._return, exchange, host, answer, future)
        elif answer is None:
            _fail_sent(future, "reset")
        else:
            future.set_result(answer)


def _spawn(loop: asyncio.AbstractEventLoop, work: Coroutine[object, object, None]) -> None:
    loop.create_task(work)


def _fail_sent(future: asyncio.Future[HttpResponse], reason: str) -> None:
    _fail(future, HttpExchangeError(reason, sent=True))


def _fail_unsent(future: asyncio.Future[HttpResponse], reason: str) -> None:
    _fail(future, HttpExchangeError(reason, sent=False))


def _fail(future: asyncio.Future[HttpResponse], error: HttpExchangeError) -> None:
    if not future.done():
        future.set_exception(error)
        future.exception()
