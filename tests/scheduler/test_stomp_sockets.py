"""The STOMP front on real sockets: one answer per accepted frame; an unsafe job (settle-shift) runs once."""

from __future__ import annotations

import asyncio
import time

from hollowusher.balancing import Listed, Outcome
from hollowusher.scheduler.dispatch.model import AttemptEnded, ClientJob, Dispatch, JobAttempt
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.fronts.stomp.nodes import StompNodes
from tests.support.balancer import S
from tests.support.standins import MEANINGS, HttpNode, SocketCase, Stomp, StompNodeStandIn, post, stomp


class OneAnswerEach(SocketCase):
    async def ran(self, session: Stomp, node: StompNodeStandIn) -> list[str]:
        """Return the jobs that the node has run.

        One more job runs first: the node works in order, so a queued second run would precede it."""
        node.mode = "done"
        session.job("last")
        self.assertEqual(await session.answer(), ("last", "served", b"r:last"))
        self.assertEqual(node.runs[-1], "last")
        return node.runs[:-1]

    async def test_a_job_is_accepted_run_and_answered_once(self) -> None:
        node = StompNodeStandIn()
        await self.run_program(stomp_nodes=(node,))
        session = await self.stomp_client()
        session.job("j1")
        self.assertEqual((await session.next())[:2], ("RECEIPT", {"receipt-id": "taken-j1"}))
        self.assertEqual(await session.answer(), ("j1", "served", b"r:j1"))
        session.put("DISCONNECT", receipt="bye")
        # Frames arrive in order: a second answer would precede the receipt.
        self.assertEqual((await session.next())[:2], ("RECEIPT", {"receipt-id": "bye"}))
        self.assertEqual(node.runs, ["j1"])

    async def test_stomp_job_on_an_http_node(self) -> None:
        http = HttpNode()
        await self.run_program(http)
        session = await self.stomp_client()
        session.job("j1", "settle-shift", b"by stomp")
        self.assertEqual(await session.answer(), ("j1", "served", b"r:j1"))
        self.assertEqual(http.bodies, [b"by stomp"])

    async def test_http_job_on_a_stomp_node(self) -> None:
        await self.run_program(stomp_nodes=(StompNodeStandIn(),))
        first, _, body = await self.ask(post("h1"))
        self.assertEqual((first, body), ("HTTP/1.1 200 OK", b"r:h1"))

    async def test_disconnect_with_unsafe_job_in_flight(self) -> None:
        node = StompNodeStandIn("hold")
        await self.run_program(stomp_nodes=(node,))
        first = await self.stomp_client()
        first.job("pay-1")
        sent = await self.within(node.got.get())
        first.reset()
        node.finish(sent)  # the job runs to its end without a connected client
        again = await self.stomp_client()
        again.job("pay-1", resend="true")
        self.assertEqual(await again.answer(), ("pay-1", "served", b"r:pay-1"))
        self.assertEqual(await self.ran(again, node), ["pay-1"])

    async def test_resend_joins_the_job_in_flight(self) -> None:
        # After a lost receipt, the client resends the job on a new connection before the job is done.
        node = StompNodeStandIn("hold")
        await self.run_program(stomp_nodes=(node,))
        first, again = await self.stomp_client(), await self.stomp_client()
        first.job("pay-1")
        sent = await self.within(node.got.get())
        again.job("pay-1")
        self.assertEqual((await again.next())[0], "RECEIPT")
        node.finish(sent)
        for session in (first, again):  # one answer for each accepted frame
            self.assertEqual(await session.answer(), ("pay-1", "served", b"r:pay-1"))
        again.job("pay-1")
        self.assertEqual(await again.answer(), ("pay-1", "served", b"r:pay-1"))
        self.assertEqual(await self.ran(again, node), ["pay-1"])

    async def test_resent_unsafe_job_fails_after_a_restart(self) -> None:
        node = StompNodeStandIn()
        await self.run_program(stomp_nodes=(node,))
        session = await self.stomp_client()
        session.job("pay-1", resend="true")
        self.assertEqual(await session.answer(), ("pay-1", "failed", b""))
        session.job("q-1", "eta-quote", resend="true")  # eta-quote is safe to repeat, so it runs
        self.assertEqual(await session.answer(), ("q-1", "served", b"r:q-1"))
        self.assertEqual(await self.ran(session, node), ["q-1"])

    async def test_reused_id_with_another_body_is_an_error(self) -> None:
        node = StompNodeStandIn()
        await self.run_program(stomp_nodes=(node,))
        session, other = await self.stomp_client(), await self.stomp_client("depot-2")
        session.job("pay-1")
        await session.answer()
        other.job("pay-1", "settle-shift", b"another client's job")
        self.assertEqual(await other.answer(), ("pay-1", "served", b"r:pay-1"))
        session.job("pay-1", "settle-shift", b"more")
        command, headers, _ = await session.next()
        self.assertEqual((command, headers["receipt-id"]), ("ERROR", "taken-pay-1"))
        self.assertEqual(await self.ran(other, node), ["pay-1", "pay-1"])  # one job of each client

    async def test_deadline_holds(self) -> None:
        node = StompNodeStandIn("silent")
        await self.run_program(stomp_nodes=(node,))
        session = await self.stomp_client()
        sent = asyncio.get_running_loop().time()
        session.job("pay-1", budget="0.6")
        self.assertEqual(await session.answer(), ("pay-1", "failed", b""))
        # The rules allow 50 ms after the deadline.
        self.assertLess(asyncio.get_running_loop().time() - sent, 0.65)
        await self.within(node.withdrawn.get())

    async def test_client_disconnect_withdraws_a_safe_job(self) -> None:
        node = StompNodeStandIn("hold")
        await self.run_program(stomp_nodes=(node,))
        session = await self.stomp_client()
        session.job("q-1", "eta-quote")
        sent = await self.within(node.got.get())
        session.reset()
        self.assertEqual(await self.within(node.withdrawn.get()), sent["attempt"])

    async def test_answer_waits_for_a_subscription(self) -> None:
        node = StompNodeStandIn("hold")
        await self.run_program(stomp_nodes=(node,))
        session = await self.stomp_client(subscribe=False)
        session.job("pay-1")
        node.finish(await self.within(node.got.get()))
        session.put("SUBSCRIBE", id="a", destination="/queue/answers", ack="client")
        self.assertEqual(await session.answer(), ("pay-1", "served", b"r:pay-1"))


