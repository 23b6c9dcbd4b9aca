"""Serves component reports: a request is one line with the component's name, the response one line of JSON.

The server closes the connection after the response.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable, Mapping

from hollowusher.scheduler.component import Component, NoDrain
from hollowusher.scheduler.net.accept import ConnectionAcceptor
from hollowusher.scheduler.net.link import Link, connect

MOST_ASKERS = 8  # concurrent connections; the server closes further ones at once
MAX_REQUEST_BYTES = 64
REQUEST_TIMEOUT_S = 1.0  # time limit for a request and its response
_RING = 4096


class Reports(NoDrain):
    """A component that serves the reports of all components to a few operators."""

    name = "reports"

    def __init__(self, address: tuple[str, int], parts: Iterable[Component]) -> None:
        self._parts = list(parts)
        self._acceptor = ConnectionAcceptor(address, self._serve, MOST_ASKERS, _RING)

    async def start(self) -> None:
        """Listen on the address."""
        self._acceptor.start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._acceptor.stop()

    def report(self) -> Mapping[str, object]:
        """Return the names of the components that have a report."""
        return {"parts": sorted(part.name for part in self._parts)}

    async def _serve(self, link: Link) -> None:
        received = bytearray()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                while b"\n" not in received and len(received) <= MAX_REQUEST_BYTES:
                    await link.pass_on(received.extend)
                await link.send(json.dumps(self._response(received), default=str).encode() + b"\n")
        except (OSError, TimeoutError):
            pass  # the client has disconnected or sent no request in time
        finally:
            link.close()

    def _response(self, received: bytearray) -> Mapping[str, object]:
        return report_of(self._parts, bytes(received.partition(b"\n")[0]).decode("latin-1").strip())


def report_of(parts: Iterable[Component], name: str) -> Mapping[str, object]:
    """Return the report of the component `name`, or an error and the known names if there is none."""
    by_name = {part.name: part for part in parts}
    if name in by_name:
        return by_name[name].report()
    return {"fault": f"{name[:MAX_REQUEST_BYTES]!r} is no part that runs here", "parts": sorted(by_name)}


async def ask(address: tuple[str, int], name: str) -> dict[str, object]:
    """Request a component's report from the scheduler at `address`.

    Raises OSError or ValueError if no valid report arrives."""
    link = await connect(address, REQUEST_TIMEOUT_S)
    received = bytearray()
    try:
        async with asyncio.timeout(2 * REQUEST_TIMEOUT_S):
            await link.send(name.encode() + b"\n")
            while not received.endswith(b"\n"):
                await link.pass_on(received.extend)
    finally:
        link.close()
    reported = json.loads(received)
    if not isinstance(reported, dict):
        raise ValueError("the report is not a JSON object")
    return reported
