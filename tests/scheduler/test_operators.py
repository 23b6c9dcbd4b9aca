"""The operators' HTTP interface: each request, misbehaving clients, correct metrics, detached workers."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time

from click.testing import CliRunner

from hollowusher.scheduler.cli import cli
from hollowusher.scheduler.operators.server import MOST_CALLERS, call
from tests.scheduler.test_replacement import Beside
from tests.support.standins import HttpNode, free_port, post, read_http


class Operators(Beside):
    async def figures(self, address: tuple[str, int]) -> dict[str, int]:
        status, body = await call(address, "GET", "/_vars")
        self.assertEqual(status, 200)
        pairs = (line.split("|")[0].split(":") for line in body.decode().split())
        return {name.removeprefix("proxy."): int(value) for name, value in pairs}

    async def until_known(self, address: tuple[str, int], workers: int = 1) -> None:
        """Wait until the process knows the workers; it may be ready before it reads the worker list."""
        async with asyncio.timeout(10.0):
            while (await self.figures(address))["workers_known"] < workers:
                await asyncio.sleep(0.01)

    async def more_nodes(self, count: int) -> list[HttpNode]:
        nodes = [HttpNode("done") for _ in range(count)]
        await self.started(*nodes)
        for number, node in enumerate(nodes, 2):
            self.list.add(f"s-{number}", node.port)
        return nodes


class Calls(Operators):
    async def test_each_call_and_what_is_none(self) -> None:
        process, address = await self.beside()
        for method, target, status in (
            ("GET", "/_ready", 200),
            ("PUT", "/_ready", 405),
            ("GET", "/_nothing", 404),
            ("GET", "/", 404),
            ("PUT", "/_workers/detach?name=nobody", 404),
            ("PUT", "/_workers/detach", 404),
            ("GET", "/_workers/detach?name=s-1", 405),
            ("PUT", "/_workers/attach?name=s-1", 200),
            ("GET", "/_report?name=list", 200),
            ("GET", "/_report?name=x", 404),
            ("NONSENSE", "x", 400),
        ):
            self.assertEqual((await call(address, method, target))[0], status, target)
        reported = json.loads((await call(address, "GET", "/_report?name=replacement"))[1])
        self.assertEqual((reported["phase"], reported["others"]), ("serving", []))
        process.send_signal(signal.SIGTERM)
        await self.logged("asked to stop")
        self.assertEqual((await call(address, "GET", "/_ready"))[0], 503)

    async def test_answers_come_in_time_while_callers_hold_their_connections(self) -> None:
        _, address = await self.beside()
        self.node.go.set()
        held = []
        # Clients that send nothing, a partial request, or single bytes.
        for number in range(3 * MOST_CALLERS):
            reader, writer = await asyncio.open_connection(*address)
            writer.write((b"", b"GET /_va", b"GET /_vars HTTP/1.1\r\nX-Long: ")[number % 3])
            held.append((reader, writer))
        for number in range(10):
            for _, writer in held:
                if not writer.is_closing():
                    writer.write(b"x")
            start = time.monotonic()
            self.assertEqual((await call(address, "GET", "/_ready"))[0], 200)
            await self.figures(address)
            self.assertLess(time.monotonic() - start, 1.0)
            await self.answered(f"j{number}")
        for _, writer in held:
            writer.close()

    async def test_a_call_that_is_cut_at_any_byte_is_answered_and_a_huge_one_is_not_kept(self) -> None:
        _, address = await self.beside()
        await self.until_known(address)
        text = b"PUT /_workers/detach?name=s-1 HTTP/1.1\r\nHost: h\r\n\r\n"
        for cut in range(1, len(text), 7):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(text[:cut])
            await asyncio.sleep(0.005)
            writer.write(text[cut:])
            self.assertIn("200", (await self.within(read_http(reader)))[0])
            writer.close()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /" + b"x" * 200_000 + b" HTTP/1.1\r\n\r\n")
        self.assertIn(b"431", await self.within(reader.read(20)))
        writer.close()

    async def test_commands_ask_and_tell_a_running_process(self) -> None:
        _, address = await self.beside()
        await self.until_known(address)

        def say(port: int, *words: str) -> tuple[int, str]:
            done = CliRunner().invoke(cli, [*words, "--at", f"127.0.0.1:{port}"])
            return done.exit_code, done.output

        async def reported(*words: str, port: int = address[1]) -> tuple[int, str]:
            return await asyncio.to_thread(say, port, *words)

        self.assertEqual(await reported("ready"), (0, "ready\n"))
        self.assertEqual((await reported("detach", "s-1"))[0], 0)
        self.assertIn("proxy.workers_excluded:1|g", (await reported("vars"))[1])
        self.assertEqual((await reported("attach", "s-1"))[0], 0)
        code, text = await reported("detach", "nobody")
        self.assertEqual((code, "404" in text), (1, True))
        code, text = await reported("ready", port=1)
        self.assertEqual((code, "no answer" in text), (1, True))


class Figures(Operators):
    async def test_they_agree_with_what_clients_and_workers_saw(self) -> None:
        nodes = await self.more_nodes(2)
        self.node.mode = "returned"  # the node rejects all jobs; the scheduler resends them to others
        process, address = await self.beside()
        statuses = [(await self.ask(post(f"j{n}", "settle-shift", "8")))[0].split()[1] for n in range(40)]
        reported = await self.figures(address)
        self.assertEqual(reported["requests.settle-shift.served"], statuses.count("200"))
        self.assertEqual(reported["requests.settle-shift.refused"], statuses.count("503"))
        self.assertEqual(reported["requests.settle-shift.failed"], statuses.count("502"))
        seen = sum(len(n.runs) for n in (self.node, *nodes))
        self.assertEqual(reported["requests.settle-shift.attempts"], seen)
        self.assertEqual((reported["in_flight"], reported["workers_known"]), (0, 3))
        self.node.mode = "hold"
        for node in nodes:
            node.mode = "hold"
        clients = [await self.client() for _ in range(3)]
        for number, (_, writer) in enumerate(clients):
            writer.write(post(f"open{number}", "settle-shift", "8"))
        await asyncio.sleep(0.3)
        process.send_signal(signal.SIGHUP)  # the metrics are read during a reload
        self.assertEqual((await self.figures(address))["in_flight"], 3)
        await asyncio.sleep(0.2)
        self.assertEqual((await self.figures(address))["reloads_ok"], 1)
        for node in (self.node, *nodes):
            node.go.set()
        for reader, _ in clients:
            await self.within(read_http(reader))
        await asyncio.sleep(0.05)
        self.assertEqual((await self.figures(address))["in_flight"], 0)


class ByHand(Operators):
    async def sent(self, count: int, name: str) -> int:
        """Send `count` jobs and return how many of them the first worker receives."""
        before = len(self.node.runs)
        for number in range(count):
            await self.answered(f"{name}{number}")
        return len(self.node.runs) - before

    async def test_a_ban_outlives_the_list_a_reload_and_a_replacement_and_one_call_ends_it(self) -> None:
        await self.more_nodes(1)
        self.node.go.set()
        old, address = await self.beside()
        self.assertGreater(await self.sent(20, "a"), 0)
        for _ in range(2):  # an operator repeats the request after a lost response
            self.assertEqual((await call(address, "PUT", "/_workers/detach?name=s-1"))[0], 200)
        self.assertEqual(await self.sent(20, "b"), 0)
        self.list.tell(self.list.rows, full=True)  # a list that reports the worker as serving
        old.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        self.assertEqual(await self.sent(20, "c"), 0)
        self.assertEqual((await self.figures(address))["workers_excluded"], 1)
        _, new_address = await self.beside()
        old.send_signal(signal.SIGTERM)
        self.assertEqual(await self.sent(20, "d"), 0)
        await self.within(old.wait())
        self.assertEqual(await self.sent(20, "e"), 0)
        self.assertEqual((await call(new_address, "PUT", "/_workers/attach?name=s-1"))[0], 200)
        self.assertGreater(await self.sent(30, "f"), 0)

    async def test_a_ban_reported_to_one_of_two_processes_holds_at_the_other(self) -> None:
        await self.more_nodes(1)
        self.node.go.set()
        _, old_address = await self.beside()
        _, new_address = await self.beside()
        self.assertEqual((await call(new_address, "PUT", "/_workers/detach?name=s-1"))[0], 200)
        await asyncio.sleep(0.2)  # shorter than the drain grace period
        # The kernel assigns each connection to one of the processes.
        self.assertEqual(await self.sent(30, "a"), 0)
        self.assertEqual((await self.figures(old_address))["workers_excluded"], 1)
        self.assertEqual((await call(old_address, "PUT", "/_workers/attach?name=s-1"))[0], 200)
        await asyncio.sleep(0.2)
        self.assertEqual((await self.figures(new_address))["workers_excluded"], 0)

    async def test_its_job_goes_on_and_a_ban_holds_without_a_shared_directory(self) -> None:
        address = ("127.0.0.1", free_port())
        environ = {k: v for k, v in os.environ.items() if k != "TMPDIR"}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hollowusher",
            stderr=asyncio.subprocess.PIPE,
            env={
                **environ,
                "PROXY_CONFIG": str(self.path),
                "PROXY_ADMIN_ADDR": f"127.0.0.1:{address[1]}",
                "PROXY_DISCOVERY": f"127.0.0.1:{self.list.port}",
            },
        )
        self.addAsyncCleanup(self.end, self.process)
        await self.until_ready(address)
        reader, writer = await self.client()
        writer.write(post("open", "settle-shift", "8"))
        await self.within(self.node.got.get())
        await call(address, "PUT", "/_workers/detach?name=s-1")
        self.node.go.set()
        self.assertEqual((await self.within(read_http(reader)))[2], b"r:open")
        await self.answered("new", "503")  # there is no other worker