class ResettingNode(StompNodeStandIn):
    """A node that resets the connection while a job is written to it."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\0")
        writer.write(stomp("CONNECTED", b"", version="1.2"))
        await reader.readuntil(b"\0")
        await reader.read(1000)
        writer.transport.abort()


class Attempts(SocketCase):
    """The outcome of single attempts at a STOMP node."""

    async def outcome(
        self,
        node: StompNodeStandIn,
        body: bytes = b"",
        gone: bool = False,
        write_by_ns: int = 0,
    ) -> Outcome:
        await self.started(node)
        reported: list[object] = []
        registry = WorkerRegistry()
        listed = RouteNode("n", ("127.0.0.1", node.port), Listed(1), "stomp")
        registry.add_static(listed)
        nodes = StompNodes(registry, MEANINGS, reported.append, self.log, "s", 0, 0.25)
        job = ClientJob("j", "settle-shift", "/x", body, time.monotonic_ns(), 5 * S, lambda a: None)
        job.gone = lambda: gone
        await self.within(nodes.attempt(Dispatch(JobAttempt("j", 0, 1), job, 0, write_by_ns), listed))
        await nodes.close()
        (ended,) = [e for e in reported if isinstance(e, AttemptEnded)]
        return ended.outcome

    async def test_drain_during_connect_sends_nothing(self) -> None:
        node = StompNodeStandIn()
        node.hello = {"state": "draining"}
        self.assertEqual((await self.outcome(node), node.runs), (Outcome.NOT_SENT, []))

    async def test_nothing_is_sent_after_a_disconnect_or_after_the_retry_window(self) -> None:
        for case in ({"gone": True}, {"write_by_ns": time.monotonic_ns() - 1}):
            node = StompNodeStandIn()
            self.assertEqual((await self.outcome(node, **case), node.runs), (Outcome.NOT_SENT, []), case)

    async def test_reset_before_the_last_byte_is_unreachable(self) -> None:
        self.assertEqual(await self.outcome(ResettingNode(), b"x" * (32 << 20)), Outcome.UNREACHABLE)

    async def test_each_ending_has_its_outcome(self) -> None:
        cases = {
            "done": Outcome.OK,
            "failed": Outcome.ERROR,
            "returned": Outcome.FULL,
            "lost": Outcome.RESET,
            "cut": Outcome.RESET,
        }
        for mode, expected in cases.items():
            self.assertEqual(await self.outcome(StompNodeStandIn(mode)), expected, mode)


class FailingNodes(SocketCase):
    async def test_job_for_an_unreachable_node_is_rejected(self) -> None:
        node = StompNodeStandIn()
        await self.run_program(stomp_nodes=(node,))
        await node.close()
        session = await self.stomp_client()
        session.job("pay-1", budget="1")
        self.assertEqual(await session.answer(), ("pay-1", "refused", b""))  # the job certainly never ran
        self.assertEqual(node.runs, [])

    async def test_unsafe_job_fails_after_a_disconnect_behind_its_last_byte(self) -> None:
        node, spare = StompNodeStandIn("cut"), StompNodeStandIn("cut")
        await self.run_program(stomp_nodes=(node, spare))
        session = await self.stomp_client()
        session.job("pay-1")
        self.assertEqual(await session.answer(), ("pay-1", "failed", b""))
        self.assertEqual(node.runs + spare.runs, ["pay-1"])  # neither node ran it a second time

    async def test_returned_jobs_are_retried_and_lost_jobs_are_not(self) -> None:
        cases = (("returned", "refused", 3), ("lost", "failed", 1), ("failed", "failed", 1))
        for state, verdict, runs in cases:
            node = StompNodeStandIn(state)
            await self.run_program(stomp_nodes=(node,))
            session = await self.stomp_client()
            session.job("pay-1")
            self.assertEqual((await session.answer())[1], verdict, state)
            self.assertEqual(len(node.runs), runs, state)
            await self.end_program()

    async def test_draining_node_gets_no_new_jobs(self) -> None:
        nodes = StompNodeStandIn("hold"), StompNodeStandIn("hold")
        await self.run_program(stomp_nodes=nodes)
        session = await self.stomp_client()
        session.job("pay")
        waits = [asyncio.create_task(node.got.get()) for node in nodes]
        await self.within(asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED))
        node, spare = nodes if waits[0].done() else nodes[::-1]
        sent = next(w for w in waits if w.done()).result()
        next(w for w in waits if not w.done()).cancel()
        spare.mode = "done"
        node.report(state="draining")
        node.finish(sent)  # the node reported the drain before this answer
        self.assertEqual((await session.answer())[1], "served")
        for number in range(6):
            session.job(f"pay-{number}")
            self.assertEqual((await session.answer())[1], "served")
        self.assertEqual((len(node.runs), len(spare.runs)), (1, 6))

    async def test_restarted_node_gets_jobs_again(self) -> None:
        node = StompNodeStandIn()
        await self.run_program(stomp_nodes=(node,))
        node.report(state="draining")
        await node.close()
        node.ready.clear()
        node.hello = {"started_ms": "1000"}
        await node.start()
        await self.within(node.ready.wait())
        session = await self.stomp_client()
        session.job("pay-1")
        self.assertEqual((await session.answer())[1], "served")


class MisbehavingClients(SocketCase):
    async def test_full_ledger_rejects_new_jobs_and_keeps_its_answers(self) -> None:
        node = StompNodeStandIn()
        await self.run_program(stomp_nodes=(node,), ledger_jobs=1)
        session = await self.stomp_client()
        session.job("pay-1")
        self.assertEqual((await session.answer())[1], "served")
        session.job("pay-2")
        self.assertEqual(await session.answer(), ("pay-2", "refused", b""))
        session.job("pay-1")
        self.assertEqual((await session.answer())[1], "served")
        self.assertEqual(node.runs, ["pay-1"])  # the ledger is full, so a second run would be rejected

    async def test_malformed_frames_get_an_error_and_affect_no_other_client(self) -> None:
        await self.run_program(stomp_nodes=(StompNodeStandIn(),))
        good = await self.stomp_client()
        bad_sends: tuple[dict[str, str], ...] = (
            {"budget": "soon"},
            {"job_class": "other"},
            {"destination": "/queue/x"},
            {"job_id": "a b"},
            {"subject": "x"},
            {"content_length": "1"},
            {"content_length": "70000"},
            {"transaction": "t"},
        )
        for headers in bad_sends:
            session = await self.stomp_client("depot-9")
            session.job("j", **headers)
            command, reported, _ = await session.next()
            self.assertEqual((command, reported["receipt-id"]), ("ERROR", "taken-j"), headers)
        for data in (
            b"HELLO\n\n\0",
            b"SEND\nno colon\n\n\0",
            b"SEND\na:\\t\n\n\0",
            b"SEND\0",
            b"\xff\n\n\0",
            b"A" * 9000,
            b"CONNECT\naccept-version:1.2\n\n\0",
            b"SEND\n\n\0",
        ):
            session = await self.stomp_client("depot-9")
            session.writer.write(data)
            self.assertEqual((await session.next())[0], "ERROR", data[:20])
        good.job("pay-1")
        self.assertEqual((await good.answer())[1], "served")

    async def test_versions_and_identity(self) -> None:
        await self.run_program(stomp_nodes=(StompNodeStandIn(),))
        for headers in (
            {"accept_version": "1.1", "host": "h", "login": "d"},
            {"accept_version": "1.2", "host": "h"},
            {"accept_version": "1.2", "login": "d"},
            {"accept_version": "1.2", "host": "h", "login": "d", "heart_beat": "often"},
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.stomp_port)
            self.addCleanup(writer.close)
            writer.write(stomp("CONNECT", b"", **headers))
            self.assertTrue((await self.within(reader.read())).startswith(b"ERROR\n"), headers)

    async def test_heart_beats_are_sent_and_missing_ones_end_the_session(self) -> None:
        await self.run_program(stomp_nodes=(StompNodeStandIn(),), heart_beat_ms=50)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.stomp_port)
        self.addCleanup(writer.close)
        writer.write(b"CONNECT\naccept-version:1.2\nhost:h\nlogin:d\nheart-beat:50,50\n\n\0")
        # The session times out, because the client sends no heart-beats.
        head, _, rest = (await self.within(reader.read())).partition(b"\0")
        self.assertIn(b"heart-beat:50,50", head)
        self.assertIn(b"\n", rest)

    async def test_shutdown_answers_accepted_jobs_and_ends_sessions(self) -> None:
        node = StompNodeStandIn("hold")
        await self.run_program(stomp_nodes=(node,))
        session = await self.stomp_client()
        session.job("pay-1")
        sent = await self.within(node.got.get())
        self.stop.set()
        node.finish(sent)
        self.assertEqual((await session.answer())[1], "served")
        self.assertEqual((await session.next())[0], "ERROR")
        await self.within(self.program)
