"""Answers questions for reports: one line with a part's name in, one line of JSON out, and the end."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable, Mapping

from hollowusher.scheduler.component import Component, NoDrain
from hollowusher.scheduler.net.accept import ConnectionAcceptor
from hollowusher.scheduler.net.link import Link, connect

MOST_ASKERS = 8  # at a time; more are closed at once
MOST_QUESTION = 64  # bytes
QUESTION_S = 1.0  # for the question to come and the answer to go
_RING = 4096


class Reports(NoDrain):
    """A part that asks the others.  It serves a few people, and costs the jobs nothing."""

    name = "reports"

    def __init__(self, address: tuple[str, int], parts: Iterable[Component]) -> None:
        self._parts = list(parts)
        self._acceptor = ConnectionAcceptor(address, self._serve, MOST_ASKERS, _RING)

    async def start(self) -> None:
        """Listen."""
        self._acceptor.start()

    async def stop(self) -> None:
        """End, whoever is asking."""
        await self._acceptor.stop()

    def report(self) -> Mapping[str, object]:
        """The names of the parts that can be asked."""
        return {"parts": sorted(part.name for part in self._parts)}

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
        return report_of(self._parts, bytes(heard.partition(b"\n")[0]).decode("latin-1").strip())


def report_of(parts: Iterable[Component], name: str) -> Mapping[str, object]:
    """What the part of this name tells of itself; a fault and the names where there is none."""
    by_name = {part.name: part for part in parts}
    if name in by_name:
        return by_name[name].report()
    return {"fault": f"{name[:MOST_QUESTION]!r} is no part that runs here", "parts": sorted(by_name)}


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
    reported = json.loads(heard)
    if not isinstance(reported, dict):
        raise ValueError("not a report")
    return reported
