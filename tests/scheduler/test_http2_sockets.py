"""HTTP/2 connections to route nodes: the whole scheduler against scripted nodes on loopback."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from unittest import mock

from hpack import Encoder
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    Frame,
    HeadersFrame,
    PingFrame,
    PriorityFrame,
    PushPromiseFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)

from hollowusher.balancing import Listed, ListKind
from hollowusher.scheduler.dispatch.model import AttemptEnded, ClientJob, Dispatch, JobAttempt
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.emulator.http2node import ALL_STREAMS, Http2Node, NodePlan
from hollowusher.scheduler.fronts.platform.http2 import Http2Nodes
from hollowusher.scheduler.fronts.platform.nodes import PlatformNodes
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.http2.settings import Http2Config
from hollowusher.scheduler.net.http2.streams import Http2Carrier
from hollowusher.scheduler.net.pool import Pool
from tests.support.balancer import S
from tests.support.standins import MEANINGS, HttpNode, SocketCase, post


class Http2Case(SocketCase):
    """Runs the scheduler with nodes that are listed as HTTP/2."""

    async def run_h2(self, *nodes: Http2Node, ports: tuple[int, ...] = (), **settings: Any) -> None:
        for node in nodes:
            await node.start()
            self.addAsyncCleanup(node.close)
        for index, port in enumerate([n.port for n in nodes] + list(ports)):
            self.list.add(f"s-{index + 1:x}", port)
        fields: dict[str, Any] = {"ping_after_s": 5.0, **settings}
        self.http2 = Http2Config(True, ("s-*",), **fields)
        await self.run_program()

    async def direct(self, node: Http2Node, **settings: Any) -> Direct:
        """Start a node and return a client that sends attempts to it without a dispatcher."""
        await node.start()
        self.addAsyncCleanup(node.close)
        direct = Direct(node.port, Http2Config(True, ("s-*",), **settings), self.log)
        self.addAsyncCleanup(direct.carrier.close)
        return direct

    async def until(self, node: Http2Node, what: Any) -> None:
        """Wait until `what()` is true; checks it after each change of the node."""
        async with asyncio.timeout(10):
            while not what():
                node.changed.clear()
                await node.changed.wait()

    async def job(
        self, name: str, job_class: str = "eta-quote", budget: str = "3", body: bytes = b"parcel"
    ) -> str:
        """Send a job and return the status and result of its response."""
        first, _, result = await self.ask(post(name, job_class, budget, body))
        return f"{first.split()[1]} {result.decode()}"


class Direct:
    """Sends attempts to one node without a dispatcher and records how they end."""

    def __init__(self, port: int, settings: Http2Config, log: LogWriter) -> None:
        self.reported: list[Any] = []
        registry, self.pool = WorkerRegistry(), Pool(1.0, 30.0, 10)
        self.entry = RouteNode("s-1", ("127.0.0.1", port), Listed(1), "http2")
        registry.apply_list(ListKind.FULL, [self.entry])
        self.carrier = Http2Carrier(settings, self.pool, log)
        http1 = PlatformNodes(registry, self.pool, MEANINGS, self.reported.append, log)
        self.nodes = Http2Nodes(registry, self.carrier, http1, MEANINGS, self.reported.append, log)

    def send(
        self,
        name: str,
        job_class: str = "eta-quote",
        number: int = 0,
        gone: bool = False,
        write_by_ns: int = 0,
    ) -> asyncio.Task[None]:
        job = ClientJob(name, job_class, "/", b"x", time.monotonic_ns(), 8 * S, lambda answer: None)
        job.gone = lambda: gone
        order = Dispatch(JobAttempt(name, number, 1), job, 0, write_by_ns)
        return asyncio.create_task(self.nodes.attempt(order, self.entry))

    def endings(self) -> dict[str, str]:
        """Return the outcomes of each job's attempts in order."""
        seen: dict[str, str] = {}
        for event in self.reported:
            if isinstance(event, AttemptEnded):
                ticket = event.attempt.ticket
                seen[ticket] = f"{seen.get(ticket, '')} {event.outcome.name}".strip()
        return seen


