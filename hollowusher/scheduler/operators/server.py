"""The operators' address: HTTP/1.1, one call a connection, on its own few connections."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs, urlsplit

from hollowusher.scheduler.component import Component, Plain
from hollowusher.scheduler.fronts.platform.http import BadInput, HttpRequest, RequestReader, answer_head
from hollowusher.scheduler.net.accept import ConnectionAcceptor
from hollowusher.scheduler.net.link import Link
from hollowusher.scheduler.net.reports.listener import report_of
from hollowusher.scheduler.operators.detached import DetachedWorkers

MOST_CALLERS = 24  # at a time; one more ends the call that has been longest in coming
CALL_S = 6.0  # for a call to come whole
SEND_S = 2.0  # for its answer to be read
READY, FIGURES, REPORT = "/_ready", "/_vars", "/_report"
DETACH, ATTACH = "/_workers/detach", "/_workers/attach"
_RING = 4096


class OperatorsServer(Plain):
    """A part that answers operators.  What it costs is bounded in connections, bytes and time."""

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
        self.ready: Callable[[], bool] = lambda: False  # whether this process takes clients
        self._acceptor = ConnectionAcceptor(address, self._serve, MOST_CALLERS, _RING, free_connection=True)

    async def start(self) -> None:
        """Listen."""
        self._acceptor.start()

    async def stop(self) -> None:
        """End, whoever is asking."""
        await self._acceptor.stop()

    def report(self) -> dict[str, object]:
        """Whether this process takes clients, and which workers are out by hand."""
        return {"ready": self.ready(), "detached": sorted(self._detached.names)}

    async def _serve(self, link: Link) -> None:
        try:
            status, body = await self._call(link)
            async with asyncio.timeout(SEND_S):
                await link.send(answer_head(status, len(body), True, "Content-Type: text/plain\r\n"), body)
                await link.linger(SEND_S)
        except (OSError, TimeoutError):
            pass  # whoever called is gone, or never called
        finally:
            link.close()

    async def _call(self, link: Link) -> tuple[int, bytes]:
        """The answer to the one call that comes on a connection."""
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
        """A call about one worker."""
        try:
            known = change(name)
        except OSError as wrong:  # it could not be noted where it would outlive this process
            return 503, f"{wrong}\n".encode()
        return (200, b"done\n") if known else (404, b"no worker has this id\n")


async def call(address: tuple[str, int], method: str, target: str, most_s: float = 2.0) -> tuple[int, bytes]:
    """One call to a running scheduler: the status and the body; OSError where no answer comes."""
    async with asyncio.timeout(most_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: {address[0]}\r\n\r\n".encode())
            head, _, body = (await reader.read(-1)).partition(b"\r\n\r\n")
        finally:
            writer.close()
    words = head.split(b" ", 2)
    if len(words) < 2 or not words[1].isdigit():
        raise ConnectionError("no HTTP answer")
    return int(words[1]), body
