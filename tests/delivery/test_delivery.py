"""Tests of the HTTP worker client against misbehaving loopback servers, and of the lease end reporter."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

import attrs
import pytest
import uvloop

from hollowusher.delivery.http_connection import DeliveryResponse
from hollowusher.delivery.lease_end_reporter import REPORT_TIMEOUT_S, LeaseEndReporter
from hollowusher.delivery.metrics import DeliveryMetrics
from hollowusher.delivery.outcome import WorkerFeedback
from hollowusher.delivery.worker_client import (
    LATE_RESPONSE_S,
    Endpoint,
    HttpWorkerClient,
    interpret_response,
    matches_message,
)
from hollowusher.protocol.leases import FinishLease, LeaseUpdateResponse
from hollowusher.simulation.event_loop import VirtualTimeLoop
from hollowusher.transport.interface import PeerError
from tests.support.dispatch import job, play

TIMEOUT_S = 0.5
VERY_SHORT_S = 0.05 - LATE_RESPONSE_S


@attrs.define
class Exchange:
    """One request as read by a server, with its connection."""

    head: str
    body: bytes
    connection: int  # number of the connection, from 1
    request: int  # number of the request on it, from 1
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def id(self) -> str:
        """The message id of the request."""
        return self.header("X-Attempt-Id")

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string if it is missing."""
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(": ")
            if key.lower() == name.lower():
                return value
        return ""

    def send(self, data: bytes) -> None:
        """Write to the client."""
        self.writer.write(data)


Responder = Callable[[Exchange], Awaitable[None]]


def http_response(
    identifier: str, status: int = 200, signature: str = "sig", body: bytes = b"done", extra: str = ""
) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"X-Attempt-Id: {identifier}"] if identifier else []
    lines += [f"X-Server-Signature: {signature}"] if signature and status == 200 else []
    lines += [extra] if extra else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A worker on loopback whose responses are written by a `Responder`."""

    def __init__(self, responder: Responder) -> None:
        self.responder = responder
        self.exchanges: list[Exchange] = []
        self.connections = 0
        self.address = ""
        self.closed = asyncio.Event()  # set when a connection has ended

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            for request in range(1, 1_000):
                head = (await reader.readuntil(b"\r\n\r\n")).decode()[:-4]
                exchange = Exchange(head, b"", number, request, reader, writer)
                exchange.body = await reader.readexactly(int(exchange.header("Content-Length") or 0))
                self.exchanges.append(exchange)
                await self.responder(exchange)
                if writer.is_closing():
                    break
        writer.close()
        self.closed.set()


@contextlib.asynccontextmanager
async def running_server(responder: Responder) -> AsyncIterator[tuple[Server, HttpWorkerClient, Endpoint]]:
    """Start a server; yield it with a client and its endpoint as a listed worker."""
    server = Server(responder)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    server.address = f"{host}:{port}"
    client = HttpWorkerClient()
    try:
        yield server, client, Endpoint(server.address, "i-1")
    finally:
        await client.close()
        listener.close()


def run_on_uvloop(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a coroutine on uvloop, which production uses, with a limit of 10 seconds."""
    uvloop.run(asyncio.wait_for(work(), 10))


async def respond_success(exchange: Exchange) -> None:
    """Respond like a correct worker: with success and the id of the message."""
    exchange.send(http_response(exchange.id))


def reset(exchange: Exchange) -> None:
    transport: Any = exchange.writer.transport
    transport.abort()


