"""Tests of reading the worker list over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from aiohttp import web

from hollowusher.coordination.controller import worker_list_reader
from hollowusher.coordination.controller.call_rate_limiter import CallRateLimiter
from hollowusher.coordination.controller.errors import WorkerListReadError
from hollowusher.coordination.controller.worker_list_reader import MAX_PAGE_BYTES, WorkerListReader
from hollowusher.coordination.controller.worker_list_timing import WorkerListTiming
from hollowusher.protocol.worker_list import PlatformWorkerList
from tests.support.worker_list_pages import ENTRY, entry, names, page

Answer = Callable[[web.Request], Awaitable[web.Response]]


def read_from(answer: Answer, work: Callable[[WorkerListReader], Awaitable[None]]) -> None:
    async def play() -> None:
        app = web.Application()
        app.router.add_get("/instances", answer)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        reader = WorkerListReader(f"{host}:{port}", WorkerListTiming(20_000.0))
        try:
            await work(reader)
        finally:
            await reader.close()
            await runner.cleanup()

    asyncio.run(play())


def test_all_pages_are_read_over_one_connection() -> None:
    seen: list[tuple[str | None, Any]] = []
    pages: dict[str | None, bytes] = {
        None: page(entry(id="a"), token="p/1&x"),
        "p/1&x": page(entry(id="b"), token="p2"),
        "p2": page(entry(id="c")),
    }

    async def answer(request: web.Request) -> web.Response:
        token = request.query.get("pageToken")
        assert request.transport is not None
        seen.append((token, request.transport.get_extra_info("peername")))
        return web.Response(body=pages[token], content_type="application/json")

    async def work(reader: WorkerListReader) -> None:
        for _ in range(2):
            listed = await reader.read()
            assert isinstance(listed, PlatformWorkerList)
            assert names(listed.workers) == ["a", "b", "c"]
        assert reader.calls == 6

    read_from(answer, work)
    assert [token for token, _ in seen] == [None, "p/1&x", "p2"] * 2
    assert len({peer for _, peer in seen}) == 1


def test_rejections_and_malformed_responses_raise_errors_with_the_address() -> None:
    answers = [web.Response(status=429), web.Response(status=500), web.Response(body=b"{")]

    async def answer(request: web.Request) -> web.Response:
        return answers.pop(0) if answers else web.Response(body=page(ENTRY))

    async def work(reader: WorkerListReader) -> None:
        for _ in range(3):
            reader._rate_limiter = CallRateLimiter(20_000.0, 1.0)  # resets the backoff
            with pytest.raises(WorkerListReadError) as caught:
                await reader.read()
            assert caught.value.peer == reader.address
            assert caught.value.step == "read the list"
        reader._rate_limiter = CallRateLimiter(20_000.0, 1.0)
        listed = await reader.read()
        assert listed is not None
        assert names(listed.workers) == ["i-7f3a91c2"]

    read_from(answer, work)


def test_an_unreachable_platform_raises_an_error() -> None:
    async def play() -> None:
        reader = WorkerListReader("127.0.0.1:9", WorkerListTiming(20_000.0))
        try:
            with pytest.raises(WorkerListReadError):
                await reader.read()
        finally:
            await reader.close()

    asyncio.run(play())


def test_a_failed_page_does_not_change_the_list() -> None:
    bodies = [page(entry(id="a")), page(entry(id="b"), token="p2"), b"broken", page(entry(id="b"))]

    async def answer(request: web.Request) -> web.Response:
        return web.Response(body=bodies.pop(0))

    async def work(reader: WorkerListReader) -> None:
        first = await reader.read()
        with pytest.raises(WorkerListReadError):
            await reader.read()
        reader._rate_limiter = CallRateLimiter(20_000.0, 1.0)
        last = await reader.read()
        assert first is not None
        assert last is not None
        assert (names(first.workers), names(last.workers)) == (["a"], ["b"])

    read_from(answer, work)


def test_a_page_that_is_too_long_raises_an_error_and_the_next_read_works() -> None:
    answers = [web.Response(body=b" " * (MAX_PAGE_BYTES + 1))]

    async def answer(request: web.Request) -> web.Response:
        return answers.pop(0) if answers else web.Response(body=page(ENTRY))

    async def work(reader: WorkerListReader) -> None:
        with pytest.raises(WorkerListReadError, match="too long"):
            await reader.read()
        reader._rate_limiter = CallRateLimiter(20_000.0, 1.0)  # resets the backoff
        assert await reader.read() is not None

    read_from(answer, work)


def test_pages_without_end_raise_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(worker_list_reader, "MAX_WORKERS", 10)

    async def answer(request: web.Request) -> web.Response:
        return web.Response(body=page(ENTRY, token="next"))

    async def work(reader: WorkerListReader) -> None:
        with pytest.raises(WorkerListReadError, match="too many workers"):
            await reader.read()
        assert reader.calls == 11

    read_from(answer, work)
