"""Calls and one-way messages between processes over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.codec import encode
from hollowusher.protocol.control_chain import ReadControlState
from hollowusher.protocol.membership import MemberRegistered
from hollowusher.protocol.view import ReadView
from hollowusher.transport import tcp
from hollowusher.transport.interface import Handler, PeerError
from hollowusher.transport.tcp import ANSWER, LENGTH, ONE_WAY, REQUEST, TcpTransport, split_address
from tests.support.standins import free_port

TEST_TIMEOUT_S = 20.0  # only a hanging test reaches this timeout
SHORT_TIMEOUT_S = 0.05


class Pair:
    """Two processes: `client` calls, `server` answers with its handler."""

    def __init__(self) -> None:
        self.server = TcpTransport(f"127.0.0.1:{free_port()}")
        self.client = TcpTransport(f"127.0.0.1:{free_port()}")
        self.failures: list[tuple[str, str]] = []
        self.server.on_failure = lambda message, error: self.failures.append(
            (type(message).__name__, str(error))
        )

    async def call(self, message: Any, timeout: float = TEST_TIMEOUT_S) -> Any:
        return await self.client.call(self.server.address, message, timeout)

    async def open_raw_connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a raw connection to the server that can send arbitrary bytes."""
        return await asyncio.open_connection(*split_address(self.server.address))


def run_scenario(handler: Handler, scenario: Callable[[Pair], Awaitable[None]]) -> None:
    """Run a scenario with two processes, then close both."""

    async def run() -> None:
        pair = Pair()
        await pair.server.start(handler)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scenario(pair)
        finally:
            await pair.client.close()
            await pair.server.close()

    asyncio.run(run())


async def echo(message: Any) -> Any:
    return message


async def error_of(work: Awaitable[Any]) -> PeerError:
    with pytest.raises(PeerError) as caught:
        await work
    return caught.value


def frame(number: int, kind: int, message: Any) -> bytes:
    data = encode([number, kind, message])
    return LENGTH.pack(len(data)) + data


async def ended(reader: asyncio.StreamReader) -> bool:
    """Return whether the peer has closed the connection without sending a byte."""
    try:
        return await reader.read() == b""
    except ConnectionResetError:
        return True


def test_calls_share_a_connection_and_get_their_own_answers() -> None:
    async def scenario(pair: Pair) -> None:
        answers = await asyncio.gather(*(pair.call(MemberRegistered(number)) for number in range(50)))
        assert answers == [MemberRegistered(number) for number in range(50)]
        assert len(pair.server.accepted) == 1
        assert pair.client.connected(pair.server.address)

    run_scenario(echo, scenario)


def test_a_response_does_not_wait_for_an_earlier_call() -> None:
    async def scenario(pair: Pair) -> None:
        slow = asyncio.ensure_future(pair.call(MemberRegistered(1)))
        assert await pair.call(MemberRegistered(2)) == MemberRegistered(2)
        assert not slow.done()
        release.set()
        assert await slow == MemberRegistered(1)

    async def handler(message: Any) -> Any:
        if message == MemberRegistered(1):
            await release.wait()
        return message

    release = asyncio.Event()
    run_scenario(handler, scenario)


def test_large_messages_arrive_complete() -> None:
    async def scenario(pair: Pair) -> None:
        body = bytes(3 * 1024 * 1024)
        assert await pair.call([MemberRegistered(1), body]) == [MemberRegistered(1), body]

    run_scenario(echo, scenario)


def test_a_handler_that_fails_is_reported_to_both_sides() -> None:
    async def handler(message: Any) -> Any:
        raise RuntimeError("out of order")

    async def scenario(pair: Pair) -> None:
        error = await error_of(pair.call(ReadView()))
        assert (error.step, error.peer, error.sent) == ("ReadView", pair.server.address, True)
        assert "RuntimeError: out of order" in error.reason
        assert pair.failures == [("ReadView", "out of order")]
        assert pair.server.failed_handlers == 1

    run_scenario(handler, scenario)


def test_one_way_messages_arrive_without_a_response() -> None:
    async def scenario(pair: Pair) -> None:
        pair.client.send(pair.server.address, MemberRegistered(1))
        assert await received.get() == MemberRegistered(1)
        pair.client.send(pair.server.address, MemberRegistered(2))
        assert await received.get() == MemberRegistered(2)
        pair.client.send("127.0.0.1:1", MemberRegistered(3))  # no process listens there: no error is raised

    async def handler(message: Any) -> Any:
        received.put_nowait(message)

    received: asyncio.Queue[Any] = asyncio.Queue()
    run_scenario(handler, scenario)


def test_a_refused_connection_marks_the_call_as_not_sent() -> None:
    async def scenario(pair: Pair) -> None:
        error = await error_of(pair.client.call(f"127.0.0.1:{free_port()}", ReadView(), TEST_TIMEOUT_S))
        assert not error.sent
        assert error.reason.startswith("no connection")

    run_scenario(echo, scenario)