class TestRequest:
    def test_the_request_is_unchanged(self) -> None:
        async def work() -> None:
            async with running_server(respond_success) as (server, client, endpoint):
                message = job(
                    1,
                    body=b"\x00\xffbytes",
                    content_type="application/x-thing",
                    ordering_key="k7",
                    headers=[["X-Trace", "t"], ["Host", "evil"]],
                )
                outcome = await client.deliver(endpoint, message, 1.25)
                assert (outcome.result, outcome.signature) == ("success", "sig")
                assert outcome.started is not None and outcome.elapsed_s >= 0
                exchange = server.exchanges[0]
                assert exchange.head.split("\r\n") == [
                    "POST /p HTTP/1.1",
                    "Host: r1.example",
                    "X-Attempt-Id: m1",
                    "X-Deadline-Ms: 1250",
                    "X-Ordering-Key: k7",
                    "X-Target-Instance: i-1",
                    "Content-Type: application/x-thing",
                    "X-Trace: t",
                    "Content-Length: 7",
                ]
                assert exchange.body == b"\x00\xffbytes"

        run_on_uvloop(work)

    def test_a_fixed_endpoint_gets_no_instance_header_and_an_empty_body_gets_a_length(self) -> None:
        async def work() -> None:
            async with running_server(respond_success) as (server, client, endpoint):
                await client.deliver(Endpoint(endpoint.address), job(1, body=b""), TIMEOUT_S)
                assert "X-Target-Instance" not in server.exchanges[0].head
                assert server.exchanges[0].header("Content-Length") == "0"

        run_on_uvloop(work)

    @pytest.mark.parametrize("field", [{"ordering_key": "a\r\nX-Evil: 1"}, {"content_type": "a\nb"}])
    def test_a_field_with_a_line_break_prevents_the_request(self, field: dict[str, Any]) -> None:
        async def work() -> None:
            async with running_server(respond_success) as (server, client, endpoint):
                outcome = await client.deliver(endpoint, job(1, **field), TIMEOUT_S)
                assert (outcome.result, outcome.feedback) == ("not_run", WorkerFeedback.NEUTRAL)
                assert server.exchanges == []

        run_on_uvloop(work)


