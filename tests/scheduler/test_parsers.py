"""Table-driven tests: STOMP frames, HTTP, node lists, load reports, ring buffers and log lines."""

from __future__ import annotations

import asyncio
import math
import socket
import unittest
import unittest.mock
from datetime import UTC, datetime
from typing import Any

from hollowusher.balancing import ListKind, Outcome, Reading, State
from hollowusher.scheduler.dispatch.worker_registry import MAX_NODES, WorkerRegistry
from hollowusher.scheduler.fronts.common import read_load
from hollowusher.scheduler.fronts.platform.answers import ending_of_head
from hollowusher.scheduler.fronts.platform.http import AnswerReader, BadInput, RequestReader
from hollowusher.scheduler.fronts.stomp.frames import (
    FROM_CLIENT,
    FROM_SERVER,
    Frame,
    FrameError,
    FrameReader,
    encode,
)
from hollowusher.scheduler.fronts.stomp.wire import read_heartbeat
from hollowusher.scheduler.log import LogWriter, escape, message
from hollowusher.scheduler.logs.outlet import Outlet
from hollowusher.scheduler.net.link import Link
from hollowusher.scheduler.net.ring import RingBuffer, ring_bytes
from hollowusher.scheduler.rules.node_list import read_list
from tests.support.balancer import S
from tests.support.standins import MEANINGS, post

SEND = b"SEND\ndestination:/queue/jobs\nx:1\nx:2\ncontent-length:3\n\na\0b\0"


class Frames(unittest.TestCase):
    def read(self, *pieces: bytes) -> list[Frame]:
        reader = FrameReader(FROM_CLIENT | FROM_SERVER)
        for piece in pieces:
            reader.feed(piece)
        return list(reader.ready)

    def test_valid_frames_with_any_split(self) -> None:
        cases: dict[bytes, list[tuple[str, dict[str, str], bytes]]] = {
            SEND: [("SEND", {"destination": "/queue/jobs", "x": "1", "content-length": "3"}, b"a\0b")],
            b"\n\r\n\nACK\r\nid:7\r\n\r\n\0\n\n": [("ACK", {"id": "7"}, b"")],
            b"SEND\na\\cb:\\\\ \\r\\n\n\nbody\0": [("SEND", {"a:b": "\\ \r\n"}, b"body")],
            b"CONNECT\npath:C\\temp:x\n\n\0": [("CONNECT", {"path": "C\\temp:x"}, b"")],
            b"SEND\na:\xc3\xa9\n\n\0BEGIN\nt:1\n\n\0": [
                ("SEND", {"a": "\u00e9"}, b""),
                ("BEGIN", {"t": "1"}, b""),
            ],
            b"SEND\na: b \n\n\n\n\0": [("SEND", {"a": " b "}, b"\n\n")],
            b"\n\n": [],
        }
        for data, expected in cases.items():
            frames = [Frame(c, h, b) for c, h, b in expected]
            self.assertEqual(self.read(data), frames, data)
            for cut in range(len(data)):
                self.assertEqual(self.read(data[:cut], data[cut:]), frames, (data, cut))

    def test_invalid_frames_are_rejected(self) -> None:
        for data in (
            b"HELLO\n\n\0",
            b"send\n\n\0",
            b"SEND\n:v\n\n\0",
            b"SEND\nno colon\n\n\0",
            b"SEND\na:\\t\n\n\0",
            b"SEND\na:\\\n\n\0",
            b"SEND\na:b\0",
            b"SEND\na:\xff\n\n\0",
            b"SEND\na:b\rc\n\n\0",
            b"SEND\ncontent-length:x\n\n\0",
            b"SEND\ncontent-length:-1\n\n\0",
            b"SEND\ncontent-length:1\n\nab\0",
            b"SEND\ncontent-length:65537\n\n",
            b"SEND\n\n" + b"x" * 65537,
            b"SEND\n" + b"a:b\n" * 65 + b"\n\0",
            b"S" * 8193,
            b"SUBSCRIBE\nid:1\n\nbody\0",
        ):
            with self.assertRaises(FrameError, msg=data[:40]):
                self.read(data)

    def test_encoded_frames_can_be_decoded(self) -> None:
        headers = {"a:b": "1\r\n2\\3:4", "c": ""}
        (frame,) = self.read(encode(Frame("SEND", headers, b"\0\n")) + b"\0\n\0")
        self.assertEqual((dict(frame.headers), frame.body), ({**headers, "content-length": "2"}, b"\0\n"))
        self.assertEqual(encode(Frame("CONNECTED", {"session": "a:b"})), b"CONNECTED\nsession:a:b\n\n")

    def test_heart_beat_header(self) -> None:
        self.assertEqual(read_heartbeat(Frame("CONNECT", {"heart-beat": "10,0"})), (10, 0))
        self.assertEqual(read_heartbeat(Frame("CONNECT")), (0, 0))
        for bad in ("1", "1,2,3", "a,b", "-1,2", "1.5,2", ""):
            with self.assertRaises(FrameError, msg=bad):
                read_heartbeat(Frame("CONNECT", {"heart-beat": bad}))


