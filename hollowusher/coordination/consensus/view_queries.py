"""Parallel queries to several processes, such as the query for the newest decided view."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from hollowusher.protocol.view import ReadView, View, ViewResponse
from hollowusher.transport.interface import PeerError, Transport

QUERY_TIMEOUT_S = 0.4


async def call_all(
    transport: Transport, addresses: Iterable[str], message: object, timeout_s: float
) -> list[object]:
    """Send a request to all addresses; return the responses that arrive within `timeout_s` seconds.

    Failed calls (`PeerError`) are left out; any other exception is raised.
    """
    calls = [transport.call(address, message, timeout_s) for address in addresses]
    answers = await asyncio.gather(*calls, return_exceptions=True)
    failures = [answer for answer in answers if isinstance(answer, BaseException)]
    for failure in failures:
        if not isinstance(failure, PeerError):
            raise failure
    return [answer for answer in answers if not isinstance(answer, BaseException)]


async def fetch_newest_view(transport: Transport, addresses: Iterable[str]) -> View | None:
    """Query all addresses; return the newest view in the responses, None if there is none."""
    answers = await call_all(transport, addresses, ReadView(), QUERY_TIMEOUT_S)
    views = [
        answer.view for answer in answers if isinstance(answer, ViewResponse) and answer.view is not None
    ]
    return max(views, key=lambda view: view.epoch, default=None)
