"""Stand-ins of the platform's list, of pushed workers and of pull workers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from support.http import Message, Reply, Server
from support.system import Record


@dataclass
class Listed:
    """An entry of the platform's list."""

    id: str
    upstream: str
    address: str
    zone: str
    capacity: int
    state: str = "ready"


class Platform:
    """The platform's list of workers."""

    def __init__(self, ip: str) -> None:
        self.workers: list[Listed] = []
        self.server = Server(ip, self._answer)

    async def _answer(self, request: Message) -> Reply:
        if request.target.partition("?")[0] != "/instances":
            return Reply(404)
        listed = [{**worker.__dict__, "generation": "v1", "warmupLeftMs": 0} for worker in self.workers]
        body = json.dumps({"instances": listed, "nextPageToken": None}).encode()
        return Reply(200, {"Content-Type": "application/json"}, body)


@dataclass
class Run:
    """One run of a message at a worker; the times are seconds since the start of the script."""

    message: str
    worker: str
    started: float
    deadline_ms: int
    ended: float = 0.0
    status: int = 0
    signature: str = ""


@dataclass
class Worker:
    """A pushed worker with `capacity` slots, which works `work_s` seconds on each message.

    It stops at the X-Deadline-Ms that it is given and answers 504 then.
    """

    name: str
    ip: str
    record: Record
    runs: list[Run]
    work_s: Callable[[Message], float]
    capacity: int = 4
    _running: int = 0
    server: Server = field(init=False)

    def __post_init__(self) -> None:
        self.server = Server(self.ip, self._answer)

    async def _answer(self, request: Message) -> Reply:
        if request.method == "GET":
            return Reply(200, {"X-Instance-Id": self.name})
        message = request.headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": message}
        if not message:
            return Reply(400, {"X-Not-Executed": "1"})
        if request.headers.get("x-target-instance", self.name) != self.name:
            return Reply(421, {**echo, "X-Not-Executed": "1"})
        if self._running >= self.capacity:
            return Reply(503, {**echo, "X-Not-Executed": "1"})
        deadline_ms = int(request.headers.get("x-deadline-ms", "0"))
        run = Run(message, self.name, self.record.now(), deadline_ms)
        self.runs.append(run)
        self.record.line(f"worker {self.name}: starts {message}, deadline {deadline_ms} ms")
        self._running += 1
        work_s = self.work_s(request)
        try:
            if deadline_ms and work_s * 1000 > deadline_ms:
                await asyncio.sleep(deadline_ms / 1000)
                run.status = 504
            else:
                await asyncio.sleep(work_s)
                run.status, run.signature = 200, f"{self.name}.{message}.{len(self.runs)}"
        finally:
            self._running -= 1
        run.ended = self.record.now()
        self.record.line(f"worker {self.name}: ends {message} with {run.status}")
        if run.status == 200:
            return Reply(200, {**echo, "X-Server-Signature": run.signature}, b"done")
        return Reply(run.status, echo)
