"""SIGHUP and SIGTERM: a reload and a graceful shutdown lose no job and no connection."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import tomllib
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from hollowusher.balancing import ListKind
from hollowusher.scheduler.dispatch.model import NodeListReceived
from hollowusher.scheduler.dispatch.worker_registry import WorkerRegistry
from hollowusher.scheduler.emulator.outside import platform_settings
from hollowusher.scheduler.fronts.platform.discovery import NodeListWatch
from tests.support.balancer import S
from tests.support.standins import (
    HttpNode,
    NodeList,
    SocketCase,
    StompNodeStandIn,
    free_port,
    post,
    read_http,
)


class Process(SocketCase):
    """Runs the scheduler process as the platform starts it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "config.json"
        self.node = HttpNode("hold")
        await self.started(self.node)
        self.list.add("s-1", self.node.port)
        self.port = free_port()

    def write(self, **changes: Any) -> None:
        """Replace the configuration file atomically, as the platform does."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
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
            **changes,
        }
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self.path)

    async def start(self, **changes: Any) -> asyncio.subprocess.Process:
        """Start the process, and wait until it accepts jobs."""
        self.write(**changes)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hollowusher",
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "PROXY_CONFIG": str(self.path),
                "PROXY_DISCOVERY": f"127.0.0.1:{self.list.port}",
            },
        )
        self.addAsyncCleanup(self.end, process)
        self.process = process
        await self.logged("taking jobs")
        return process

    async def end(self, process: asyncio.subprocess.Process) -> None:
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def logged(self, text: str) -> str:
        """Return the next log line that contains this text."""
        assert self.process.stderr is not None
        while text not in (line := (await self.within(self.process.stderr.readline())).decode()):
            self.assertTrue(line, f"the program ended without a line with {text!r}")
        return line


class Build(unittest.TestCase):
    def test_build_leaves_the_code_compiled_for_a_quick_return(self) -> None:
        """After a restart clients wait for `ready`, and the platform keeps no bytecode cache."""
        root = Path(__file__).parent.parent.parent
        deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
        step = deploy["build"].rpartition("&&")[2].split()[1:]
        with tempfile.TemporaryDirectory() as copy:
            for name in ("hollowusher",):
                shutil.copytree(root / name, Path(copy) / name, ignore=shutil.ignore_patterns("__pycache__"))
            subprocess.run([sys.executable, *step], cwd=copy, check=True)
            sources = {f.stem for f in Path(copy).rglob("*.py")}
            self.assertEqual({f.name.partition(".")[0] for f in Path(copy).rglob("*.pyc")}, sources)


class Reload(Process):
    async def test_new_discovery_is_watched_and_nothing_open_is_lost(self) -> None:
        process = await self.start()
        await self.within(self.list.asked.get())
        reader, writer = await self.client()
        writer.write(post("j", "settle-shift", "8"))
        await self.within(self.node.got.get())
        other, spare = NodeList(), HttpNode("done")
        await self.started(other, spare)
        other.add("s-2", spare.port)
        self.write(discovery=f"127.0.0.1:{other.port}")
        process.send_signal(signal.SIGHUP)
        # The new service may number its versions differently, so the scheduler requests the full list.
        self.assertIn("from=0", await self.within(other.asked.get()))
        await self.logged("read again")
        process.send_signal(signal.SIGHUP)  # a second SIGHUP during the first reload loses nothing either
        await self.list.close()
        second, second_writer = await self.client()
        second_writer.write(post("k", "settle-shift", "8"))  # only the new list has a node for this job
        self.assertEqual((await self.within(read_http(second)))[2], b"r:k")
        process.send_signal(signal.SIGTERM)
        await self.logged("asked to stop")
        process.send_signal(signal.SIGHUP)  # a SIGHUP during shutdown does not terminate the process
        self.node.go.set()
        self.assertEqual((await self.within(read_http(reader)))[2], b"r:j")
        self.assertEqual(await self.within(process.wait()), 0)

    async def test_bad_file_changes_nothing_and_its_key_is_logged(self) -> None:
        process = await self.start()
        for changes, key in (
            ({"discovery": "nowhere"}, "discovery"),
            ({"limits": {"sockets": 1}}, "sockets"),
            ({"settings": {"grades": "x"}}, "settings.discovery: is missing"),
            ({"settings": platform_settings([])}, "settings.grades"),
        ):
            self.write(**changes)
            process.send_signal(signal.SIGHUP)
            self.assertIn(key, await self.logged("reload-refused"))
        self.path.write_text("{")
        process.send_signal(signal.SIGHUP)
        self.assertIn("PROXY_CONFIG", await self.logged("reload-refused"))
        self.write(name="another")
        process.send_signal(signal.SIGHUP)
        self.assertIn("name", await self.logged("need a restart"))
        self.node.go.set()
        self.assertEqual((await self.ask(post("j", "settle-shift", "8")))[2], b"r:j")


class Moving(SocketCase):
    async def test_old_watch_counts_until_the_new_one_tells(self) -> None:
        reported: list[object] = []
        watch = NodeListWatch(
            ("127.0.0.1", self.list.port), WorkerRegistry(), reported.append, lambda n: None, self.log
        )
        self.addAsyncCleanup(watch.stop)
        watch.ask()
        await self.within(self.list.asked.get())
        slow = NodeList()
        slow.status = 503
        await self.started(slow)
        watch.move(("127.0.0.1", slow.port))
        await self.within(slow.asked.get())

        async def until(kind: ListKind) -> None:
            while not any(isinstance(e, NodeListReceived) and e.kind is kind for e in reported):
                await asyncio.sleep(0.005)

        await self.within(until(ListKind.FAILED))  # the old service still sends the list
        reported.clear()
        self.list.tell([], full=True)
        await self.within(until(ListKind.CACHED))  # applied, but the new address is not watched yet
        self.assertNotIn(ListKind.FULL, [e.kind for e in reported if isinstance(e, NodeListReceived)])
        slow.status = 200
        watch.ask()
        await self.within(slow.asked.get())
        await self.within(until(ListKind.FULL))
        reported.clear()
        await self.list.close()  # the watch already closed this connection and reports nothing
        slow.tell([], full=True)
        await self.within(until(ListKind.FULL))
        self.assertNotIn(NodeListReceived(ListKind.FAILED), reported)


NESTED = "[" * 100_000  # the JSON parser raises RecursionError for it, not ValueError


class Watching(SocketCase):
    async def test_what_a_watch_hears_and_how_it_ends_is_reported_and_it_can_be_asked_for_again(self) -> None:
        reported: asyncio.Queue[object] = asyncio.Queue()
        watch = NodeListWatch(
            ("127.0.0.1", self.list.port), WorkerRegistry(), reported.put_nowait, lambda n: None, self.log
        )
        self.addAsyncCleanup(watch.stop)

        async def hears(*kinds: ListKind) -> None:
            for kind in kinds:
                event = await self.within(reported.get())
                assert isinstance(event, NodeListReceived)
                self.assertIs(event.kind, kind)

        self.list.beats = False
        with mock.patch("hollowusher.scheduler.fronts.platform.discovery.SILENCE_TIMEOUT_S", 0.3):
            watch.ask()
            # The watch keeps its pending request; a new request would go to the end of the queue again.
            watch.ask()
            await hears(ListKind.FULL)
            self.assertEqual(self.list.asked.qsize(), 1)
            for writer in self.list.writers:
                self.list._line(writer, '{"version": 0, "servers": []}')  # an outdated version is ignored
                self.list._line(writer, "")  # a heartbeat line: nothing has changed
            await hears(ListKind.CHANGES, ListKind.SILENT)
        # An unreadable line may have reported a drain, so the watch reports that its list may be outdated.
        for lines in ((NESTED,), ("{", ""), ('{"servers": [], "version": [1]}',), ('{"servers": [1', "]")):
            watch.ask()
            await hears(ListKind.FULL)
            for writer in self.list.writers:
                for line in lines:
                    self.list._line(writer, line)
            await hears(ListKind.SILENT)
        self.list.status = 503
        watch.ask()
        await hears(ListKind.FAILED)
        self.list.status = 200
        watch.ask()
        await hears(ListKind.FULL)
        await self.list.close()  # the connection is reset after a complete list
        await hears(ListKind.FAILED)
        watch.ask()
        await hears(ListKind.FAILED)  # the connection is refused
        with mock.patch("socket.socket", side_effect=OSError(errno.EMFILE, "Too many open files")):
            watch.ask()
            await hears(ListKind.SILENT)  # a local fault gives no information about the service


SLOW_IMPORT = """
import sys, time