class Streams(Http2Case):
    async def test_many_jobs_share_one_connection(self) -> None:
        node = Http2Node(lambda job: NodePlan(run_s=0.05))
        await self.run_h2(node)
        answers = await asyncio.gather(*(self.job(f"j{n}") for n in range(20)))
        self.assertEqual(answers, [f"200 r:j{n}" for n in range(20)])
        self.assertEqual(node.accepted, 1)
        self.assertEqual(set(node.runs.values()), {1})

    async def test_answers_cut_anywhere_and_reports_in_trailers(self) -> None:
        plans = {
            "cut": NodePlan(piece=1, report={"x0": 3.0}),
            "trailed": NodePlan(report={"x0": 2.0}, report_in_trailers=True),
            "large": NodePlan(result="x" * 60_000, piece=999),
            "interim": NodePlan(interim=3),
        }
        node = Http2Node(lambda job: plans[job.name])
        await self.run_h2(node)
        readings: list[object] = []
        owner_post = self.executor_posts(readings)
        with owner_post:
            for name, plan in plans.items():
                self.assertEqual(await self.job(name), f"200 {plan.result or 'r:' + name}")
        self.assertEqual([r.free_slots for r in readings if r is not None], [3.0, 2.0])  # type: ignore[attr-defined]

    async def test_the_connections_window_is_given_back_for_small_answers_too(self) -> None:
        node = Http2Node(lambda job: NodePlan(result="x" * 10_000))
        direct = await self.direct(node)
        for batch in range(10):  # 2 MB in total on one connection, whose window is 1 MiB
            jobs = [direct.send(f"j{batch}-{n}") for n in range(20)]
            await asyncio.wait_for(asyncio.gather(*jobs), 5)
        self.assertEqual(set(direct.endings().values()), {"OK"})
        self.assertEqual(node.accepted, 1)

    async def test_no_stream_begins_for_a_client_that_left_or_past_a_repeats_window(self) -> None:
        node = Http2Node()
        direct = await self.direct(node)
        past = time.monotonic_ns() - 1
        jobs = [direct.send("left", gone=True), direct.send("late", write_by_ns=past), direct.send("good")]
        await asyncio.wait_for(asyncio.gather(*jobs), 5)
        self.assertEqual(direct.endings(), {"left": "NOT_SENT", "late": "NOT_SENT", "good": "OK"})
        self.assertEqual(set(node.runs), {"good"})

    async def test_a_large_body_goes_through_small_windows(self) -> None:
        node = Http2Node(window=1000)
        await self.run_h2(node)
        body = bytes(range(256)) * 256
        self.assertEqual(await self.job("j", "settle-shift", "5", body), "200 r:j")
        self.assertEqual(node.bodies["j"], body)

    async def test_outcomes_are_those_of_http_1(self) -> None:
        """A node that rejects or returns a job or refuses its stream never ran it, so another may run it."""
        for how in ("503", "returned", "refuse"):
            bad, good = Http2Node(lambda job, how=how: NodePlan(how)), Http2Node()  # type: ignore[misc]
            with self.subTest(how):
                case = await self.started_pair(bad, good)
                answers = [(await case.job(f"{how}{n}", "settle-shift", "5"))[:3] for n in range(6)]
                # All three attempts may reach the bad node; the job is then rejected with 503, never 502.
                self.assertTrue({"200"} <= set(answers) <= {"200", "503"}, answers)
                self.assertEqual(set(good.runs.values()), {1})
                self.assertEqual(len(good.runs), answers.count("200"))
                await case.end_program()

    async def test_what_may_have_run_is_not_repeated(self) -> None:
        for how in ("half", "short", "reset", "lost", "cut", "failed"):
            nodes = [Http2Node(lambda job, how=how: NodePlan(how)) for _ in range(2)]  # type: ignore[misc]
            with self.subTest(how):
                case = await self.started_pair(*nodes)
                self.assertEqual(await case.job("j", "settle-shift", "5"), "502 ")
                self.assertEqual(sum(n.runs["j"] for n in nodes), 1)
                await case.end_program()

    async def started_pair(self, *nodes: Http2Node) -> Http2Case:
        self.list.rows.clear()
        await self.run_h2(*nodes)
        return self

    def executor_posts(self, readings: list[object]) -> Any:
        """Record the load reports that arrive with the ends of attempts."""
        real = Http2Nodes._stream

        async def stream(nodes: Http2Nodes, order: Any, node: Any) -> Any:
            ending = await real(nodes, order, node)
            readings.append(ending.reading)
            return ending

        return mock.patch.object(Http2Nodes, "_stream", stream)


