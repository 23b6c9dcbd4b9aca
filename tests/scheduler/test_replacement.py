"""Live replacement of a scheduler process, tested on its records and on real processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from hollowusher.balancing import BudgetSpent, Listed, ListKind, Send
from hollowusher.balancing.learned_state import remember, restore
from hollowusher.scheduler.fronts.common import JobIds
from hollowusher.scheduler.operators.server import call
from hollowusher.scheduler.replacement.directory import SharedDirectory
from hollowusher.scheduler.replacement.records import (
    Handover,
    Phase,
    ProcessRecord,
    RecordError,
    read_record,
    write_record,
)
from tests.scheduler.test_reload import Process
from tests.support.balancer import MS, SITE, Node, S, SimulatedWorkers, sends, site, workers
from tests.support.standins import free_port, post, read_http

HERE = ("127.0.0.1", 7)


class Records(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name)

    def test_only_a_complete_record_of_this_version_is_read(self) -> None:
        path, record = self.path / "x", ProcessRecord("127.0.0.1:7", Phase.SERVING)
        write_record(path, record)
        self.assertEqual(read_record(path, ProcessRecord), record)
        complete = path.read_bytes()
        for wrong in (
            b"",
            complete[:7],
            complete[:-1],
            complete[:-1] + b"\0",
            b"xxxx" + complete[4:],
            complete[:5] + b"\7" + complete[6:],
            complete + b"more",
        ):
            path.write_bytes(wrong)
            with self.assertRaises(RecordError, msg=wrong):
                read_record(path, ProcessRecord)
        with self.assertRaises(RecordError):
            read_record(self.path / "none", ProcessRecord)
        with self.assertRaises(RecordError):  # a record of another kind
            write_record(path, record)
            read_record(path, Handover)

    def test_a_process_is_alive_as_long_as_its_lock_whatever_its_record_says(self) -> None:
        one, two = (SharedDirectory(self.path, HERE, token) for token in ("1", "2"))
        one.enter()
        two.enter()
        one.publish_phase(Phase.SERVING)
        self.assertEqual([(o.token, o.phase) for o in two.others()], [("1", Phase.SERVING)])
        for text in (b"", b"torn"):
            (one.path / "1.process").write_bytes(text)
            self.assertEqual([(o.token, o.phase) for o in two.others()], [("1", Phase.UNKNOWN)])
        # A record of another scheduler.
        write_record(one.path / "1.process", ProcessRecord("127.0.0.1:8", Phase.SERVING))
        self.assertIs(two.others()[0].phase, Phase.UNKNOWN)
        one.leave()
        self.assertEqual(two.others(), [])
        (one.path / "0.lock").touch()  # the unlocked lock file of a killed process
        (one.path / "0.process").touch()
        self.assertEqual(two.others(), [])
        self.assertFalse((one.path / "0.process").exists())
        two.leave()

    def test_a_job_id_is_taken_once_and_a_ban_stands_whatever_its_file_holds(self) -> None:
        one, two = (SharedDirectory(self.path, HERE, token) for token in ("1", "2"))
        one.enter()
        two.enter()
        first, second = JobIds(), JobIds()
        first.elsewhere, second.elsewhere = one.claim, two.claim
        self.assertTrue(first.claim("a") and second.claim("b"))
        self.assertFalse(second.claim("a") or first.claim("b"))
        self.assertFalse(two.unclaimed("a"))
        two.clear_claims()
        self.assertTrue(two.unclaimed("a"))
        one.ban("s-1/../x")
        (next((one.path / "bans").iterdir())).write_bytes(b"torn")
        self.assertEqual(two.banned(), {"s-1/../x"})
        two.lift("s-1/../x")
        self.assertEqual(one.banned(), frozenset())
        one.leave()
        two.leave()

    def test_a_handover_of_another_address_is_not_taken(self) -> None:
        own = SharedDirectory(self.path, HERE, "2")
        own.enter()
        self.assertIsNone(own.handover())
        own.hand_over("2", Handover("127.0.0.1:8", [], 0, []))
        with self.assertRaises(RecordError):
            own.handover()
        own.leave()


class ColdBudget(unittest.TestCase):
    def test_nothing_goes_to_a_cold_worker_until_a_span_after_another_process_may_have_sent(self) -> None:
        cold = Listed(1, zone="a", kind="k", started_ns=990 * S)
        node = Node(site(rules=SITE.rules), [cold], free={1: 2.0})
        node.run(2 * S)

        def sent(request: str, span: int) -> list[Send]:
            return sends(node.arrive(request, "safe")) + sends(node.run(span))

        (send,) = sent("before", 100 * MS)
        node.serve(send)
        node.step(BudgetSpent())
        self.assertEqual(sent("meanwhile", SITE.rules.fall_span_ns - 50 * MS), [])
        node.run(100 * MS)
        self.assertTrue(sent("after", 100 * MS))


class Learnt(unittest.TestCase):
    def test_what_was_learnt_is_transferred_but_not_of_a_worker_that_has_started_anew(self) -> None:
        node = Node(SITE, workers(1, 2, 3))
        crew = SimulatedWorkers(node)
        crew.failing.add(2)
        crew.slow[3] = 3.0
        crew.play(4 * S)
        memory = remember(node.balancer)
        self.assertTrue(memory.runs and memory.alike)
        self.assertEqual([w.worker for w in memory.workers if w.suspect], [2])
        with tempfile.TemporaryDirectory() as folder:
            handover = Handover("127.0.0.1:7", ["a"], 3, [], memory)
            write_record(Path(folder) / "x", handover)
            self.assertEqual(read_record(Path(folder) / "x", Handover), handover)
        after = Node(SITE, workers(1, 2, 3))
        after.now = node.now
        restore(after.balancer, memory, node.now)
        self.assertEqual(remember(after.balancer), memory)
        anew = Node(SITE, workers(1, 3) + workers(2, started_ns=node.now))
        restore(anew.balancer, memory, node.now)
        self.assertFalse(anew.balancer.workers[2].suspect)

    def test_a_worker_that_comes_back_as_a_new_process_is_trusted(self) -> None:
        node = Node(SITE, workers(1, 2))
        crew = SimulatedWorkers(node)
        crew.failing.add(2)
        crew.play(2 * S)
        suspect = node.balancer.workers[2]
        self.assertTrue(suspect.suspect)
        for slack in (0, 5 * MS):  # the same start time, measured with another clock
            node.listing(ListKind.CHANGES, *workers(2, started_ns=slack))
            self.assertTrue(suspect.suspect)
        node.listing(ListKind.CHANGES, *workers(2, started_ns=node.now - S))
        self.assertFalse(suspect.suspect)


class Beside(Process):
    """Runs two processes of one scheduler."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.shared = Path(folder.name)
        self.write()

    async def beside(self, wait: bool = True) -> tuple[asyncio.subprocess.Process, tuple[str, int]]:
        """Start one more process, and return the process and its operators' address."""
        address = ("127.0.0.1", free_port())
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hollowusher",
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "PROXY_CONFIG": str(self.path),
                "TMPDIR": str(self.shared),
                "PROXY_DISCOVERY": f"127.0.0.1:{self.list.port}",
                "PROXY_ADMIN_ADDR": f"{address[0]}:{address[1]}",
            },
        )
        self.addAsyncCleanup(self.end, process)
        self.process = process
        if wait:
            await self.until_ready(address)
        return process, address

    async def until_ready(self, address: tuple[str, int]) -> None:
        async with asyncio.timeout(10.0):
            while True:
                try:
                    if (await call(address, "GET", "/_ready"))[0] == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.02)

    async def answered(self, job: str, status: str = "200") -> None:
        first, _, _ = await self.ask(post(job, "settle-shift", "8"))
        self.assertIn(status, first)