class Slow:
    def find_spec(self, name, path=None, target=None):
        if name == "uvloop":
            open({mark!r}, "w").close()
            time.sleep(0.5)

sys.meta_path.insert(0, Slow())
"""


class Starting(Process):
    async def test_a_reload_asked_for_while_the_program_is_imported_waits(self) -> None:
        self.write()
        folder = self.path.parent
        mark = folder / "importing"
        (folder / "sitecustomize.py").write_text(SLOW_IMPORT.format(mark=str(mark)))
        self.process = process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hollowusher",
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PROXY_CONFIG": str(self.path), "PYTHONPATH": str(folder)},
        )
        self.addAsyncCleanup(self.end, process)
        async with asyncio.timeout(10.0):
            while not mark.exists():
                await asyncio.sleep(0.01)
        process.send_signal(signal.SIGHUP)
        await self.logged("taking jobs")
        await self.logged("read again")


class Stopping(Process):
    async def test_open_connections_serve_on_for_a_moment_and_in_time(self) -> None:
        process = await self.start()
        reader, writer = await self.client()
        writer.write(post("a", "settle-shift", "8"))
        await self.within(self.node.got.get())
        self.node.go.set()
        await self.within(read_http(reader))
        process.send_signal(signal.SIGTERM)
        await self.logged("asked to stop")
        asked = asyncio.get_running_loop().time()
        writer.write(post("b", "settle-shift", "8"))  # no other scheduler may be available for this job
        first, headers, result = await self.within(read_http(reader))
        self.assertEqual((first, headers.get("connection"), result), ("HTTP/1.1 200 OK", None, b"r:b"))
        self.node.go.clear()
        # This job takes longer than the platform allows for a shutdown.
        writer.write(post("c", "settle-shift", "8"))
        self.assertIn("502", (await self.within(read_http(reader)))[0])
        self.assertLess(asyncio.get_running_loop().time() - asked, 3.65)
        self.assertEqual(await self.within(process.wait()), 0)


class StompReload(SocketCase):
    async def test_session_its_job_and_the_job_table_outlast_a_new_configuration(self) -> None:
        node = StompNodeStandIn("hold")
        again, lists = asyncio.Event(), NodeList()
        await self.started(lists)
        await self.run_program(
            stomp_nodes=(node,),
            again=again,
            read=lambda: replace(self.config, discovery=("127.0.0.1", lists.port)),
        )
        session = await self.stomp_client()
        session.job("pay-1")
        held = await self.within(node.got.get())
        for _ in range(2):
            again.set()
            await asyncio.sleep(0)
        await self.within(lists.asked.get())
        node.finish(held)
        self.assertEqual(await session.answer(), ("pay-1", "served", b"r:pay-1"))
        session.job("pay-1", resend="true")  # the deduplication ledger is kept
        self.assertEqual(await session.answer(), ("pay-1", "served", b"r:pay-1"))
        self.assertEqual((node.runs, len(node.sessions)), (["pay-1"], 1))
