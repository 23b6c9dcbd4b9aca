"""The platform's HTTP front on real sockets: attempts at nodes, clients, the node list and the shutdown."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from unittest import mock

from hollowusher.balancing import Listed, ListKind, Outcome, State
from hollowusher.scheduler.dispatch.model import (
    AttemptEnded,
    AttemptProgress,
    AttemptStarted,
    ClientJob,
    ClientLeft,
    Dispatch,
    JobAttempt,
    JobTaken,
)
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.emulator.outside import platform_settings
from hollowusher.scheduler.fronts.common import JobIds
from hollowusher.scheduler.fronts.platform import clients, discovery
from hollowusher.scheduler.fronts.platform.answers import read_line
from hollowusher.scheduler.fronts.platform.nodes import PlatformNodes
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import Link, listen
from hollowusher.scheduler.net.pool import Pool
from tests.support.balancer import S
from tests.support.standins import (
    CLASSES,
    MEANINGS,
    HttpNode,
    SocketCase,
    StandIn,
    free_port,
    post,
    read_http,
)

SLACK_S = 0.05  # tolerance of the platform on every time limit
QUIET = LogWriter("test", per_s=0, burst=0)


class SlowPool(Pool):
    """A pool that opens connections only after the test sets `go`."""

    def __init__(self) -> None:
        super().__init__(0.25, 30.0, 8)
        self.asked, self.go = asyncio.Event(), asyncio.Event()

    async def take(self, node: int, address: tuple[str, int]) -> Link:
        self.asked.set()
        await self.go.wait()
        return await super().take(node, address)


class Attempts(SocketCase):
    """The outcome of single attempts at an HTTP node."""

    def nodes_for(self, port: int, pool: Pool | None = None) -> PlatformNodes:
        self.reported: list[object] = []
        self.registry = WorkerRegistry()
        self.node = RouteNode("s-1", ("127.0.0.1", port), Listed(1))
        self.registry.apply_list(ListKind.FULL, [self.node])
        self.pool = pool or Pool(0.25, 30.0, 8)
        return PlatformNodes(self.registry, self.pool, MEANINGS, self.reported.append, QUIET)

    def order(self, left: int = 5 * S, name: str = "j1", body: bytes = b"x") -> Dispatch:
        job = ClientJob(name, "settle-shift", "/jobs/7?q=1", body, time.monotonic_ns(), left, lambda a: None)
        return Dispatch(JobAttempt(name, 0, 1), job, 0)

    def outcome(self) -> AttemptEnded:
        ended = [e for e in self.reported if isinstance(e, AttemptEnded)]
        self.assertEqual(len(ended), 1)
        return ended[0]

    async def test_each_ending_has_its_outcome(self) -> None:
        cases = {
            "done": Outcome.OK,
            "failed": Outcome.ERROR,
            "500": Outcome.ERROR,
            "returned": Outcome.FULL,
            "503": Outcome.FULL,
            "504": Outcome.FULL,
            "lost": Outcome.RESET,
            "reset": Outcome.RESET,
            "cut": Outcome.RESET,
            "other": Outcome.RESET,
            "hold": Outcome.TIMEOUT,
        }
        for mode, expected in cases.items():
            node = HttpNode(mode)
            await self.started(node)
            await self.nodes_for(node.port).attempt(
                self.order(300_000_000 if mode == "hold" else 5 * S), self.node
            )
            ended = self.outcome()
            self.assertEqual(ended.outcome, expected, mode)
            self.assertEqual(len(node.runs), 1, mode)
            if mode == "done":
                self.assertEqual(ended.result, b"r:j1")
                assert ended.reading is not None
                self.assertEqual(ended.reading.free_slots, 2.0)
                self.assertIn(AttemptStarted(ended.attempt), self.reported)

    async def test_refused_connection_is_unreachable(self) -> None:
        await self.nodes_for(free_port()).attempt(self.order(), self.node)
        self.assertEqual(self.outcome().outcome, Outcome.UNREACHABLE)

    async def test_reset_before_the_last_byte_is_unreachable(self) -> None:
        class Early(StandIn):
            async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.transport.abort()

        node = Early()
        await self.started(node)
        # The body is larger than the socket buffers of both sides, so the connection breaks during the write.
        await self.nodes_for(node.port).attempt(self.order(body=b"x" * (32 << 20)), self.node)
        self.assertEqual(self.outcome().outcome, Outcome.UNREACHABLE)

    async def test_drain_during_connect_sends_nothing(self) -> None:
        node, pool = HttpNode(), SlowPool()
        await self.started(node)
        attempt = asyncio.create_task(self.nodes_for(node.port, pool).attempt(self.order(), self.node))
        await self.within(pool.asked.wait())
        drained = RouteNode("s-1", self.node.address, Listed(1, state=State.DRAINING))
        self.registry.apply_list(ListKind.CHANGES, [drained])
        pool.go.set()
        await self.within(attempt)
        self.assertEqual((self.outcome().outcome, node.runs), (Outcome.NOT_SENT, []))

    async def test_attempt_cancelled_during_connect_is_not_sent(self) -> None:
        node, pool = HttpNode(), SlowPool()
        await self.started(node)
        attempt = asyncio.create_task(self.nodes_for(node.port, pool).attempt(self.order(), self.node))
        await self.within(pool.asked.wait())
        attempt.cancel()
        await self.within(attempt)
        self.assertEqual((self.outcome().outcome, node.runs), (Outcome.NOT_SENT, []))

    async def test_stale_connection_is_not_used_and_nothing_is_sent_twice(self) -> None:
        node = HttpNode()
        await self.started(node)
        nodes = self.nodes_for(node.port)
        await nodes.attempt(self.order(), self.node)
        self.assertEqual(self.pool.held, 1)
        for writer in list(node.writers):  # the node closes the idle connection
            writer.close()
            await self.within(writer.wait_closed())
        self.reported.clear()
        await nodes.attempt(self.order(name="j2"), self.node)
        self.assertEqual((self.outcome().outcome, node.accepted), (Outcome.OK, 2))
        node.mode = "reset"  # the node resets a pooled connection after the last byte of the request
        self.reported.clear()
        await nodes.attempt(self.order(name="j3"), self.node)
        self.assertEqual((self.outcome().outcome, node.runs), (Outcome.RESET, ["j1", "j2", "j3"]))

    async def test_idle_connections_are_closed_early_and_capped(self) -> None:
        node = HttpNode()
        await self.started(node)
        nodes = self.nodes_for(node.port, Pool(0.25, 0.0, 1))
        await nodes.attempt(self.order(), self.node)
        self.pool.sweep()
        self.assertEqual(self.pool.held, 0)
        node.mode = "hold"
        first = asyncio.create_task(nodes.attempt(self.order(), self.node))
        await self.within(node.got.get())
        await self.within(node.got.get())
        self.reported.clear()
        await nodes.attempt(self.order(name="j2"), self.node)  # the pool is full
        self.assertEqual(self.outcome().outcome, Outcome.NOT_SENT)
        node.go.set()
        await self.within(first)


class Clients(SocketCase):
    async def test_a_job_passes_unchanged_and_pipelined_requests_keep_their_order(self) -> None:
        node = HttpNode()
        await self.run_program(node)
        reader, writer = await self.client()
        data = post("a", body=bytes(range(256))) + post("b")
        for cut in range(0, len(data), 7):  # the requests arrive in small pieces
            writer.write(data[cut : cut + 7])
            await writer.drain()
        for name in ("a", "b"):
            self.assertEqual(
                await self.within(read_http(reader)),
                ("HTTP/1.1 200 OK", {"content-length": "3"}, f"r:{name}".encode()),
            )
        self.assertEqual(node.bodies, [bytes(range(256)), b"parcel"])

    async def test_expect_100_continue_gets_the_interim_response(self) -> None:
        await self.run_program(HttpNode())
        reader, writer = await self.client()
        head, _, body = post("j").partition(b"\r\n\r\n")
        writer.write(head + b"\r\nExpect: 100-continue\r\n\r\n")
        self.assertEqual((await self.within(read_http(reader)))[0], "HTTP/1.1 100 Continue")
        writer.write(body)
        self.assertEqual((await self.within(read_http(reader)))[0], "HTTP/1.1 200 OK")

    async def test_invalid_requests_get_their_status(self) -> None:
        await self.run_program(HttpNode())
        cases = {
            b"nonsense\r\n\r\n": 400,
            post("", "eta-quote"): 400,
            post("j", "other"): 400,
            post("j", budget="soon"): 400,
            post("j", budget="-1"): 400,
            post("j", budget="inf"): 400,
            post("j").replace(b"POST", b"GET"): 405,
            b"GET /-/other HTTP/1.1\r\n\r\n": 404,
            post("j", body=b"x" * (64 * 1024 + 1)): 413,
            b"POST /j HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 5: 413,
            b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000: 431,
            b"GET /-/ready HTTP/1.1\r\n\r\n": 200,
        }
        for data, status in cases.items():
            with self.subTest(data=data[:50]):
                first, _, _ = await self.ask(data)
                self.assertEqual(int(first.split()[1]), status)
        self.assertEqual((await self.ask(post("j", body=b"x" * 64 * 1024)))[0], "HTTP/1.1 200 OK")

    async def test_slow_requests_get_408_and_slow_readers_block_no_other_client(self) -> None:
        await self.run_program(HttpNode())
        with mock.patch.object(clients, "REQUEST_TIMEOUT_S", 0.1):
            self.assertEqual((await self.ask(b"POST /x HTTP/1.1\r\n"))[0], "HTTP/1.1 408 Request Timeout")
        deaf = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(deaf.close)
        deaf.sendall(post("deaf") * 14)
        self.assertEqual((await self.ask(post("j")))[0], "HTTP/1.1 200 OK")

    async def test_deadline_holds_when_a_node_does_not_answer(self) -> None:
        node = HttpNode("hold")
        await self.run_program(node)
        start = time.monotonic()
        self.assertEqual((await self.ask(post("j", "settle-shift", "0.5")))[0], "HTTP/1.1 502 Bad Gateway")
        self.assertLess(time.monotonic() - start, 0.5 + SLACK_S)
        self.assertEqual(await self.within(node.ended.get()), "j")  # closing the connection ended the attempt

    async def test_client_disconnect_ends_its_attempt(self) -> None:
        node = HttpNode("hold")
        await self.run_program(node)
        _, writer = await self.client()
        writer.write(post("j"))
        await self.within(node.got.get())
        writer.close()
        self.assertEqual(await self.within(node.ended.get()), "j")

    async def test_unsafe_job_that_may_have_run_fails_without_a_retry(self) -> None:
        first, second = HttpNode("reset"), HttpNode("reset")
        await self.run_program(first, second)
        self.assertEqual((await self.ask(post("j", "settle-shift")))[0], "HTTP/1.1 502 Bad Gateway")
        self.assertEqual(first.runs + second.runs, ["j"])

    async def test_job_returned_by_all_attempts_is_rejected_before_its_deadline(self) -> None:
        node = HttpNode("returned")
        await self.run_program(node)
        start = time.monotonic()
        first, _, _ = await self.ask(post("j", "settle-shift", "9"))
        self.assertEqual(first, "HTTP/1.1 503 Service Unavailable")
        self.assertLess(time.monotonic() - start, 5.0)
        self.assertEqual(node.runs, ["j"] * 3)

    async def test_connection_with_an_unread_request_is_not_evicted(self) -> None:
        reported: asyncio.Queue[object] = asyncio.Queue()
        listener = listen(("127.0.0.1", free_port()))
        self.addCleanup(listener.close)
        front = clients.PlatformClients(
            listener, {"eta-quote": CLASSES[0]}, 4, JobIds(), reported.put_nowait, QUIET
        )
        with socket.create_connection(listener.getsockname()) as client:
            sock, _ = listener.accept()
            front._admit(sock)
            (session,) = front._sessions
            client.sendall(post("j"))
            self.assertFalse(session.evict())  # the request has arrived but is unread
            self.assertIsInstance(await self.within(reported.get()), JobTaken)
            self.assertFalse(session.evict())
        self.assertIsInstance(await self.within(reported.get()), ClientLeft)

    async def test_budget_of_a_pipelined_request_counts_from_its_arrival(self) -> None:
        node = HttpNode("hold")
        await self.run_program(node)
        reader, writer = await self.client()
        writer.write(post("a", "settle-shift", "9"))
        await self.within(node.got.get())
        sent = time.monotonic()
        writer.write(post("b", "settle-shift", "0.5"))
        await asyncio.sleep(0.3)
        node.go.set()
        await self.within(read_http(reader))
        node.go.clear()
        await self.within(read_http(reader))
        self.assertLess(time.monotonic() - sent, 0.5 + SLACK_S)

    async def test_longest_idle_connection_is_evicted(self) -> None:
        with mock.patch("hollowusher.scheduler.app.SPARE_SOCKETS", 512 - 202):
            await self.run_program(HttpNode())
        idle = [await self.client() for _ in range(10)]
        self.assertEqual((await self.ask(post("j")))[0], "HTTP/1.1 200 OK")
        self.assertEqual(await self.within(idle[0][0].read()), b"")


class Lists(SocketCase):
    async def test_no_new_jobs_go_to_a_node_that_the_list_reports_as_draining(self) -> None:
        first, second = HttpNode("hold"), HttpNode("hold")
        await self.run_program(first, second)
        reader, writer = await self.client()
        writer.write(post("j"))
        waits = [asyncio.create_task(n.got.get()) for n in (first, second)]
        await self.within(asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED))
        node, spare = (first, second) if waits[0].done() else (second, first)
        for wait in waits:
            wait.cancel()
        row = self.list.rows[0 if node is first else 1]
        self.list.tell([{**row, "state": "DRAINING"}])
        first.go.set()
        second.go.set()
        await self.within(read_http(reader))
        reported, numbers = asyncio.get_running_loop().time(), itertools.count()
        while asyncio.get_running_loop().time() - reported < 0.25:  # grace period after a drain is announced
            await self.ask(post(f"k{next(numbers)}"))
        before = len(node.runs)
        for number in range(5):
            self.assertEqual((await self.ask(post(f"m{number}")))[0], "HTTP/1.1 200 OK")
        self.assertEqual(len(node.runs), before)
        self.assertGreaterEqual(len(spare.runs), 5)

    async def test_watch_is_reopened_after_errors_disconnects_and_timeouts(self) -> None:
        with mock.patch.object(discovery, "SILENCE_TIMEOUT_S", 0.2):
            await self.run_program(HttpNode())  # the service sends empty lines less often than that
            self.assertIn("from=1", await self.within(self.list.asked.get()))
            self.list.status = 503
            await self.within(self.list.asked.get())
            await self.within(self.list.asked.get())
            self.list.status = 200
        await self.list.close()
        await self.list.start()
        await self.within(self.list.asked.get())
        self.assertEqual((await self.ask(post("j")))[0], "HTTP/1.1 200 OK")


class Stop(SocketCase):
    async def test_sigterm_answers_accepted_jobs_and_ends_the_process(self) -> None:
        node = HttpNode("hold")
        await self.started(node)
        self.list.add("s-1", node.port)
        port = free_port()
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{self.list.port}",
            "seed": "ff",
            "limits": {"sockets": 256},
            "known": {"version": 0, "full": True, "servers": []},
            "settings": platform_settings(
                [
                    {
                        "name": "settle-shift",
                        "effect": "fragile",
                        "late_share": 0.5,
                        "goal_time_ns": 4 * S,
                        "deadline_ns": 10 * S,
                    }
                ]
            ),
        }
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(config))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hollowusher",
                env={**os.environ, "PROXY_CONFIG": str(path)},
                stderr=asyncio.subprocess.PIPE,
            )
            assert process.stderr is not None
            self.assertIn(b"taking jobs", await self.within(process.stderr.readline()))
            self.port = port
            reader, writer = await self.client()
            idle, _ = await self.client()
            writer.write(post("j", "settle-shift", "8"))
            await self.within(node.got.get())
            process.send_signal(signal.SIGTERM)
            self.assertIn(b"asked to stop", await self.within(process.stderr.readline()))
            # New connections are still accepted.
            late = asyncio.create_task(self.ask(post("late", "settle-shift", "8")))
            ready = await self.ask(b"GET /-/ready HTTP/1.1\r\n\r\n")
            self.assertEqual(ready[0], "HTTP/1.1 503 Service Unavailable")
            self.assertEqual(await self.within(idle.read()), b"")
            node.go.set()
            self.assertEqual((await self.within(read_http(reader)))[1]["connection"], "close")
            self.assertEqual((await late)[0], "HTTP/1.1 200 OK")
            self.assertEqual(await self.within(process.wait()), 0)

    def test_progress_reaches_the_dispatcher(self) -> None:
        reported: list[object] = []
        job = ClientJob("j", "eta-quote", "/", b"", 0, S, lambda a: None)
        order = Dispatch(JobAttempt("j", 0, 1), job, 0)
        read_line(b'{"id":"j","state":"running","share":0.4}', order, MEANINGS, reported.append)
        self.assertEqual(reported, [AttemptProgress(JobAttempt("j", 0, 1), 0.4)])
