"""HTTP/2 towards route nodes: the whole program against scripted nodes on loopback."""

from __future__ import annotations

import asyncio
from typing import Any

from hollowusher.emulator.http2node import Http2Node, Plan
from hollowusher.net.http2.settings import Http2Config
from tests.standins import SocketCase, post


class Http2Case(SocketCase):
    """Runs the program with nodes that are listed as HTTP/2."""

    async def run_h2(self, *nodes: Http2Node, ports: tuple[int, ...] = (), **settings: Any) -> None:
        for node in nodes:
            await node.start()
            self.addAsyncCleanup(node.close)
        for index, port in enumerate([n.port for n in nodes] + list(ports)):
            self.list.add(f"s-{index + 1:x}", port)
        fields: dict[str, Any] = {"ping_after_s": 5.0, **settings}
        self.http2 = Http2Config(True, ("s-*",), **fields)
        await self.run_program()

    async def until(self, node: Http2Node, what: Any) -> None:
        """Wait until something holds of a node."""
        async with asyncio.timeout(10):
            while not what():
                node.changed.clear()
                await node.changed.wait()

    async def job(
        self, name: str, job_class: str = "eta-quote", budget: str = "3", body: bytes = b"parcel"
    ) -> str:
        """A job's answer: status and result."""
        first, _, result = await self.ask(post(name, job_class, budget, body))
        return f"{first.split()[1]} {result.decode()}"


class Streams(Http2Case):
    async def test_many_jobs_share_one_connection(self) -> None:
        node = Http2Node(lambda job: Plan(run_s=0.05))
        await self.run_h2(node)
        answers = await asyncio.gather(*(self.job(f"j{n}") for n in range(20)))
        self.assertEqual(answers, [f"200 r:j{n}" for n in range(20)])
        self.assertEqual(node.accepted, 1)
        self.assertEqual(set(node.runs.values()), {1})