class Http(unittest.TestCase):
    def test_requests_with_any_split(self) -> None:
        data = post("a") + post("b", body=b"")
        for cut in range(len(data)):
            reader = RequestReader()
            for piece in (data[:cut], data[cut:]):
                reader.feed(memoryview(piece))
            self.assertEqual(
                [(r.headers["x-call-id"], r.body) for r in reader.ready], [("a", b"parcel"), ("b", b"")], cut
            )

    def test_invalid_requests_are_rejected(self) -> None:
        cases = {
            b"\0\0\0\0": 400,
            b"GET / HTTP/9.9\r\n\r\n": 400,
            b"GET / HTTP/1.1\r\nA B\r\n\r\n": 400,
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n": 400,
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
            b"POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n": 413,
            b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n": 400,
            b"GET / HTTP/1.1\r\n\r\n" * 17: 400,
        }
        for data, status in cases.items():
            with self.assertRaises(BadInput, msg=data) as caught:
                RequestReader().feed(memoryview(data))
            self.assertEqual(caught.exception.status, status, data)

    def test_responses_are_read_line_by_line(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        data = head + b"5\r\n{1}\n{\r\n3\r\n2}\n\r\n3\r\n{3}\r\n0\r\n\r\n"
        for cut in range(len(data)):
            reader = AnswerReader(100)
            for piece in (data[:cut], data[cut:]):
                reader.feed(memoryview(piece))
            self.assertEqual(list(reader.lines), [b"{1}", b"{2}", b"{3}"], cut)
            self.assertTrue(reader.reusable)
        for bad in (b"SMTP ready\r\n", head + b"zz\r\n", head + b"c8\r\n" + b"x" * 200):
            with self.assertRaises(ConnectionError, msg=bad):
                AnswerReader(100).feed(memoryview(bad))

    def test_response_heads_that_end_an_attempt(self) -> None:
        load = {"x-load-report": '{"x0":1}'}
        cases: tuple[tuple[int, dict[str, str], Outcome | None], ...] = (
            (200, {}, None),
            (500, load, Outcome.ERROR),
            (503, {"x-rejected": "1"}, Outcome.FULL),
            (504, {"x-rejected": "1", **load}, Outcome.FULL),
            (503, {}, Outcome.ERROR),
            (404, {}, Outcome.ERROR),
            (500, {"x-rejected": "1"}, Outcome.ERROR),
        )
        for status, headers, expected in cases:
            ending = ending_of_head(status, headers, MEANINGS)
            self.assertEqual(ending and ending.outcome, expected, (status, headers))
            if ending and "x-load-report" in headers:
                self.assertEqual(ending.reading, Reading(free_slots=1.0))

    def test_load_reports(self) -> None:
        cases: tuple[tuple[object, Reading | None], ...] = (
            ('{"queue":2,"util":0.6,"x0":1}', Reading(waiting=2.0, busy=0.6, free_slots=1.0)),
            ({"depth": 2, "load_share": 0.6}, Reading(waiting=2.0, busy=0.6)),
            ('{"new":1}', None),
            ("{", None),
            ("[1]", None),
            (None, None),
            ('{"x0":"2"}', None),
            ({"x0": True}, None),
        )
        for value, expected in cases:
            self.assertEqual(read_load(value, MEANINGS), expected, value)


ROW: dict[str, Any] = {
    "id": "s-5be2a07c",
    "addr": "127.0.0.1:8000",
    "zone": "a",
    "kind": "m",
    "cell": 3,
    "state": "SERVING",
    "weight": 1.5,
    "started_ms": 0,
}


class NodeLists(unittest.TestCase):
    def test_list_entries(self) -> None:
        reported = {"version": 4, "full": True, "servers": [ROW, {**ROW, "id": "x", "started_ms": 99_000}]}
        read = read_list(reported, WorkerRegistry(), 50 * S, 100_000.0)
        old, young = read.nodes
        self.assertEqual((read.version, read.full), (4, True))
        self.assertEqual((old.entry.worker, old.address), (0x5BE2A07C, ("127.0.0.1", 8000)))
        self.assertEqual((old.entry.cell, old.entry.size, old.entry.started_ns), (3, 1.5, 0))
        self.assertEqual(young.entry.started_ns, 49 * S)  # one second ago, converted to the monotonic clock

    def test_an_invalid_row_affects_only_its_own_node(self) -> None:
        bad: tuple[object, ...] = (
            {},
            {**ROW, "state": "ASLEEP"},
            {**ROW, "addr": "nowhere"},
            {**ROW, "cell": "x"},
            "row",
            None,
            [],
            {**ROW, "addr": "a.b:80"},
            {**ROW, "addr": "127.0.0.1:70000"},
            {**ROW, "started_ms": 1e999},
            {**ROW, "weight": math.nan},
            {**ROW, "state": ["SERVING"]},
            {**ROW, "weight": [2]},
        )
        for row in bad:
            registry, good = WorkerRegistry(), {**ROW, "id": "x"}
            registry.apply_list(ListKind.FULL, read_list({"servers": [ROW, good]}, registry, 0, 0.0).nodes)
            read = read_list({"servers": [row, good]}, registry, 0, 0.0)
            self.assertEqual(len(read.faults), 1, row)
            registry.apply_list(ListKind.CHANGES, read.nodes)
            named = isinstance(row, dict) and "id" in row
            self.assertIs(registry.serving(0x5BE2A07C), not named, row)
            self.assertTrue(registry.serving(registry.number("x")))
        others: tuple[object, ...] = (None, [], {}, {"servers": {}}, {"servers": [], "version": [1]})
        for other in others:
            with self.assertRaises(ValueError, msg=other):
                read_list(other, WorkerRegistry(), 0, 0.0)

    def test_a_duplicate_row_cannot_revive_a_draining_node_and_list_size_is_bounded(self) -> None:
        drains = {**ROW, "state": "DRAINING"}
        for rows in ([ROW, drains], [drains, ROW]):
            read = read_list({"servers": rows}, WorkerRegistry(), 0, 0.0)
            self.assertEqual([n.entry.state for n in read.nodes], [State.DRAINING])
            self.assertEqual(read.faults, ["s-5be2a07c is named twice"])
        huge = [{**ROW, "id": f"n-{i:x}"} for i in range(MAX_NODES + 10)]
        read = read_list({"servers": huge}, WorkerRegistry(), 0, 0.0)
        self.assertEqual((len(read.nodes), len(read.faults)), (MAX_NODES, 1))

    def test_outdated_changes_are_detected_and_full_lists_always_apply(self) -> None:
        for version, full, outdated in ((3, False, True), (4, False, False), (3, True, False)):
            read = read_list({"version": version, "full": full, "servers": []}, WorkerRegistry(), 0, 0.0)
            self.assertIs(read.outdated(4), outdated)

    def test_registry_keeps_static_nodes_and_bounds_the_others(self) -> None:
        registry = WorkerRegistry()
        fixed, other = read_list({"servers": [ROW, {**ROW, "id": "x"}]}, registry, 0, 0.0).nodes
        registry.add_static(fixed)
        reported = registry.apply_list(ListKind.FULL, [other])
        self.assertEqual({e.worker for e in reported.entries}, {fixed.entry.worker, other.entry.worker})
        registry.apply_list(ListKind.FULL, [])
        self.assertTrue(registry.serving(fixed.entry.worker))
        self.assertFalse(registry.serving(other.entry.worker))
        amended = registry.update_node(fixed.entry.worker, state=State.DRAINING)
        assert amended is not None  # CHANGES would be taken for a sign of a working watch
        self.assertEqual((amended.kind, len(amended.entries)), (ListKind.CACHED, 2))
        for batch in range(3):
            rows = [{**ROW, "id": f"n-{batch * MAX_NODES + i:x}"} for i in range(MAX_NODES)]
            registry.apply_list(ListKind.FULL, read_list({"servers": rows}, registry, 0, 0.0).nodes)
        self.assertLessEqual(len(registry._nodes), MAX_NODES + 1)
        self.assertLessEqual(len(registry._numbers), 2 * MAX_NODES)

    def test_colliding_names_get_different_numbers(self) -> None:
        registry = WorkerRegistry()
        self.assertEqual(
            (registry.number("a-1f"), registry.number("b-1f"), registry.number("a-1f")), (31, 32, 31)
        )


class RingBuffers(unittest.TestCase):
    def test_size_follows_the_limits(self) -> None:
        cases = {(192, 256): 16_384, (80, 384): 8_192, (64, 1024): 4_096, (16, 4096): 2_048}
        for (memory_mb, sockets), expected in cases.items():
            self.assertEqual(ring_bytes(memory_mb, sockets), expected)

    def test_memory_is_allocated_at_first_use_and_released(self) -> None:
        ring = RingBuffer(8)
        ring.put(b"abc")
        ring.release()
        self.assertEqual((ring.size, ring.pending().obj), (0, b""))
        self.assertEqual(ring.put(b"123456789"), 8)

    def test_closed_connection_holds_no_memory(self) -> None:
        async def closed() -> int:
            ours, theirs = socket.socketpair()
            with theirs:
                ours.setblocking(False)
                link = Link(ours)
                theirs.sendall(b"x")
                await link.fill()
                link.close()
            return link.inbound.size

        self.assertEqual(asyncio.run(closed()), 0)

    def test_bytes_keep_their_order_across_the_wrap(self) -> None:
        ring, sent, got = RingBuffer(7), bytes(range(200)), b""
        at = 0
        while len(got) < len(sent):
            at += ring.put(sent[at : at + 5])
            piece = ring.pending()[:3]
            got += bytes(piece)
            ring.taken(len(piece))
            self.assertLessEqual(ring.size, 7)
        self.assertEqual(got, sent)
        ring.put(b"x" * 9)
        self.assertEqual((ring.size, len(ring.writable())), (7, 0))


class LogLines(unittest.TestCase):
    def test_rfc_5424_message(self) -> None:
        when = datetime(2026, 12, 1, 8, 30, 0, 5, tzinfo=UTC)
        line = message(4, when, "n 0", "list-broken", "it\nbroke", {"wh]y=": 'a"b]c\\d\n', "n": "1"})
        head, _, rest = line.partition(" hollowusher ")
        self.assertEqual(head, "<132>1 2026-12-01T08:30:00.000005Z n0")
        self.assertRegex(rest, r'^\d+ list-broken \[job@32473 why="a\\"b\\\]c\\\\d " n="1"\] it broke$')
        self.assertIn(" - nothing", message(6, when, "", "x", "nothing", {}))
        self.assertEqual(escape("\x00\x1f\x7f"), "   ")

    def test_lines_are_forwarded_to_a_syslog_receiver(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            receiver.settimeout(5)
            log = LogWriter("h", forward=receiver.getsockname())
            with unittest.mock.patch.object(Outlet, "put") as put:
                log.warning("list-broken", "gone", why="x")
            self.assertEqual(receiver.recv(4096).decode(), put.call_args.args[0])
            log.close()

    def test_lines_are_limited_and_counted(self) -> None:
        now = [0.0]
        log = LogWriter("h", per_s=1.0, burst=2.0, clock=lambda: now[0])
        with unittest.mock.patch.object(Outlet, "put") as put:
            for _ in range(5):
                log.info("a", "text")
            log.info("b", "another id has a measure of its own")
            now[0] = 1.0
            log.info("a", "text")
        lines = [call.args[0] for call in put.call_args_list]
        self.assertEqual(len(lines), 4)
        self.assertIn('left-out="3"', lines[-1])