class TestAnswers:
    @pytest.mark.parametrize(
        ("status", "extra", "result", "feedback"),
        [
            (500, "", "failed", WorkerFeedback.FAILED),
            (422, "", "refused", WorkerFeedback.DONE),
            (504, "", "unknown", WorkerFeedback.FAILED),
            (404, "", "unknown", WorkerFeedback.FAILED),
            (503, "X-Not-Executed: 1", "not_run", WorkerFeedback.FULL),
            (429, "X-Not-Executed: 1", "not_run", WorkerFeedback.RATE),
            (409, "X-Not-Executed: 1", "not_run", WorkerFeedback.NEUTRAL),
            (409, "", "not_run", WorkerFeedback.NEUTRAL),
            (400, "X-Not-Executed: 1", "not_run", WorkerFeedback.NEUTRAL),
            (400, "", "unknown", WorkerFeedback.FAILED),
            (421, "", "not_run", WorkerFeedback.GONE),
            (503, "", "unknown", WorkerFeedback.FULL),
        ],
    )
    def test_the_outcome_follows_from_the_status_and_the_header(
        self, status: int, extra: str, result: str, feedback: WorkerFeedback
    ) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                exchange.send(http_response(exchange.id, status, extra=extra))

            async with running_server(respond) as (_, client, endpoint):
                outcome = await client.deliver(endpoint, job(1), TIMEOUT_S)
                assert (outcome.result, outcome.feedback) == (result, feedback)

        run_on_uvloop(work)

    def test_a_message_that_runs_elsewhere_has_a_retry_delay(self) -> None:
        assert interpret_response(DeliveryResponse(409, {"X-Attempt-Id": "m1"})).retry_ms == 300

    def test_a_success_without_a_signature_is_unknown(self) -> None:
        outcome = interpret_response(DeliveryResponse(200, {"X-Attempt-Id": "m1"}))
        assert (outcome.result, outcome.feedback) == ("unknown", WorkerFeedback.LOST)

    def test_a_response_without_an_id_is_neither_a_success_nor_a_failure(self) -> None:
        assert not matches_message(DeliveryResponse(200, {"X-Server-Signature": "s"}), "m1")
        for status in (422, 500):
            assert interpret_response(DeliveryResponse(status, {})).result == "unknown"
        assert interpret_response(DeliveryResponse(503, {"X-Not-Executed": "1"})).result == "not_run"

    def test_a_chunked_response_must_be_complete(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                head = [
                    "HTTP/1.1 200 OK",
                    "Transfer-Encoding: chunked",
                    f"X-Attempt-Id: {exchange.id}",
                    "X-Server-Signature: sig",
                    "",
                    "4",
                    "done",
                    "",
                ]
                exchange.send("\r\n".join(head).encode())
                if exchange.id == "m2":
                    exchange.writer.close()
                else:
                    exchange.send(b"0\r\n\r\n")

            async with running_server(respond) as (_, client, endpoint):
                assert (await client.deliver(endpoint, job(1), TIMEOUT_S)).result == "success"
                assert (await client.deliver(endpoint, job(2), TIMEOUT_S)).result == "unknown"

        run_on_uvloop(work)

    def test_a_compressed_response_is_not_decompressed(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                exchange.send(http_response(exchange.id, body=b"no gzip", extra="Content-Encoding: gzip"))

            async with running_server(respond) as (_, client, endpoint):
                assert (await client.deliver(endpoint, job(1), TIMEOUT_S)).result == "success"

        run_on_uvloop(work)

    def test_an_interim_response_is_ignored(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                exchange.send(b"HTTP/1.1 102 Processing\r\n\r\n" + http_response(exchange.id))

            async with running_server(respond) as (_, client, endpoint):
                assert (await client.deliver(endpoint, job(1), TIMEOUT_S)).result == "success"

        run_on_uvloop(work)

    @pytest.mark.parametrize(
        "sent",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\nX-Attempt-Id: m1\r\n"
            b"X-Server-Signature: s\r\n\r\nshort",
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b"garbage that is no answer\r\n\r\n",
            b"",
        ],
    )
    def test_a_truncated_or_invalid_response_is_unknown(self, sent: bytes) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                exchange.send(sent)
                exchange.writer.close()

            async with running_server(respond) as (_, client, endpoint):
                outcome = await client.deliver(endpoint, job(1), TIMEOUT_S)
                assert (outcome.result, outcome.feedback) == ("unknown", WorkerFeedback.LOST)

        run_on_uvloop(work)

    def test_a_reset_after_the_request_is_unknown(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                reset(exchange)

            async with running_server(respond) as (_, client, endpoint):
                outcome = await client.deliver(endpoint, job(1), TIMEOUT_S)
                assert (outcome.result, outcome.feedback) == ("unknown", WorkerFeedback.LOST)

        run_on_uvloop(work)

    def test_a_response_timeout_is_unknown_and_closes_the_connection(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                if exchange.id != "m1":
                    exchange.send(http_response(exchange.id))

            async with running_server(respond) as (server, client, endpoint):
                outcome = await client.deliver(endpoint, job(1), VERY_SHORT_S)
                assert (outcome.result, outcome.feedback) == ("unknown", WorkerFeedback.LOST)
                await server.closed.wait()
                assert (await client.deliver(endpoint, job(2), TIMEOUT_S)).result == "success"
                assert server.connections == 2

        run_on_uvloop(work)

    def test_no_connection_means_not_run(self) -> None:
        async def work() -> None:
            async with running_server(respond_success) as (_, client, _unused):
                listener = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
                host, port = listener.sockets[0].getsockname()
                listener.close()
                await listener.wait_closed()
                outcome = await client.deliver(Endpoint(f"{host}:{port}", "i-2"), job(1), TIMEOUT_S)
                assert (outcome.result, outcome.feedback) == ("not_run", WorkerFeedback.UNREACHABLE)
                assert outcome.started is None

        run_on_uvloop(work)


class TestConnections:
    def test_a_connection_is_reused(self) -> None:
        async def work() -> None:
            async with running_server(respond_success) as (server, client, endpoint):
                for number in range(5):
                    assert (await client.deliver(endpoint, job(number), TIMEOUT_S)).result == "success"
                assert server.connections == client.connections_opened == 1

        run_on_uvloop(work)

    def test_a_connection_carries_one_request_at_a_time(self) -> None:
        async def work() -> None:
            gate = asyncio.Event()

            async def respond(exchange: Exchange) -> None:
                await gate.wait()
                exchange.send(http_response(exchange.id))

            async with running_server(respond) as (server, client, endpoint):
                tasks = [asyncio.create_task(client.deliver(endpoint, job(n), TIMEOUT_S)) for n in range(3)]
                while len(server.exchanges) < 3:
                    await asyncio.sleep(0)
                assert server.connections == 3
                gate.set()
                assert [outcome.result for outcome in await asyncio.gather(*tasks)] == ["success"] * 3

        run_on_uvloop(work)

    def test_never_more_connections_than_the_worker_accepts(self) -> None:
        async def work() -> None:
            gate = asyncio.Event()

            async def respond(exchange: Exchange) -> None:
                await gate.wait()
                exchange.send(http_response(exchange.id))

            async with running_server(respond) as (server, client, endpoint):
                narrow = attrs.evolve(endpoint, max_connections=2)
                tasks = [asyncio.create_task(client.deliver(narrow, job(n), TIMEOUT_S)) for n in range(2)]
                while len(server.exchanges) < 2:
                    await asyncio.sleep(0)
                outcome = await client.deliver(narrow, job(9), TIMEOUT_S)
                assert (outcome.result, outcome.feedback) == ("not_run", WorkerFeedback.NEUTRAL)
                gate.set()
                await asyncio.gather(*tasks)
                assert server.connections == 2

        run_on_uvloop(work)

    def test_the_response_to_another_message_is_skipped(self) -> None:
        """A faulty worker repeats an earlier response before the right one.

        The client skips the repeated response, uses the right one and then closes the connection."""

        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                if exchange.id == "m2":
                    exchange.send(http_response("m1", signature="old"))
                exchange.send(http_response(exchange.id, signature=f"for-{exchange.id}"))

            async with running_server(respond) as (server, client, endpoint):
                for number in (1, 2, 3):
                    outcome = await client.deliver(endpoint, job(number), TIMEOUT_S)
                    assert (outcome.result, outcome.signature) == ("success", f"for-m{number}")
                assert [exchange.connection for exchange in server.exchanges] == [1, 1, 2]

        run_on_uvloop(work)

    def test_a_response_to_another_message_does_not_complete_the_request(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                exchange.send(http_response("other"))

            async with running_server(respond) as (_, client, endpoint):
                outcome = await client.deliver(endpoint, job(1), VERY_SHORT_S)
                assert (outcome.result, outcome.feedback) == ("unknown", WorkerFeedback.LOST)

        run_on_uvloop(work)

    def test_a_duplicate_response_on_an_idle_connection_is_discarded(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                exchange.send(http_response(exchange.id))
                if exchange.id == "m1":
                    exchange.send(http_response(exchange.id, 500))

            async with running_server(respond) as (server, client, endpoint):
                assert (await client.deliver(endpoint, job(1), TIMEOUT_S)).result == "success"
                await server.closed.wait()
                outcome = await client.deliver(endpoint, job(2), TIMEOUT_S)
                assert outcome.result == "success"
                assert server.connections == 2

        run_on_uvloop(work)

    def test_a_late_duplicate_response_closes_the_idle_connection(self) -> None:
        async def work() -> None:
            late = asyncio.Event()

            async def respond(exchange: Exchange) -> None:
                exchange.send(http_response(exchange.id))
                if exchange.id == "m1":
                    await late.wait()
                    exchange.send(http_response(exchange.id, 500))

            async with running_server(respond) as (server, client, endpoint):
                assert (await client.deliver(endpoint, job(1), TIMEOUT_S)).result == "success"
                late.set()
                await server.closed.wait()
                assert (await client.deliver(endpoint, job(2), TIMEOUT_S)).result == "success"
                assert server.connections == 2

        run_on_uvloop(work)

    def test_the_start_of_a_duplicate_response_is_not_parsed_as_the_next_response(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                second = http_response(exchange.id, 500)
                exchange.send(http_response(exchange.id) + (second[:-2] if exchange.id == "m1" else b""))

            async with running_server(respond) as (_, client, endpoint):
                assert (await client.deliver(endpoint, job(1), TIMEOUT_S)).result == "success"
                assert (await client.deliver(endpoint, job(2), TIMEOUT_S)).result == "success"

        run_on_uvloop(work)

    def test_a_connection_with_connection_close_is_not_reused(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                exchange.send(http_response(exchange.id, extra="Connection: close"))

            async with running_server(respond) as (server, client, endpoint):
                for number in range(2):
                    assert (await client.deliver(endpoint, job(number), TIMEOUT_S)).result == "success"
                assert server.connections == 2

        run_on_uvloop(work)

    def test_an_idle_connection_is_not_reused_close_to_its_keep_alive_timeout(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                exchange.send(http_response(exchange.id, extra="Keep-Alive: timeout=0, max=9"))

            async with running_server(respond) as (server, client, endpoint):
                for number in range(2):
                    assert (await client.deliver(endpoint, job(number), TIMEOUT_S)).result == "success"
                assert server.connections == 2

        run_on_uvloop(work)

    def test_an_idle_connection_that_the_worker_has_closed_is_not_used(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                exchange.send(http_response(exchange.id))
                exchange.writer.close()

            async with running_server(respond) as (_, client, endpoint):
                assert (await client.deliver(endpoint, job(1), TIMEOUT_S)).result == "success"
                while client.connections_open:
                    await asyncio.sleep(0)
                assert (await client.deliver(endpoint, job(2), TIMEOUT_S)).result == "success"

        run_on_uvloop(work)

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_a_request_on_a_just_closed_connection_is_resent_only_if_idempotent(
        self, idempotent: bool
    ) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                if exchange.connection == 1 and exchange.request == 2:
                    reset(exchange)
                else:
                    exchange.send(http_response(exchange.id))

            async with running_server(respond) as (server, client, endpoint):
                endpoint = attrs.evolve(endpoint, idempotent=idempotent)
                assert (await client.deliver(endpoint, job(1), TIMEOUT_S)).result == "success"
                outcome = await client.deliver(endpoint, job(2), TIMEOUT_S)
                assert outcome.result == ("success" if idempotent else "unknown")
                assert server.connections == (2 if idempotent else 1)

        run_on_uvloop(work)

    def test_a_request_on_a_lost_new_connection_is_not_resent(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                reset(exchange)

            async with running_server(respond) as (server, client, endpoint):
                outcome = await client.deliver(attrs.evolve(endpoint, idempotent=True), job(1), TIMEOUT_S)
                assert outcome.result == "unknown"
                assert server.connections == 1

        run_on_uvloop(work)

    def test_a_cancelled_delivery_leaves_no_connection_behind(self) -> None:
        async def work() -> None:
            async def respond(exchange: Exchange) -> None:
                if exchange.id != "m1":
                    exchange.send(http_response(exchange.id))

            async with running_server(respond) as (server, client, endpoint):
                task = asyncio.create_task(client.deliver(endpoint, job(1), 5))
                while not server.exchanges:
                    await asyncio.sleep(0)
                task.cancel()
                await asyncio.wait([task])
                await server.closed.wait()
                assert (await client.deliver(endpoint, job(2), TIMEOUT_S)).result == "success"

        run_on_uvloop(work)

    def test_retiring_a_worker_closes_its_idle_connections(self) -> None:
        async def work() -> None:
            async with running_server(respond_success) as (server, client, endpoint):
                await client.deliver(endpoint, job(1), TIMEOUT_S)
                client.retire(endpoint)
                await server.closed.wait()

        run_on_uvloop(work)

    def test_a_retired_workers_busy_connection_closes_after_its_response(self) -> None:
        async def work() -> None:
            gate = asyncio.Event()

            async def respond(exchange: Exchange) -> None:
                await gate.wait()
                exchange.send(http_response(exchange.id))

            async with running_server(respond) as (server, client, endpoint):
                task = asyncio.create_task(client.deliver(endpoint, job(1), TIMEOUT_S))
                while not server.exchanges:
                    await asyncio.sleep(0)
                client.retire(endpoint)
                gate.set()
                assert (await task).result == "success"
                await server.closed.wait()

        run_on_uvloop(work)

    def test_another_worker_at_the_same_address_gets_its_own_connections(self) -> None:
        async def work() -> None:
            async with running_server(respond_success) as (server, client, endpoint):
                await client.deliver(endpoint, job(1), TIMEOUT_S)
                await client.deliver(attrs.evolve(endpoint, instance_id="i-2"), job(2), TIMEOUT_S)
                assert server.connections == 2

        run_on_uvloop(work)


class FinishStub:
    """A store client that responds to `finish` from a script, and then with "taken"."""

    def __init__(self, script: list[str]) -> None:
        self.script = script
        self.calls: list[FinishLease] = []

    async def finish(self, request: FinishLease, deadline: float) -> LeaseUpdateResponse:
        self.calls.append(request)
        await asyncio.sleep(0.01)
        word = self.script.pop(0) if self.script else "taken"
        if word == "error":
            raise PeerError("FinishLease", "s", "gone")
        return LeaseUpdateResponse(word)


class TestLeaseEndReporter:
    def test_a_report_is_retried_until_taken_or_gone(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            for last in ("taken", "gone"):
                stub = FinishStub(["unavailable", "error", "not_primary", last, "never"])
                metrics = DeliveryMetrics()
                await LeaseEndReporter(stub, metrics).report(FinishLease("0-1-1-1", "success", "s"))
                assert stub.calls == [FinishLease("0-1-1-1", "success", "s")] * 4
                assert (metrics.ends_reported, metrics.ends_gone) == ((1, 0) if last == "taken" else (0, 1))

        play(work)

    def test_a_report_is_dropped_after_its_timeout(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            stub, metrics = FinishStub(["unavailable"] * 10_000), DeliveryMetrics()
            began = loop.time()
            await LeaseEndReporter(stub, metrics).report(FinishLease("0-1-1-1", "success", "s"))
            assert REPORT_TIMEOUT_S <= loop.time() - began < REPORT_TIMEOUT_S + 5
            assert metrics.ends_dropped == 1

        play(work)

    def test_flush_waits_for_reports_but_not_beyond_the_deadline(self) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            stub, metrics = FinishStub(["unavailable"] * 10_000), DeliveryMetrics()
            reporter = LeaseEndReporter(stub, metrics)
            reporter.release("0-1-1-1")
            await reporter.flush(loop.time() + 2)
            assert loop.time() == pytest.approx(1_002)
            stub.script.clear()
            reporter.release("0-1-2-1")
            await reporter.flush(loop.time() + 2)
            assert loop.time() == pytest.approx(1_002.01)
            assert metrics.ends_reported == 1

        play(work)

    def test_the_number_of_open_release_reports_is_bounded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        async def work(loop: VirtualTimeLoop) -> None:
            stub, metrics = FinishStub(["unavailable"] * 10_000), DeliveryMetrics()
            reporter = LeaseEndReporter(stub, metrics)
            for number in range(5):
                reporter.release(f"0-1-{number}-1")
                await asyncio.sleep(0)
            assert reporter.open_count == 3
            assert metrics.ends_dropped == 2
            await reporter.flush(loop.time() + 0.1)

        monkeypatch.setattr("hollowusher.delivery.lease_end_reporter.MAX_OPEN_REPORTS", 3)
        play(work)
