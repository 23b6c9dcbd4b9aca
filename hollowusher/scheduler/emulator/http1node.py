"""A route node that speaks the platform's HTTP/1.1 and runs each job for as long as it is told."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import Callable

from hollowusher.scheduler.emulator.http2node import NodePlan


class Http1Node:
    """A route node.  `plan` says of each job's name what becomes of it: done, or a status such as 503."""

    def __init__(self, plan: Callable[[str], NodePlan] = lambda name: NodePlan()) -> None:
        self.plan = plan
        self.port = 0
        self.accepted = self.held = self.most_held = 0
        self.runs: Counter[str] = Counter()
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Take no more connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.held += 1
        self.most_held = max(self.most_held, self.held)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.rstrip().split("\r\n")
                headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines)}
                await reader.readexactly(int(headers.get("content-length", 0)))
                if first.startswith("GET"):
                    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"x0":32}')
                else:
                    await self._answer(writer, headers.get("x-call-id", ""))
        self.held -= 1
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, job: str) -> None:
        plan = self.plan(job)
        if plan.how.isdigit():
            writer.write(f"HTTP/1.1 {plan.how} No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        self.runs[job] += 1
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + self._chunk({"id": job, "state": "started"})
        )
        await asyncio.sleep(plan.run_s)
        result = plan.result if plan.result is not None else f"r:{job}"
        reported: dict[str, object] = {"id": job, "state": plan.how, "result": result}
        if plan.report is not None:
            reported["load"] = plan.report
        writer.write(self._chunk(reported) + b"0\r\n\r\n")

    def _chunk(self, reported: dict[str, object]) -> bytes:
        line = json.dumps(reported).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(line), line)
