"""Answers questions for reports: one line with a part's name in, one line of JSON out, and the end."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable, Mapping

from hollowusher.net.link import Link, connect, listen
from hollowusher.parts import Part, Plain

MOST_ASKERS = 8  # at a time; more are closed at once
MOST_QUESTION = 64  # bytes
QUESTION_S = 1.0  # for the question to come and the answer to go
_RING = 4096


class Reports(Plain):
    """A part that asks the others.  It serves a few people, and costs the jobs nothing."""

    name = "reports"

    def __init__(self, address: tuple[str, int], parts: Iterable[Part]) -> None:
        self._address = address
        self._parts = {part.name: part for part in parts}
        self._askers: set[asyncio.Task[None]] = set()
        self._accepting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        self._listener = listen(self._address)
        self._accepting = asyncio.create_task(self._accept())

    async def stop(self) -> None:
        """End, whoever is asking."""
        if self._accepting is not None:
            self._accepting.cancel()
            self._listener.close()
        for task in self._askers:
            task.cancel()

    def report(self) -> Mapping[str, object]:
        """The names of the parts that can be asked."""
        return {"parts": sorted(self._parts)}

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self._listener)
            except OSError:  # no descriptor left: those who wait are served when there is one
                await asyncio.sleep(QUESTION_S)
                continue
            if len(self._askers) >= MOST_ASKERS:
                sock.close()
                continue
            sock.setblocking(False)
            task = asyncio.create_task(self._serve(Link(sock, _RING)))
            self._askers.add(task)
            task.add_done_callback(self._askers.discard)

    async def _serve(self, link: Link) -> None:
        heard = bytearray()
        try:
            async with asyncio.timeout(QUESTION_S):
                while b"\n" not in heard and len(heard) <= MOST_QUESTION:
                    await link.pass_on(heard.extend)
                await link.send(json.dumps(self._answer(heard), default=str).encode() + b"\n")
        except (OSError, TimeoutError):
            pass  # whoever asked is gone, or never asked
        finally:
            link.close()

    def _answer(self, heard: bytearray) -> Mapping[str, object]:
        asked = bytes(heard.partition(b"\n")[0]).decode("latin-1").strip()
        part = self._parts.get(asked)
        if part is None:
            return {"fault": f"{asked[:MOST_QUESTION]!r} is no part that runs here", **self.report()}
        return part.report()


async def ask(address: tuple[str, int], name: str) -> dict[str, object]:
    """The report of a part of the scheduler there; OSError, ValueError where none comes."""
    link = await connect(address, QUESTION_S)
    heard = bytearray()
    try:
        async with asyncio.timeout(2 * QUESTION_S):
            await link.send(name.encode() + b"\n")
            while not heard.endswith(b"\n"):
                await link.pass_on(heard.extend)
    finally:
        link.close()
    told = json.loads(heard)
    if not isinstance(told, dict):
        raise ValueError("not a report")
    return told
