"""The operators' HTTP/1.1 server: one request for each connection, with its own connection limit."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs, urlsplit

from hollowusher.scheduler.component import Component, NoDrain
from hollowusher.scheduler.fronts.platform.http import BadInput, HttpRequest, RequestReader, answer_head
from hollowusher.scheduler.net.accept import ConnectionAcceptor
from hollowusher.scheduler.net.link import Link
from hollowusher.scheduler.net.reports.listener import report_of
from hollowusher.scheduler.operators.detached import DetachedWorkers

MOST_CALLERS = 24  # concurrent connections; a further one closes the oldest connection
CALL_S = 6.0  # time limit for receiving the complete request
SEND_S = 2.0  # time limit for sending the response
READY, FIGURES, REPORT = "/_ready", "/_vars", "/_report"
DETACH, ATTACH = "/_workers/detach", "/_workers/attach"
_RING = 4096


class OperatorsServer(NoDrain):
    """Serves operators' requests, with limits on connections, request size and time."""

    name = "operators"

    def __init__(
        self,
        address: tuple[str, int],
        figures: Callable[[], Iterable[str]],
        detached: DetachedWorkers,
        parts: Iterable[Component],
    ) -> None:
        self._figures, self._detached = figures, detached
        self._parts = parts
        self.ready: Callable[[], bool] = lambda: False  # whether this process accepts clients
        self._acceptor = ConnectionAcceptor(address, self._serve, MOST_CALLERS, _RING, free_connection=True)

    async def start(self) -> None:
        """Start listening; raises OSError if the address is in use."""
        self._acceptor.start()

    async def stop(self) -> None:
        """Stop listening and close all connections, including those with open requests."""
        await self._acceptor.stop()

    def report(self) -> dict[str, object]:
        """Return whether this process accepts clients, and the ids of the detached workers."""
        return {"ready": self.ready(), "detached": sorted(self._detached.names)}

    async def _serve(self, link: Link) -> None:
        try:
            status, body = await self._call(link)
            async with asyncio.timeout(SEND_S):
                await link.send(answer_head(status, len(body), True, "Content-Type: text/plain\r\n"), body)
                await link.linger(SEND_S)
        except (OSError, TimeoutError):
            pass  # the client disconnected, or sent no complete request in time
        finally:
            link.close()

    async def _call(self, link: Link) -> tuple[int, bytes]:
        """Receive the request of a connection and return the status and body of the response."""
        reader = RequestReader()
        try:
            async with asyncio.timeout(CALL_S):
                while not reader.ready:
                    await link.pass_on(reader.feed)
        except BadInput as bad:
            return bad.status, f"{bad.why}\n".encode()
        return self._answer(reader.ready.popleft())

    def _answer(self, request: HttpRequest) -> tuple[int, bytes]:
        target = urlsplit(request.target)
        name = parse_qs(target.query).get("name", [""])[0]
        match request.method, target.path:
            case "GET", path if path == READY:
                return (200, b"ready\n") if self.ready() else (503, b"not ready\n")
            case "GET", path if path == FIGURES:
                return 200, "".join(f"{line}\n" for line in self._figures()).encode()
            case "GET", path if path == REPORT:
                reported = report_of(self._parts, name)
                return 404 if "fault" in reported else 200, json.dumps(reported, default=str).encode() + b"\n"
            case "PUT", path if path == DETACH:
                return self._worker(self._detached.detach, name)
            case "PUT", path if path == ATTACH:
                return self._worker(self._detached.attach, name)
            case _, path if path in (READY, FIGURES, REPORT, DETACH, ATTACH):
                return 405, b"not by this method\n"
        return 404, b"no such call\n"

    def _worker(self, change: Callable[[str], bool], name: str) -> tuple[int, bytes]:
        """Apply a detach or attach request for one worker, and return the status and body of the response."""
        try:
            known = change(name)
        except OSError as wrong:  # the shared directory could not store the change
            return 503, f"{wrong}\n".encode()
        return (200, b"done\n") if known else (404, b"no worker has this id\n")


async def call(address: tuple[str, int], method: str, target: str, most_s: float = 2.0) -> tuple[int, bytes]:
    """Send one request to a running scheduler and return the status and the body.

    Raises OSError if no response arrives, and TimeoutError after `most_s` seconds."""
    async with asyncio.timeout(most_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: {address[0]}\r\n\r\n".encode())
            head, _, body = (await reader.read(-1)).partition(b"\r\n\r\n")
        finally:
            writer.close()
    words = head.split(b" ", 2)
    if len(words) < 2 or not words[1].isdigit():
        raise ConnectionError("the response is not valid HTTP")
    return int(words[1]), body