async def silent_to_read_view(message: Any) -> Any:
    if message == ReadView():
        await asyncio.Event().wait()
    return message


def test_the_connection_of_a_silent_peer_is_closed() -> None:
    async def scenario(pair: Pair) -> None:
        error = await error_of(pair.call(ReadView(), SHORT_TIMEOUT_S))
        assert error.sent
        assert error.reason == "no answer in 0.05 s"
        while pair.client.connected(pair.server.address):
            await asyncio.sleep(0)
        assert await pair.call(Acknowledgement()) == Acknowledgement()

    run_scenario(silent_to_read_view, scenario)


def test_a_call_right_after_a_timeout_opens_another_connection() -> None:
    async def scenario(pair: Pair) -> None:
        await error_of(pair.call(ReadView(), SHORT_TIMEOUT_S))
        assert await pair.call(Acknowledgement()) == Acknowledgement()

    run_scenario(silent_to_read_view, scenario)


def test_a_connection_that_receives_other_responses_stays_open() -> None:
    async def scenario(pair: Pair) -> None:
        await pair.call(Acknowledgement())
        (connection,) = pair.server.accepted
        late = asyncio.ensure_future(pair.call(ReadView(), 2 * SHORT_TIMEOUT_S))
        await asyncio.sleep(0)
        assert await pair.call(Acknowledgement()) == Acknowledgement()
        await error_of(late)
        assert pair.server.accepted == {connection}

    run_scenario(silent_to_read_view, scenario)


def test_a_closed_connection_fails_its_pending_calls_at_once() -> None:
    async def scenario(pair: Pair) -> None:
        waiting = [asyncio.ensure_future(pair.call(message)) for message in (ReadView(), ReadControlState())]
        await reached.wait()
        await pair.server.close()
        for call in waiting:
            error = await error_of(call)
            assert (error.reason, error.sent) == ("connection lost", True)

    async def handler(message: Any) -> Any:
        if message == ReadControlState():
            reached.set()
        await asyncio.Event().wait()

    reached = asyncio.Event()
    run_scenario(handler, scenario)


@pytest.mark.parametrize(
    "data",
    [
        LENGTH.pack(tcp.MAX_FRAME_BYTES + 1),
        LENGTH.pack(1) + b"\xc1",
        LENGTH.pack(0),
        LENGTH.pack(1) + encode(7),
        LENGTH.pack(len(encode([1, 1]))) + encode([1, 1]),
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
    ids=["too long", "unreadable", "empty", "a number", "too few", "HTTP"],
)
def test_a_malformed_frame_closes_only_its_own_connection(data: bytes) -> None:
    async def scenario(pair: Pair) -> None:
        assert await pair.call(MemberRegistered(1)) == MemberRegistered(1)
        reader, writer = await pair.open_raw_connection()
        writer.write(data)
        assert await ended(reader)
        writer.close()
        assert await pair.call(MemberRegistered(2)) == MemberRegistered(2)
        assert len(pair.server.accepted) == 1

    run_scenario(echo, scenario)


def test_frames_are_decoded_byte_by_byte_and_several_at_once() -> None:
    async def scenario(pair: Pair) -> None:
        reader, writer = await pair.open_raw_connection()
        first, others = frame(1, REQUEST, MemberRegistered(1)), frame(2, REQUEST, MemberRegistered(2)) * 2
        for place in range(len(first)):
            writer.write(first[place : place + 1])
            await writer.drain()
        writer.write(frame(9, ONE_WAY, MemberRegistered(9)) + others)
        wanted = frame(1, ANSWER, MemberRegistered(1)) + frame(2, ANSWER, MemberRegistered(2)) * 2
        assert await reader.readexactly(len(wanted)) == wanted
        writer.close()

    run_scenario(echo, scenario)


def test_a_response_without_a_pending_call_is_ignored() -> None:
    async def scenario(pair: Pair) -> None:
        reader, writer = await pair.open_raw_connection()
        writer.write(
            frame(1, ANSWER, Acknowledgement())
            + frame(2, 77, Acknowledgement())
            + frame(3, REQUEST, Acknowledgement())
        )
        wanted = frame(3, ANSWER, Acknowledgement())
        assert await reader.readexactly(len(wanted)) == wanted
        writer.close()

    run_scenario(echo, scenario)


def test_a_call_is_rejected_above_the_limit_of_unsent_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(pair: Pair) -> None:
        await pair.call(Acknowledgement())
        monkeypatch.setattr(tcp, "MAX_UNSENT_BYTES", -1)
        error = await error_of(pair.call(Acknowledgement()))
        assert (error.reason, error.sent) == ("too many unsent bytes", False)

    run_scenario(echo, scenario)