class Goaway(Http2Case):
    async def test_in_a_surge_with_streams_on_both_sides_of_the_last_id(self) -> None:
        go = asyncio.Event()
        node = Http2Node(lambda job: NodePlan(before=go))
        direct = await self.direct(node)
        attempts = [direct.send(f"j{n}", "settle-shift") for n in range(6)]
        await self.until(node, lambda: len(node.runs) == 6)
        session = node.sessions[0]
        # The GOAWAY excludes the last three streams, so the node removes their jobs from its records.
        ids = sorted(session.jobs)
        for stream in ids[3:]:
            gone = session.jobs.pop(stream)
            assert gone.task is not None
            gone.task.cancel()
            del node.runs[gone.name]
        session.goaway(ids[2])
        await asyncio.wait_for(asyncio.gather(*attempts[3:]), 5)
        again = direct.send("j3", "settle-shift")  # the decision module may retry a job that never ran
        await self.until(node, lambda: node.runs["j3"] == 1)
        self.assertEqual((node.accepted, node.goaways), (2, 1))
        go.set()
        await asyncio.gather(*attempts, again)
        self.assertEqual(
            direct.endings(),
            {"j0": "OK", "j1": "OK", "j2": "OK", "j3": "NOT_SENT OK", "j4": "NOT_SENT", "j5": "NOT_SENT"},
        )
        self.assertEqual(set(node.runs.values()), {1})

    async def test_a_graceful_pair_ends_nothing(self) -> None:
        go = asyncio.Event()
        node = Http2Node(lambda job: NodePlan(after=go))
        await self.run_h2(node)
        first = asyncio.create_task(self.job("first", "settle-shift", "8"))
        await self.until(node, lambda: node.runs["first"] == 1)
        node.sessions[0].goaway(ALL_STREAMS)
        second = asyncio.create_task(self.job("second", "settle-shift", "8"))
        await self.until(node, lambda: node.runs["second"] == 1)
        self.assertEqual(node.accepted, 2)
        node.sessions[0].goaway()
        go.set()
        self.assertEqual(await asyncio.gather(first, second), ["200 r:first", "200 r:second"])
        # The scheduler also sends a GOAWAY once the connection has no streams.
        self.assertEqual(node.partings, 1)

    async def test_then_the_connection_dies_before_its_streams_end(self) -> None:
        node = Http2Node(lambda job: NodePlan("silent" if job.name.endswith("0") else "done"))
        await self.run_h2(node)
        jobs = [asyncio.create_task(self.job(f"{c}0", c, "2")) for c in ("settle-shift", "eta-quote")]
        await self.until(node, lambda: len(node.runs) == 2)
        session = node.sessions[0]
        session.goaway()
        node.plan = lambda job: NodePlan()
        session.cut()
        ended, quoted = await asyncio.gather(*jobs)
        self.assertEqual(ended, "502 ")
        self.assertEqual(quoted[:3], "200")
        self.assertEqual(node.runs["settle-shift0"], 1)

    async def test_a_node_that_restarts_on_its_address(self) -> None:
        node = Http2Node()
        await self.run_h2(node)
        self.assertEqual(await self.job("a"), "200 r:a")
        port = node.port
        await node.close()
        again = Http2Node()
        await again.start(port)
        self.addAsyncCleanup(again.close)
        self.assertEqual(await self.job("b", "settle-shift", "5"), "200 r:b")
        self.assertEqual((node.runs["b"], again.runs["b"]), (0, 1))