class TakingOver(Beside):
    async def test_the_old_one_ends_in_order_and_the_new_one_has_all_new_clients(self) -> None:
        old, _ = await self.beside()
        reader, writer = await self.client()
        writer.write(post("open", "settle-shift", "8"))
        await self.within(self.node.got.get())
        idle, idle_writer = await self.client()
        idle_writer.write(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        await self.within(read_http(idle))
        new, address = await self.beside()
        old.send_signal(signal.SIGTERM)
        self.node.go.set()
        self.assertEqual((await self.within(read_http(reader)))[2], b"r:open")
        # The scheduler as a whole is still ready.
        idle_writer.write(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn("200", (await self.within(read_http(idle)))[0])
        for number in range(20):
            await self.answered(f"new{number}")
        self.assertEqual(await self.within(old.wait()), 0)
        await self.answered("last")
        self.assertEqual((await call(address, "GET", "/_ready"))[0], 200)
        self.assertIsNone(new.returncode)

    async def test_an_unsafe_id_sent_to_both_runs_once(self) -> None:
        old, _ = await self.beside()
        self.node.go.set()
        await self.answered("before")
        reader, writer = await self.client()
        writer.write(post("warm", "settle-shift", "8"))  # a connection to the old process
        await self.within(read_http(reader))
        await self.beside()
        writer.write(post("beside", "settle-shift", "8"))
        self.assertIn("200", (await self.within(read_http(reader)))[0])
        old.send_signal(signal.SIGTERM)
        # The old process has closed its listener; new connections reach the new process.
        await asyncio.sleep(0.3)
        for job in ("before", "beside"):
            await self.answered(job, "409")
        self.assertEqual(self.node.runs.count("before") + self.node.runs.count("beside"), 2)
        await self.within(old.wait())
        await self.answered("beside", "409")

    async def test_a_strangers_address_is_not_shared_and_a_bad_directory_stops_nobody(self) -> None:
        await self.beside()
        self.shared = self.shared / "other"  # the directory of another scheduler: the address is in use
        self.shared.mkdir()
        stranger, _ = await self.beside(wait=False)
        self.assertNotEqual(await self.within(stranger.wait()), 0)
        self.shared = self.shared / "file"
        self.shared.touch()
        self.port = free_port()
        self.write()
        await self.beside()

    async def test_either_may_be_killed_at_any_moment(self) -> None:
        old, old_address = await self.beside()
        self.node.go.set()
        new, _ = await self.beside(wait=False)
        await asyncio.sleep(0.15)  # in the middle of its startup
        new.kill()
        await self.within(new.wait())
        for number in range(5):
            await self.answered(f"a{number}")
        self.assertEqual((await call(old_address, "GET", "/_ready"))[0], 200)
        new, address = await self.beside(wait=False)
        await asyncio.sleep(0.15)
        old.kill()
        await self.within(old.wait())
        await self.until_ready(address)
        for number in range(5):
            await self.answered(f"b{number}")

    async def test_a_stop_while_the_new_one_is_starting_leaves_nobody_outside(self) -> None:
        old, _ = await self.beside()
        self.node.go.set()
        _, address = await self.beside(wait=False)
        await asyncio.sleep(0.1)
        old.send_signal(signal.SIGTERM)
        for number in range(30):  # at any time one of the two processes accepts the job
            await self.answered(f"j{number}")
            await asyncio.sleep(0.05)
        self.assertEqual(await self.within(old.wait()), 0)
        self.assertEqual((await call(address, "GET", "/_ready"))[0], 200)
        await self.answered("last")

    async def test_the_new_one_begins_with_the_list_of_the_old_one_though_its_service_is_silent(self) -> None:
        await self.beside()
        self.node.go.set()
        await self.answered("a")
        self.list.status = 503
        new, _ = await self.beside()
        self.assertIsNone(new.returncode)
        for number in range(6):  # either process may accept it; `known` in the file is empty
            await self.answered(f"b{number}")
