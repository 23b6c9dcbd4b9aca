"""Ends of connections, attempts and jobs on real sockets, with each race forced (docs/endings.md)."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import socket
import struct
import time
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from hollowusher.balancing import (
    Cancel,
    Effect,
    Fail,
    Group,
    JobClass,
    Listed,
    ListKind,
    Outcome,
    Reading,
    Refuse,
    Send,
    State,
)
from hollowusher.balancing.interface import ClientGone, Ended, Event
from hollowusher.scheduler.app import descriptor_limit
from hollowusher.scheduler.dispatch.dispatcher import JobDispatcher
from hollowusher.scheduler.dispatch.model import (
    AttemptEnded,
    CancelAttempt,
    ClientJob,
    ClientLeft,
    Dispatch,
    DispatchCommand,
    DispatchEvent,
    JobAnswerBody,
    JobAttempt,
    JobTaken,
    ReplyToClient,
    Verdict,
)
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.effects import EffectExecutor
from hollowusher.scheduler.fronts.common import JobIds
from hollowusher.scheduler.fronts.platform import clients
from hollowusher.scheduler.fronts.platform.clients import DrainTimes, PlatformClients
from hollowusher.scheduler.fronts.platform.http import AnswerReader
from hollowusher.scheduler.fronts.platform.nodes import TAIL_BYTES, PlatformNodes
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import LINGER_PACE_S, Link, connect, listen
from hollowusher.scheduler.net.pool import Pool
from hollowusher.scheduler.rules.node_list import NodeListAssembler
from tests.scheduler.test_platform_sockets import SlowPool
from tests.scheduler.test_reload import Process
from tests.support.balancer import MS, Node, S, only, sends, workers
from tests.support.standins import (
    CLASSES,
    MEANINGS,
    SETTINGS,
    HttpNode,
    SocketCase,
    StandIn,
    StompNodeStandIn,
    free_port,
    post,
    read_http,
)

QUIET = LogWriter("test", per_s=0, burst=0)


def shows(sock: socket.socket, text: bytes) -> bool:
    """Return whether the unread data of a socket contains `text`."""
    try:
        return text in sock.recv(65536, socket.MSG_PEEK)
    except BlockingIOError:
        return False


async def until(holds: Callable[[], bool]) -> None:
    """Wait up to 5 s until other tasks of the event loop have made the condition true."""
    async with asyncio.timeout(5.0):
        while not holds():
            await asyncio.sleep(0.001)


def break_off(sock: socket.socket) -> None:
    """Reset a connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class HttpClientFront(unittest.IsolatedAsyncioTestCase):
    """The HTTP client front alone: the test takes the place of the dispatcher."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # debug mode would distort the measured times
        self.reported: asyncio.Queue[DispatchEvent] = asyncio.Queue()
        self.listener = listen(("127.0.0.1", free_port()))
        self.front = PlatformClients(
            self.listener, {c.name: c for c in CLASSES}, 8, JobIds(), self.reported.put_nowait, QUIET, 2048
        )
        accepting = asyncio.create_task(self.front.accept())
        self.accepting = accepting
        self.addCleanup(accepting.cancel)
        self.addCleanup(self.listener.close)

    def client(self) -> socket.socket:
        """Return a socket used without the event loop, so that its calls are complete when they return."""
        sock = socket.create_connection(self.listener.getsockname(), 5.0)
        self.addCleanup(sock.close)
        sock.setblocking(False)
        return sock

    async def taken(self) -> ClientJob:
        async with asyncio.timeout(5.0):
            event = await self.reported.get()
        assert isinstance(event, JobTaken), event
        return event.job

    async def gone(self) -> float:
        """Wait until the front posts ClientLeft; return the seconds of CPU time and of its own pauses.

        The load of the machine does not affect this result."""
        start, skips, skip = time.process_time(), list[Link](), Link.skip

        async def counted(link: Link) -> int:
            skips.append(link)
            return await skip(link)

        with mock.patch.object(Link, "skip", counted):
            async with asyncio.timeout(5.0):
                while not isinstance(await self.reported.get(), ClientLeft):
                    pass
        return time.process_time() - start + len(skips) * LINGER_PACE_S

    async def read(self, sock: socket.socket) -> bytes:
        """Return all data up to the end of the connection."""
        data = b""
        sock.setblocking(False)
        async with asyncio.timeout(5.0):
            while piece := await asyncio.get_running_loop().sock_recv(sock, 65536):
                data += piece
        return data

    async def test_a_disconnect_is_detected_behind_any_pipelined_data(self) -> None:
        behind = {
            "nothing": b"",
            "half a request": post("b")[:40],
            "a request": post("b"),
            "many": post("b") * 40,
            "more than is kept": post("b", body=b"x" * 60_000) * 10,
        }
        for number, (what, data) in enumerate(behind.items()):
            for leave in (socket.socket.close, break_off, lambda s: s.shutdown(socket.SHUT_WR)):
                with self.subTest(behind=what, leave=leave):
                    sock = self.client()
                    sock.sendall(post(f"a{number}"))
                    job = await self.taken()
                    sock.setblocking(False)
                    rest = memoryview(data)
                    async with asyncio.timeout(5.0):
                        await asyncio.get_running_loop().sock_sendall(sock, rest)
                    self.assertFalse(job.gone())
                    leave(sock)
                    self.assertLess(await self.gone(), 0.1)
                    self.assertTrue(job.gone())
                    sock.close()
                    self.front.ids = JobIds()

    async def test_buffered_pipelined_requests_are_answered_and_the_rest_rejected(self) -> None:
        sock = self.client()
        sock.sendall(post("a"))
        first = await self.taken()
        many = b"".join(post(f"b{n}", body=b"x" * 700) for n in range(200))
        async with asyncio.timeout(5.0):
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_sendall(sock, many)
        first.answer_to(JobAnswerBody(Verdict.SERVED, b"one"))
        reading, served = asyncio.create_task(self.read(sock)), 0
        while not reading.done():
            event = asyncio.create_task(self.reported.get())
            await asyncio.wait({reading, event}, return_when=asyncio.FIRST_COMPLETED)
            if not event.done():
                event.cancel()
                break
            if isinstance(got := event.result(), JobTaken):
                served += 1
                got.job.answer_to(JobAnswerBody(Verdict.SERVED, b"more"))
        reported = await reading
        self.assertLess(served, 10)  # as many as the receive buffer holds
        self.assertEqual(reported.count(b" 200 OK"), 1 + served)
        self.assertEqual((reported.count(b" 503 "), reported.count(b"Connection: close")), (1, 1))

    async def test_a_request_that_crosses_the_close_does_not_discard_the_response(self) -> None:
        sock = self.client()
        sock.sendall(post("a").replace(b"Host: h", b"Connection: close\r\nHost: h"))
        (await self.taken()).answer_to(JobAnswerBody(Verdict.SERVED, b"result"))
        (session,) = self.front._sessions
        await until(lambda: session._stage is clients.ConnectionStage.CLOSING)
        sock.sendall(post("b"))  # the front has already shut down its sending direction
        for _ in range(20):
            await asyncio.sleep(0.001)
        self.assertTrue((await self.read(sock)).endswith(b"result"))
        sock.sendall(b"x")  # no reset has arrived, which could discard an unread response
        self.assertTrue(self.reported.empty())  # the second request was not accepted
        sock.close()
        await asyncio.wait({session.task} if session.task else set(), timeout=5.0)

    async def test_an_idle_connection_is_closed_without_a_reset(self) -> None:
        sock, young = self.client(), self.client()
        sock.sendall(post("a"))
        (await self.taken()).answer_to(JobAnswerBody(Verdict.SERVED, b"result"))
        await until(lambda: shows(sock, b"result"))
        with mock.patch.object(self.front, "drain_times", DrainTimes(0.0, 1.0, 0.5)):
            draining = asyncio.create_task(self.front.drain(self.accepting))
            await until(
                lambda: [s._stage for s in self.front._sessions] == [clients.ConnectionStage.CLOSING] * 2
            )
            sock.sendall(post("b"))  # crosses the close
            self.assertTrue((await self.read(sock)).endswith(b"result"))
            self.assertEqual(await self.read(young), b"")
            self.assertTrue(self.reported.empty())
            sock.close()
            young.close()
            async with asyncio.timeout(5.0):
                await draining

    async def test_a_request_that_arrived_just_before_the_close_is_served(self) -> None:
        sock = self.client()
        sock.sendall(post("a"))
        (await self.taken()).answer_to(JobAnswerBody(Verdict.SERVED, b"result"))
        await until(lambda: shows(sock, b"result"))
        (session,) = self.front._sessions
        sock.sendall(post("b"))  # unread in the kernel when the session is asked to end
        self.front.closing = True
        session.end()
        (await self.taken()).answer_to(JobAnswerBody(Verdict.SERVED, b"second"))
        reported = await self.read(sock)
        self.assertTrue(reported.endswith(b"second"))
        self.assertIn(b"Connection: close", reported)

    async def test_a_full_front_evicts_the_longest_idle_and_no_busy_connection(self) -> None:
        owed = self.client()
        owed.sendall(post("a"))
        job = await self.taken()
        idle = [self.client() for _ in range(7)]
        with mock.patch.object(clients, "NEW_CONNECTION_GRACE_S", 0.0):
            await until(lambda: len(self.front._sessions) >= 8)
            late = self.client()
            late.sendall(post("late"))
            (await self.taken()).answer_to(JobAnswerBody(Verdict.SERVED, b"late"))
            self.assertEqual(await self.read(idle[0]), b"")
        job.answer_to(JobAnswerBody(Verdict.SERVED, b"owed"))
        await until(lambda: shows(owed, b"owed"))

    async def test_an_idle_connection_with_an_unread_request_is_not_evicted(self) -> None:
        sock = self.client()
        sock.sendall(post("a"))
        (await self.taken()).answer_to(JobAnswerBody(Verdict.SERVED, b"result"))
        await until(lambda: shows(sock, b"result"))
        (session,) = self.front._sessions
        sock.sendall(post("b"))  # unread in the kernel when a connection is to be evicted
        self.assertFalse(session.evict())
        (await self.taken()).answer_to(JobAnswerBody(Verdict.SERVED, b"second"))
        await until(lambda: shows(sock, b"second"))
        self.assertTrue(session.evict())

    async def test_small_writes_are_sent_without_delay(self) -> None:
        sock = self.client()
        await until(lambda: bool(self.front._sessions))
        (session,) = self.front._sessions
        out = await connect(self.listener.getsockname(), 1.0)
        for link in (session._link, out):
            self.assertTrue(link._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        out.close()
        sock.close()


class DrainTimesTest(unittest.TestCase):
    def test_drain_times_follow_from_the_longest_deadline(self) -> None:
        for deadlines_s, killed_s in (((5, 20), 3.7), ((3,), 3.7), ((1.5, 0.9), 2.2), ((0.5,), 1.2)):
            times = DrainTimes.of(JobClass(str(d), 100 * MS, round(d * S)) for d in deadlines_s)
            self.assertLess(times.serve_s, times.answer_s)
            self.assertLess(times.answer_s + times.linger_s, killed_s)
            self.assertGreater(times.serve_s, 0.4)  # new connections are accepted for at least this long


class Attempts(SocketCase):
    """Single attempts at an HTTP node."""

    def nodes_for(self, port: int, pool: Pool | None = None) -> PlatformNodes:
        self.reported: list[object] = []
        self.registry, self.pool = WorkerRegistry(), pool or Pool(0.25, 30.0, 8)
        self.node = RouteNode("s-1", ("127.0.0.1", port), Listed(1))
        self.registry.apply_list(ListKind.FULL, [self.node])
        return PlatformNodes(self.registry, self.pool, MEANINGS, self.reported.append, QUIET)

    def order(self, name: str = "j1", write_by_ns: int = 0, body: bytes = b"x") -> Dispatch:
        job = ClientJob(name, "assign-rider", "/jobs/7", body, time.monotonic_ns(), 5 * S, lambda a: None)
        return Dispatch(JobAttempt(name, 0, 1), job, 0, write_by_ns)

    def outcome(self) -> Outcome:
        (ended,) = [e for e in self.reported if isinstance(e, AttemptEnded)]
        self.reported.clear()
        return ended.outcome

    async def test_nothing_is_sent_after_a_disconnect_or_after_the_retry_window(self) -> None:
        node = HttpNode()
        await self.started(node)
        for what in ("left", "window"):
            pool = SlowPool()
            order = self.order(write_by_ns=time.monotonic_ns() + 20 * MS if what == "window" else 0)
            attempt = asyncio.create_task(self.nodes_for(node.port, pool).attempt(order, self.node))
            await self.within(pool.asked.wait())
            if what == "left":
                order.job.gone = lambda: True
            else:
                await asyncio.sleep(0.03)
            pool.go.set()
            await self.within(attempt)
            self.assertEqual((self.outcome(), node.runs), (Outcome.NOT_SENT, []), what)
            self.assertEqual(pool.held, 1)  # the unused connection is kept for the next job

    async def test_a_failed_connect_frees_its_place_in_the_pool(self) -> None:
        never = asyncio.Event()

        async def dial(*_: Any) -> None:
            await never.wait()

        nodes = self.nodes_for(free_port(), Pool(0.05, 30.0, 1))
        with mock.patch.object(asyncio.get_running_loop(), "sock_connect", dial):
            await self.within(nodes.attempt(self.order(), self.node))
        self.assertEqual((self.outcome(), self.pool.held), (Outcome.UNREACHABLE, 0))

    async def test_the_write_of_a_retry_ends_with_its_window(self) -> None:
        class Deaf(StandIn):
            async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await asyncio.Event().wait()

        deaf = Deaf()
        await self.started(deaf)
        order = self.order(write_by_ns=time.monotonic_ns() + 300 * MS, body=b"x" * (32 << 20))
        start = time.monotonic()
        await self.within(self.nodes_for(deaf.port).attempt(order, self.node))
        self.assertLess(time.monotonic() - start, 1.0)
        self.assertIs(self.outcome(), Outcome.TIMEOUT)

    async def test_lack_of_descriptors_does_not_count_against_the_node(self) -> None:
        nodes = self.nodes_for(free_port())
        with mock.patch("socket.socket", side_effect=OSError(24, "Too many open files")):
            await self.within(nodes.attempt(self.order(), self.node))
        self.assertIs(self.outcome(), Outcome.NOT_SENT)


class InvalidResponseNode(StandIn):
    """A node that sends the given pieces, then `flood` without end if it is set."""

    def __init__(self, *pieces: bytes, flood: bytes = b"", ends: bool = False) -> None:
        super().__init__()
        self.pieces, self.flood, self.ends = pieces, flood, ends

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_http(reader)
            for piece in self.pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.002)
            while self.flood:
                writer.write(self.flood)
                await writer.drain()
            if self.ends:
                return


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text: str) -> bytes:
    return f"{len(text):x}\r\n{text}\r\n".encode()


DONE = chunk('{"id":"j1","state":"done","result":"r"}\n')
LAST = b"0\r\n\r\n"


class InvalidResponses(Attempts):
    async def test_invalid_responses_are_bounded_and_never_forwarded(self) -> None:
        other = chunk('{"id":"j2","state":"done","result":"other"}\n')
        note = chunk('{"id":"j1","state":"running","share":0.1}\n')
        cases: dict[str, tuple[InvalidResponseNode, Outcome]] = {
            "half a line": (
                InvalidResponseNode(HEAD, chunk('{"id":"j1","state":"do'), ends=True),
                Outcome.RESET,
            ),
            "half a line that ends": (
                InvalidResponseNode(HEAD, chunk('{"id":"j1","state":"do'), LAST),
                Outcome.RESET,
            ),
            "half a chunk": (InvalidResponseNode(HEAD, DONE[:-9], ends=True), Outcome.RESET),
            "another's": (InvalidResponseNode(HEAD, other, LAST), Outcome.RESET),
            "no JSON": (InvalidResponseNode(HEAD, chunk("done\n"), LAST), Outcome.RESET),
            "no HTTP": (InvalidResponseNode(b"done\r\n\r\n"), Outcome.RESET),
            "nothing in it": (InvalidResponseNode(HEAD, LAST), Outcome.RESET),
            "a line without end": (InvalidResponseNode(HEAD, flood=chunk("x" * 60_000)), Outcome.RESET),
            "notes without end": (InvalidResponseNode(HEAD, flood=note * 500), Outcome.RESET),
            "a head without end": (
                InvalidResponseNode(b"HTTP/1.1 200 OK\r\n", flood=b"X: " + b"y" * 900 + b"\r\n"),
                Outcome.RESET,
            ),
            "a header without end": (
                InvalidResponseNode(b"HTTP/1.1 200 OK\r\nX: ", flood=b"y" * 9000),
                Outcome.RESET,
            ),
            "twice in one": (InvalidResponseNode(HEAD + DONE + DONE + LAST), Outcome.OK),
            "two answers": (InvalidResponseNode((HEAD + DONE + LAST) * 2), Outcome.OK),
            "an answer and half of one": (InvalidResponseNode(HEAD + DONE + LAST + HEAD[:9]), Outcome.OK),
            "no end after it": (InvalidResponseNode(HEAD + DONE, flood=chunk("x\n" * 9000)), Outcome.OK),
        }
        for what, (node, expected) in cases.items():
            with self.subTest(what=what):
                await self.started(node)
                nodes, start = self.nodes_for(node.port), time.monotonic()
                async with asyncio.timeout(8.0):
                    await nodes.attempt(self.order(), self.node)
                self.assertIs(self.outcome(), expected)
                self.assertLess(time.monotonic() - start, 2.0)
                if expected is not Outcome.OK or what != "twice in one":
                    self.assertEqual(self.pool.held, 0)  # a connection that is out of sync is not reused
                await node.close()

    async def test_a_late_second_response_is_not_taken_for_the_next_job(self) -> None:
        node = InvalidResponseNode(HEAD + DONE + LAST, HEAD + DONE + LAST)
        await self.started(node)
        nodes = self.nodes_for(node.port)
        await nodes.attempt(self.order(), self.node)
        self.assertIs(self.outcome(), Outcome.OK)
        (link,) = self.pool._idle[1]
        await until(lambda: not link.fresh())
        node.pieces = (HEAD, DONE.replace(b"j1", b"j2"), LAST)
        await nodes.attempt(self.order("j2"), self.node)
        self.assertIs(self.outcome(), Outcome.OK)
        self.assertEqual(node.accepted, 2)

    async def test_data_after_the_final_line_is_limited(self) -> None:
        reader = AnswerReader(1 << 20, 1 << 20)
        reader.feed(memoryview(HEAD + DONE))
        reader.limit_rest(TAIL_BYTES)
        with self.assertRaises(ConnectionError):
            for _ in range(TAIL_BYTES // 100 + 1):
                reader.feed(memoryview(chunk("x" * 100)))
        self.assertFalse(reader.complete or reader.reusable)


class CancelBeforeStart(unittest.IsolatedAsyncioTestCase):
    async def test_an_attempt_cancelled_before_its_task_runs_is_reported(self) -> None:
        # The dispatcher may start and cancel an attempt before any other task runs.
        registry, reported, ran = WorkerRegistry(), list[DispatchEvent](), list[JobAttempt]()
        registry.apply_list(ListKind.FULL, [RouteNode("s-1", ("127.0.0.1", 9), Listed(1))])

        class Nodes:
            async def attempt(self, order: Dispatch, node: RouteNode) -> None:
                ran.append(order.attempt)

            async def probe(self, node: RouteNode) -> None: ...

            def leaving(self, number: int) -> None: ...

        executor = EffectExecutor(registry, Pool(0.25, 30.0, 8), QUIET)
        executor.nodes["platform"], executor.post = Nodes(), reported.append
        order = Dispatch(JobAttempt("j", 0, 1), ClientJob("j", "c", "/", b"", 0, S, lambda a: None), 0)
        executor.carry_out(order)
        executor.carry_out(CancelAttempt(order.attempt))
        await asyncio.sleep(0.01)
        self.assertEqual(reported, [AttemptEnded(order.attempt, Outcome.NOT_SENT)])
        self.assertEqual((ran, executor._attempts, executor._others), ([], {}, set()))
        order.job.gone = lambda: True  # an attempt whose client has disconnected does not start either
        executor.carry_out(order)
        self.assertEqual(reported, [AttemptEnded(order.attempt, Outcome.NOT_SENT)] * 2)


class KeptJobsInTheDispatcher(unittest.TestCase):
    """Jobs of a disconnected client whose answer is kept for a resend."""

    def setUp(self) -> None:
        with mock.patch("hollowusher.scheduler.dispatch.dispatcher.Balancer") as module:
            self.module = module.return_value
            self.module.step.return_value = []
            self.dispatcher = JobDispatcher(SETTINGS, 1, 0)
        self.job = ClientJob("j", "settle-shift", "/", b"", 0, S, lambda a: None)

    def work(self, event: DispatchEvent, *actions: Any) -> list[DispatchCommand]:
        self.module.step.return_value = list(actions)
        return self.dispatcher.process(0, [event])

    def heard(self) -> list[Event]:
        return list(self.module.step.call_args.args[1])

    def test_a_job_that_was_not_sent_is_rejected(self) -> None:
        self.work(JobTaken(self.job))
        orders = self.work(ClientLeft(self.job, kept=True))
        self.assertEqual(self.heard(), [ClientGone(self.job.ticket)])
        self.assertEqual(orders, [ReplyToClient(self.job, JobAnswerBody(Verdict.REFUSED))])

    def test_a_job_that_was_sent_ends_with_its_attempt(self) -> None:
        for outcome, verdict in (
            (Outcome.OK, Verdict.SERVED),
            (Outcome.RESET, Verdict.FAILED),
            (Outcome.UNREACHABLE, Verdict.REFUSED),
        ):
            self.setUp()
            self.work(JobTaken(self.job))
            ticket = self.job.ticket
            other = JobTaken(ClientJob("k", "eta-quote", "/", b"", 0, S, print))
            (dispatch,) = self.work(other, Send(ticket, 1, 0))
            assert isinstance(dispatch, Dispatch)
            orders = self.work(ClientLeft(self.job, kept=True), Cancel(ticket, 0))
            self.assertEqual(orders, [])  # neither cancelled nor answered
            self.assertEqual(self.work(ClientLeft(self.job, kept=True)), [])  # a second event changes nothing
            (reply,) = self.work(AttemptEnded(dispatch.attempt, outcome, Reading(), b"r"))
            assert isinstance(reply, ReplyToClient)
            self.assertIs(reply.answer.verdict, verdict)
            (ended,) = self.heard()
            self.assertTrue(isinstance(ended, Ended) and ended.final)


class StompEndings(SocketCase):
    async def test_no_attempt_starts_for_a_disconnected_client(self) -> None:
        node = StompNodeStandIn("hold")
        await self.run_program(stomp_nodes=(node,))
        node.report(state="draining")
        probe = await self.stomp_client()
        probe.job("probe", "eta-quote", budget="0.3")
        self.assertEqual((await probe.answer())[1], "refused")  # the scheduler has processed the drain
        first, again = await self.stomp_client(), await self.stomp_client()
        first.job("pay-1", budget="30")  # its budget exceeds the duration of this test
        self.assertEqual((await first.next())[0], "RECEIPT")
        first.reset()
        probe.job("later", "eta-quote", budget="0.3")
        self.assertEqual((await probe.answer())[1], "refused")  # the reset has been processed by now
        again.job("pay-1", budget="30", resend="true")  # the resend receives the result
        self.assertEqual(await again.answer(), ("pay-1", "refused", b""))
        node.report(state="serving")
        again.job("pay-2")
        sent = await self.within(node.got.get())
        self.assertEqual((sent["job-id"], node.runs), ("pay-2", ["pay-2"]))
        node.finish(sent)
        self.assertEqual((await again.answer())[1], "served")

    async def test_a_disconnect_is_detected_behind_unread_frames(self) -> None:
        for leave in ("reset", "close"):
            node = StompNodeStandIn("hold")
            with mock.patch("hollowusher.scheduler.fronts.stomp.clients.MAX_OPEN_JOBS", 2):
                await self.run_program(stomp_nodes=(node,))
                session = await self.stomp_client()
                for number in range(6):
                    # No deadline ends the jobs during the test.
                    session.job(f"q-{number}", "eta-quote", budget="30")
                sent = await self.within(node.got.get())
                if leave == "reset":
                    session.reset()
                else:
                    session.writer.close()
                self.assertEqual(await self.within(node.withdrawn.get()), sent["attempt"], leave)
            await self.end_program()

    async def test_a_frame_that_crosses_the_end_of_a_session_causes_no_reset(self) -> None:
        await self.run_program(stomp_nodes=(StompNodeStandIn(),))
        session = await self.stomp_client()
        session.put("DISCONNECT", receipt="bye")
        session.job("late")
        session.writer.write(b"\n" * 70_000)
        self.assertEqual((await session.next())[1], {"receipt-id": "bye"})
        self.assertEqual(await self.within(session._reader.read()), b"")


class Descriptors(Process):
    """A low limit of file descriptors while the discovery service is down."""

    async def test_idle_clients_leave_descriptors_for_discovery_nodes_and_accept(self) -> None:
        self.assertEqual(descriptor_limit(10**9) <= 10**9, True)
        await self.list.close()
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        most = 110
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, limits[1]))
        try:
            process = await self.start()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        crowd = [await self.client() for _ in range(3 * most)]
        for _, writer in crowd[::2]:
            writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")  # these have sent a request and are idle now
        await self.list.start()
        await self.within(self.list.asked.get())
        self.node.mode = "done"
        for number in range(8):
            self.assertEqual((await self.ask(post(f"j{number}", "settle-shift", "5")))[0], "HTTP/1.1 200 OK")
        for _, writer in crowd:
            writer.close()
        process.send_signal(signal.SIGTERM)
        self.assertEqual(await self.within(process.wait()), 0)

    async def test_accept_recovers_from_a_lack_of_descriptors(self) -> None:
        reported: list[str] = []
        front = PlatformClients(listen(("127.0.0.1", free_port())), {}, 8, JobIds(), print, QUIET)
        self.addCleanup(front._listener.close)
        log = mock.patch.object(front.log, "error", lambda name, *_, **__: reported.append(name))
        real, fails = asyncio.get_running_loop().sock_accept, [OSError(24, "Too many open files")] * 2

        async def accept(listener: socket.socket) -> Any:
            if fails:
                raise fails.pop()
            return await real(listener)

        with (
            log,
            mock.patch.object(asyncio.get_running_loop(), "sock_accept", accept),
            mock.patch.object(front, "_free_connection") as makes_room,
        ):
            accepting = asyncio.create_task(front.accept())
            reader, writer = await asyncio.open_connection(*front._listener.getsockname())
            writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
            self.assertIn("200", (await self.within(read_http(reader)))[0])
            accepting.cancel()
            writer.close()
        self.assertEqual((reported, makes_room.call_count), (["accept-failed"] * 2, 2))


class NodeListLines(unittest.TestCase):
    def read(self, text: str, most: int = 1 << 20) -> list[object]:
        lines, reported = NodeListAssembler(most), list[object]()
        for line in text.split("\n"):
            reported += lines.feed(line.encode())
        return reported

    def test_indented_repeated_and_cut_lists(self) -> None:
        row = {"id": "s-1", "zone": 'a"}{', "w": [1]}
        complete: dict[str, Any] = {"version": 3, "full": True, "servers": [row]}
        for indent in (None, 0, 1, 4):
            text = json.dumps(complete, indent=indent)
            self.assertEqual(self.read(text), [complete], indent)
            self.assertEqual(self.read(text + "\n\n" + text), [complete, complete], indent)
        cut = json.dumps(complete, indent=2).rpartition("\n")[0]
        self.assertEqual(self.read(f"{cut}\n{json.dumps(complete)}"), [None, complete])
        for wrong in (cut + "\n\n", "nonsense", '{"servers": ]', "]" + cut):
            with self.assertRaises(ValueError, msg=wrong):
                self.read(wrong)
        with self.assertRaises(ValueError):
            self.read("{\n" + '"a": [1,\n' * 1000, most=1000)


class ShortRetryWindow(unittest.TestCase):
    """A keyed job whose retry window is shorter than its deadline."""

    def test_a_keyed_job_is_retried_only_inside_its_window(self) -> None:
        cls = JobClass("keyed", 200 * MS, 5 * S, effect=Effect.KEYED, group=Group.ALL, window_ns=S)
        for after, again in ((200 * MS, True), (940 * MS, True), (960 * MS, False), (1100 * MS, False)):
            node = Node(only(cls), workers(1, 2), free={1: 2.0, 2: 2.0})
            node.arrive("r", "keyed")
            node.run(20 * MS)
            first = sends(a for _, a in node.log)[0]
            sent_at = next(at for at, a in node.log if a is first)
            node.run(after - (node.now - sent_at))
            actions = node.ended(first, Outcome.RESET) + node.run(30 * MS)
            self.assertEqual(bool(sends(actions)), again, after)
            if again:
                (second,) = sends(actions)
                self.assertTrue(0 < second.write_within_ns <= S - 50 * MS - after + MS)
            else:
                self.assertEqual([type(a) for a in actions if isinstance(a, Fail | Refuse)], [Fail])

    def test_a_waiting_keyed_job_fails_at_the_end_of_its_window(self) -> None:
        cls = JobClass("keyed", 200 * MS, 5 * S, effect=Effect.KEYED, group=Group.CELL, window_ns=S)
        node = Node(only(cls), workers(1), free={1: 2.0})
        node.arrive("r", "keyed")
        node.run(20 * MS)
        (first,) = sends(a for _, a in node.log)
        node.listing(ListKind.CHANGES, Listed(1, zone="a", kind="k", state=State.DRAINING))
        node.ended(first, Outcome.RESET)
        before = node.now
        self.assertEqual([a for a in node.run(4 * S) if isinstance(a, Fail)], [Fail("r")])
        (at,) = [at for at, a in node.log if isinstance(a, Fail)]
        self.assertLess(at - before, S + 50 * MS)
