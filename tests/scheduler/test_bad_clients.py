"""Misbehaving clients get an error response or a close in time, and do not affect other clients."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import unittest
from unittest import mock

from hollowusher.scheduler.fronts.common import JobIds, printable, read_budget_ns
from hollowusher.scheduler.fronts.platform import clients
from hollowusher.scheduler.fronts.platform.clients import read_job
from hollowusher.scheduler.fronts.platform.http import BadInput, RequestReader
from hollowusher.scheduler.fronts.stomp import clients as stomp_clients
from hollowusher.scheduler.net.link import Link
from tests.support.standins import (
    CLASSES,
    PATIENCE_S,
    HttpNode,
    SocketCase,
    StompNodeStandIn,
    post,
    read_http,
    stomp,
)

MOST_CLIENTS = 4  # of the STOMP front, in the tests of evicted connections
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
JOB = HEAD + b"X-Call-Id: j\r\nX-Call-Class: eta-quote\r\nX-Budget: 3\r\n"


class Checks(unittest.TestCase):
    def test_ambiguous_requests_are_rejected(self) -> None:
        cases = {
            JOB + b"X-Call-Id: k\r\n\r\n": 400,
            JOB + b"X-Budget: 4\r\n\r\n": 400,
            JOB + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": 400,
            JOB + b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n": 400,
            JOB + b"Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nabcd": 400,
            JOB + b"Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n": 400,
            JOB + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n": 400,
            JOB + b"X: a\r\n Transfer-Encoding: chunked\r\n\r\n": 400,
            JOB + b"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\n": 400,
            JOB + b"Content-Length: -4\r\n\r\nabcd": 400,
            JOB + b"Content-Length: +4\r\n\r\nabcd": 400,
            JOB + b"Content-Length: ten\r\n\r\nabcd": 400,
            JOB + b"Content-Length: 4\r\nContent-Length: 9\r\n\r\nabcd": 400,
            JOB + b"Content-Length: 60000000\r\n\r\n": 413,
            JOB + b"Content-Length: 2\r\n\r\nabcdefgh": 400,
            JOB + b"a line with no colon\r\n\r\n": 400,
            JOB.replace(b"HTTP/1.1", b"HTTP/2.0") + b"\r\n": 505,
            JOB.replace(b"HTTP/1.1", b"HTTP/0.9") + b"\r\n": 505,
            JOB.replace(b" /x ", b" http://other/x ") + b"\r\n": 400,
            JOB.replace(b" /x ", b" /x#y ") + b"\r\n": 400,
            JOB.replace(b" /x ", b" * ") + b"\r\n": 400,
            b"\x16\x03\x01\x02\x00": 400,
        }
        for data, status in cases.items():
            with self.assertRaises(BadInput, msg=data) as caught:
                RequestReader().feed(memoryview(data))
            self.assertEqual(caught.exception.status, status, data)

    def test_trailers_are_ignored(self) -> None:
        reader = RequestReader()
        reader.feed(memoryview(JOB + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Extra: z\r\n\r\n"))
        self.assertNotIn("x-extra", reader.ready[0].headers)

    def test_trailers_without_end_are_rejected(self) -> None:
        for trailer in (b"X-Extra: " + b"z" * 30_000, b"X-Extra: z\r\n" * 3_000):
            reader = RequestReader()
            reader.feed(memoryview(JOB + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"))
            with self.assertRaises(BadInput) as caught:
                for start in range(0, len(trailer), 1000):
                    reader.feed(memoryview(trailer[start : start + 1000]))
            self.assertEqual(caught.exception.status, 431)

    def test_jobs_that_a_node_would_reject_are_rejected(self) -> None:
        classes = {c.name: c for c in CLASSES}
        good = JOB + b"\r\n"
        keyed = good.replace(b"eta-quote", b"assign-rider")
        for data in (
            good.replace(b"X-Call-Id: j\r\n", b""),
            good.replace(b": j\r", b": a b\r"),
            good.replace(b": j\r", b": \xe9\r"),
            good.replace(b": j\r", b": " + b"j" * 129 + b"\r"),
            good.replace(b"eta-quote", b"eta-quote-old"),
            good.replace(b": 3\r", b": \r"),
            good.replace(b": 3\r", b": 3s\r"),
            good.replace(b": 3\r", b": nan\r"),
            keyed,
            keyed.replace(b"X-Budget", b"Idempotency-Key: a b\r\nX-Budget"),
            good.replace(b"X-Budget", b"X-Call-Info: slots=1e300\r\nX-Budget"),
        ):
            reader = RequestReader()
            reader.feed(memoryview(data))
            with self.assertRaises(BadInput, msg=data):
                read_job(reader.ready[0], classes, 0, lambda a: None)

    def test_budgets(self) -> None:
        cases = {"3": 3_000_000_000, "0.480": 480_000_000, ".5": 500_000_000, "4.": 4_000_000_000, "0": 0}
        for text, expected in cases.items():
            self.assertEqual(read_budget_ns(text), expected, text)
        for text in ("", "-1", "+1", "nan", "inf", "1e3", "1_0", "0x1", "١", "1 ", "1,5", "99999999", "."):
            self.assertIsNone(read_budget_ns(text), text)

    def test_names(self) -> None:
        self.assertTrue(printable("9b1f03aa5c7e2d41"))
        for text in ("a b", "a\r\nb", "\x7f", "é", "x" * 129):
            self.assertFalse(printable(text), text)

    def test_an_id_is_open_once_and_a_limited_number_of_closed_ids_is_kept(self) -> None:
        ids = JobIds(max_closed=2)
        self.assertTrue(ids.claim("a"))
        self.assertFalse(ids.claim("a") or ids.claim("a", again=True))
        ids.free("a")
        self.assertFalse(ids.claim("a"))
        self.assertTrue(ids.claim("a", again=True))
        ids.free("a")
        for name in ("b", "c"):
            ids.claim(name)
            ids.free(name)
        self.assertTrue(ids.claim("a"))


class BadHttp(SocketCase):
    async def status(self, data: bytes) -> str:
        return (await self.ask(data))[0].split()[1]

    async def test_request_with_the_id_of_another_request_never_reaches_a_node(self) -> None:
        node = HttpNode("hold")
        await self.run_program(node)
        reader, writer = await self.client()
        writer.write(post("j"))
        await self.within(node.got.get())
        self.assertEqual(await self.status(post("j")), "409")
        node.go.set()
        self.assertEqual((await self.within(read_http(reader)))[2], b"r:j")
        self.assertEqual(await self.status(post("j")), "409")  # also just after the first job was answered
        self.assertEqual(await self.status(post("k")), "200")
        self.assertEqual(node.runs, ["j", "k"])

    async def test_invalid_data_after_a_request_cancels_its_job(self) -> None:
        node = HttpNode("hold")
        await self.run_program(node)
        reader, writer = await self.client()
        writer.write(post("j"))
        await self.within(node.got.get())
        writer.write(b"the rest of a longer body")
        self.assertIn("400", (await self.within(read_http(reader)))[0])
        self.assertEqual(await self.within(node.ended.get()), "j")

    async def test_large_body_is_rejected_early_and_the_client_can_read_the_response(self) -> None:
        await self.run_program(HttpNode())
        reader, writer = await self.client()
        writer.write(post("j", body=b"").replace(b"Length: 0", b"Length: 60000000"))
        answer = asyncio.create_task(read_http(reader))
        sent = 0
        with contextlib.suppress(ConnectionError):
            while not answer.done() and sent < 60_000_000:  # sends without waiting until the response arrives
                writer.write(b"x" * 65_536)
                sent += 65_536
                await writer.drain()
                await asyncio.sleep(0)
        self.assertIn("413", (await self.within(answer))[0])
        self.assertLess(sent, 60_000_000)
        writer.write(b"x" * 65_536)  # data that crosses the response does not reset the connection
        self.assertEqual(await self.within(reader.read()), b"")

    async def test_partial_requests_and_silent_connections_time_out(self) -> None:
        await self.run_program(HttpNode())
        with (
            mock.patch.object(clients, "FIRST_REQUEST_TIMEOUT_S", 0.2),
            mock.patch.object(clients, "REQUEST_TIMEOUT_S", 0.2),
        ):
            half, half_writer = await self.client()
            half_writer.write(JOB + b"Content-Length: 9\r\n\r\nhalf")
            slow, slow_writer = await self.client()
            silent, _ = await self.client()
            start = time.monotonic()
            for letter in JOB[:8]:  # further bytes of a header section do not extend the timeout
                slow_writer.write(bytes([letter]))
                await asyncio.sleep(0.05)
            for reader, expected in ((half, "408"), (slow, "408")):
                self.assertIn(expected, (await self.within(read_http(reader)))[0])
            self.assertEqual(await self.within(silent.read()), b"")
            self.assertLess(time.monotonic() - start, 2.0)

    async def test_idle_connection_that_served_a_job_stays_open(self) -> None:
        await self.run_program(HttpNode())
        with (
            mock.patch.object(clients, "FIRST_REQUEST_TIMEOUT_S", 0.05),
            mock.patch.object(clients, "REQUEST_TIMEOUT_S", 0.05),
        ):
            reader, writer = await self.client()
            writer.write(post("j"))
            await self.within(read_http(reader))
            await asyncio.sleep(0.2)
            writer.write(post("k"))
            self.assertEqual((await self.within(read_http(reader)))[2], b"r:k")

    async def test_silent_connections_do_not_keep_clients_out_or_exhaust_descriptors(self) -> None:
        with (
            mock.patch("hollowusher.scheduler.app.SPARE_SOCKETS", 310),
            mock.patch.object(clients, "NEW_CONNECTION_GRACE_S", 0.0),
        ):
            await self.run_program(HttpNode())
            kept, kept_writer = await self.client()
            kept_writer.write(post("first"))
            await self.within(read_http(kept))
            crowd = [await self.client() for _ in range(60)]
            for number in range(5):
                self.assertEqual(await self.status(post(f"j{number}")), "200")
            self.assertEqual(await self.within(crowd[0][0].read()), b"")  # the oldest was evicted
            kept_writer.write(post("last"))  # the client with an earlier request was not evicted
            self.assertEqual((await self.within(read_http(kept)))[2], b"r:last")


class BadStomp(SocketCase):
    async def test_job_id_that_another_client_has_open_is_an_error(self) -> None:
        node = StompNodeStandIn("hold")
        await self.run_program(stomp_nodes=(node,))
        session, other = await self.stomp_client(), await self.stomp_client("depot-2")
        session.job("pay-1")
        held = await self.within(node.got.get())
        other.job("pay-1")
        self.assertEqual((await other.next())[0], "ERROR")
        # Both fronts share the open ids.
        self.assertIn("409", (await self.ask(post("pay-1", "settle-shift")))[0])
        node.finish(held)
        self.assertEqual(await session.answer(), ("pay-1", "served", b"r:pay-1"))
        self.assertEqual(node.runs, ["pay-1"])

    async def test_invalid_frames_get_an_error_that_the_client_can_read(self) -> None:
        await self.run_program(stomp_nodes=(StompNodeStandIn(),))
        fields = {"destination": "/queue/jobs", "job_id": "j", "job_class": "eta-quote", "budget": "5"}
        for changes in (
            {"budget": "nan"},
            {"budget": "-1"},
            {"job_class": "other"},
            {"job_id": "a b"},
            {"job_class": "assign-rider"},
            {"content_length": "60000000"},
        ):
            session = await self.stomp_client()
            session.writer.write(stomp("SEND", b"x", **{**fields, **changes}) + b"x" * 300_000)
            self.assertEqual((await session.next())[0], "ERROR", changes)

    async def test_partial_frames_and_silent_connections_time_out(self) -> None:
        with (
            mock.patch.object(stomp_clients, "FIRST_REQUEST_TIMEOUT_S", 0.2),
            mock.patch.object(stomp_clients, "REQUEST_TIMEOUT_S", 0.2),
        ):
            await self.run_program(stomp_nodes=(StompNodeStandIn(),))
            session = await self.stomp_client()
            session.writer.write(b"SEND\ndestination:/queue/jobs\n")
            self.assertEqual((await session.next())[0], "ERROR")
            silent, _ = await asyncio.open_connection("127.0.0.1", self.stomp_port)
            self.assertEqual(await self.within(silent.read()), b"")

    async def test_a_silent_connection_is_evicted_for_a_new_client(self) -> None:
        with mock.patch.object(stomp_clients, "NEW_CONNECTION_GRACE_S", 0.0):
            await self.run_program(stomp_nodes=(StompNodeStandIn(),), most_clients=4)
            crowd = [await asyncio.open_connection("127.0.0.1", self.stomp_port) for _ in range(6)]
            session = await self.stomp_client()
            session.job("pay-1")
            self.assertEqual(await session.answer(), ("pay-1", "served", b"r:pay-1"))
            for _, writer in crowd:
                writer.close()

    async def test_an_evicted_connection_frees_its_socket_at_once(self) -> None:
        # Guards against more open sockets than `most-clients`, while evicted connections closed with linger.
        for sent in (b"", b"CONNECT\nlogin:", b"not a frame\n\n\0"):
            with self.subTest(sent=sent):
                self.assertEqual(await self.most_open_links(sent, MOST_CLIENTS * 3), MOST_CLIENTS)

    async def most_open_links(self, sent: bytes, connections: int) -> int:
        """Open this many connections that send `sent`, and return how many the server keeps open."""
        links: list[Link] = []

        def open_link(sock: socket.socket) -> Link:
            links.append(Link(sock))
            return links[-1]

        with (
            mock.patch.object(stomp_clients, "NEW_CONNECTION_GRACE_S", 0.0),
            mock.patch.object(stomp_clients, "LINGER_S", PATIENCE_S),
            mock.patch.object(stomp_clients, "Link", open_link),
        ):
            await self.run_program(stomp_nodes=(StompNodeStandIn(),), most_clients=MOST_CLIENTS)
            for number in range(connections):
                _, writer = await asyncio.open_connection("127.0.0.1", self.stomp_port)
                self.addCleanup(writer.close)
                writer.write(sent)
                while len(links) <= number:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            still_open = sum(not link.closed for link in links)
            await self.end_program()
        return still_open