class Limits(Http2Case):
    async def test_lowered_below_what_is_open(self) -> None:
        go = asyncio.Event()
        node = Http2Node(lambda job: NodePlan(after=go))
        direct = await self.direct(node, connections=1, stream_wait_s=5.0)
        first = [direct.send(f"a{n}") for n in range(4)]
        await self.until(node, lambda: len(node.runs) == 4)
        node.sessions[0].announce(limit=1)
        await asyncio.sleep(0.05)
        later = [direct.send(f"b{n}") for n in range(4)]
        await asyncio.sleep(0.05)
        self.assertEqual(len(node.runs), 4)
        node.plan = lambda job: NodePlan(run_s=0.01)
        go.set()
        await asyncio.gather(*first)
        node.most_open = 0
        await asyncio.gather(*later)
        self.assertEqual(set(direct.endings().values()), {"OK"})
        self.assertEqual((node.violations, node.most_open), ([], 1))

    async def test_zero_then_raised(self) -> None:
        node = Http2Node(limit=0)
        await self.run_h2(node, stream_wait_s=5.0)
        jobs = [asyncio.create_task(self.job(f"j{n}", budget="8")) for n in range(3)]
        await self.until(node, lambda: len(node.sessions) == 1)
        await asyncio.sleep(0.1)
        self.assertEqual(len(node.runs), 0)
        for session in node.sessions:
            session.announce(limit=10)
        self.assertEqual(await asyncio.gather(*jobs), [f"200 r:j{n}" for n in range(3)])

    async def test_a_drain_sends_those_who_wait_elsewhere_at_once(self) -> None:
        full, other = Http2Node(limit=0), Http2Node(limit=0)
        await self.run_h2(full, other, connections=1, stream_wait_s=5.0)
        job = asyncio.create_task(self.job("j", "settle-shift", "8"))
        async with asyncio.timeout(5):
            while not (full.sessions or other.sessions):
                await asyncio.sleep(0.01)
        tried, free = (full, other) if full.sessions else (other, full)
        free.limit = 10
        for session in free.sessions:  # a probe may have opened a connection already
            session.announce(limit=10)
        row = next(r for r in self.list.rows if r["addr"].endswith(f":{tried.port}"))
        begun = asyncio.get_running_loop().time()
        self.list.tell([{**row, "state": "DRAINING"}])
        self.assertEqual(await job, "200 r:j")
        # The elapsed time is far below the stream wait of 5 s.
        self.assertLess(asyncio.get_running_loop().time() - begun, 1.0)
        for session in tried.sessions:
            session.announce(limit=10)
        await asyncio.sleep(0.3)
        self.assertEqual((tried.runs["j"], free.runs["j"]), (0, 1))

    async def test_a_deadline_that_passes_in_the_queue_is_answered_in_time(self) -> None:
        node = Http2Node(limit=0)
        await self.run_h2(node, stream_wait_s=30.0)
        begun = asyncio.get_running_loop().time()
        self.assertEqual((await self.job("j", "settle-shift", "0.5"))[:3], "503")  # it never ran
        self.assertLess(asyncio.get_running_loop().time() - begun, 0.5)

    async def test_a_window_of_zero_held_for_ever(self) -> None:
        stuck, good = Http2Node(window=0), Http2Node()
        await self.run_h2(stuck, good, body_wait_s=0.2)
        for n in range(3):
            self.assertEqual(await self.job(f"j{n}", "settle-shift", "5"), f"200 r:j{n}")
        self.assertEqual(sum(stuck.runs.values()), 0)

    async def test_withdrawal_while_the_body_waits_for_window(self) -> None:
        node = Http2Node(window=0)
        await self.run_h2(node, body_wait_s=20.0)
        reader, writer = await self.client()
        writer.write(post("j", "settle-shift", "8"))
        await self.until(node, lambda: self.has_reached(node, "j"))  # a probe reaches the node first
        writer.close()
        await self.until(node, lambda: node.withdrawn == ["j"])
        self.assertEqual(sum(node.runs.values()), 0)
        self.assertFalse(await reader.read())

    @staticmethod
    def has_reached(node: Http2Node, name: str) -> bool:
        """Whether a node has received the headers of a job's request."""
        return any(job.name == name for session in node.sessions for job in session.jobs.values())

    async def test_both_copies_of_a_quote_on_one_connection(self) -> None:
        go = asyncio.Event()
        node = Http2Node(lambda job: NodePlan(after=go))
        direct = await self.direct(node)
        copies = [direct.send("j", number=n) for n in (0, 1)]
        await self.until(node, lambda: node.runs["j"] == 2)
        self.assertEqual(node.accepted, 1)
        copies[0].cancel()  # the dispatcher withdraws one copy; the other one continues
        await self.until(node, lambda: node.withdrawn == ["j"])
        go.set()
        await asyncio.gather(*copies)
        self.assertEqual(direct.endings(), {"j": "CANCELLED OK"})
        await direct.carrier.close()
        self.assertEqual(direct.pool.held, 0)


class Hostile(Http2Case):
    async def test_floods_end_the_connection_and_nothing_else(self) -> None:
        continued = HeadersFrame(1, data=b"\x88")  # HEADERS and CONTINUATIONs without END_HEADERS
        floods: dict[str, list[Frame]] = {
            "settings": [SettingsFrame(0)] * 2000,
            "ping": [PingFrame(0, b"12345678")] * 2000,
            "priority": [PriorityFrame(1)] * 2000,
            "window": [WindowUpdateFrame(0, window_increment=1)] * 2000,
            "empty data": [DataFrame(1, b"")] * 2000,
            "reset": [RstStreamFrame(n) for n in range(1, 4000, 2)],
            "overflow": [WindowUpdateFrame(0, window_increment=2**31 - 1)] * 2,
            "continuation": [continued, *[ContinuationFrame(1, data=b"\x00")] * 2000],
            "push": [PushPromiseFrame(1, promised_stream_id=2, data=b"\x88", flags=["END_HEADERS"])],
            "a frame too large": [DataFrame(1, b"x" * 20_000)],
            "headers too large": [
                HeadersFrame(
                    1,
                    data=Encoder().encode([(":status", "200")] + [("x-h", "v" * 9000)] * 3, huffman=True),
                    flags=["END_HEADERS"],
                )
            ],
            "garbage": [DataFrame(77, b"x" * 100)],
        }
        for name, frames in floods.items():
            with self.subTest(name):
                node = Http2Node(lambda job: NodePlan("silent"))
                direct = await self.direct(node, ping_after_s=30.0)
                struck = direct.send("struck", "settle-shift")
                await self.until(node, lambda: node.runs["struck"] == 1)  # noqa: B023
                session = node.sessions[0]
                session.raw(*frames)
                await asyncio.wait_for(struck, 5)
                node.plan = lambda job: NodePlan()
                await direct.send("next", "settle-shift")
                self.assertEqual(direct.endings(), {"struck": "RESET", "next": "OK"})
                self.assertEqual(node.accepted, 2)
                await direct.carrier.close()
                self.assertEqual(direct.pool.held, 0)

    async def test_interim_answers_and_unfinished_lines_are_bounded(self) -> None:
        plans = {"interim": NodePlan(interim=50), "line": NodePlan(result="x" * 400_000, piece=16_000)}
        node = Http2Node(lambda job: plans[job.name])
        await self.run_h2(node, held_bytes=128 * 1024)
        for name in plans:
            self.assertEqual(await self.job(name, "settle-shift", "3"), "502 ", name)
        node.plan = lambda job: NodePlan()
        self.assertEqual(await self.job("next"), "200 r:next")

    async def test_a_node_that_says_nothing_more_is_given_up(self) -> None:
        silent, good = Http2Node(lambda job: NodePlan("silent")), Http2Node()
        await self.run_h2(silent, good, ping_after_s=0.2, ping_wait_s=0.3)
        while not silent.runs:
            await self.job(f"warm-{len(good.runs)}", budget="3")
        for session in list(silent.sessions):
            session.stop_reading()
        silent.plan = lambda job: NodePlan()
        for n in range(3):
            self.assertEqual((await self.job(f"j{n}", budget="3"))[:3], "200")

    async def test_a_node_that_speaks_only_http_1(self) -> None:
        for fall_back, answer in ((False, "503 "), (True, "200 r:j")):
            with self.subTest(fall_back=fall_back):
                old = HttpNode()
                await self.started(old)
                self.list.rows.clear()
                with mock.patch.object(LogWriter, "warning") as warned:
                    await self.run_h2(ports=(old.port,), fall_back=fall_back)
                    self.assertEqual(await self.job("j", "settle-shift", "2"), answer)
                self.assertIn("h2-not-spoken", [c.args[0] for c in warned.call_args_list])
                self.assertEqual(old.runs, ["j"] if fall_back else [])
                await self.end_program()


class Ending(Http2Case):
    async def test_sigterm_and_sighup_with_streams_open(self) -> None:
        go, again = asyncio.Event(), asyncio.Event()
        node = Http2Node(lambda job: NodePlan(after=go))
        await node.start()
        self.addAsyncCleanup(node.close)
        self.list.add("s-1", node.port)
        self.http2 = Http2Config(True, ("s-*",))
        await self.run_program(again=again, read=lambda: self.config)
        job = asyncio.create_task(self.job("j", "settle-shift", "8"))
        await self.until(node, lambda: node.runs["j"] == 1)
        again.set()
        self.assertEqual((await self.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0], "HTTP/1.1 200 OK")
        self.stop.set()
        await asyncio.sleep(0.05)
        go.set()
        self.assertEqual(await job, "200 r:j")
        async with asyncio.timeout(8):
            await self.program
        self.assertEqual((node.accepted, node.partings), (1, 1))
        self.assertEqual(node.runs, {"j": 1})
