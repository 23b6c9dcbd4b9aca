"""HTTP/2 enabled by a settings file in a separate process, a rejected reload, and GOAWAYs under load."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import unittest

import uvloop

from benchmarks.http2_goaway import play
from hollowusher.scheduler.emulator.http2node import Http2Node, NodePlan
from tests.scheduler.test_reload import Process
from tests.support.standins import post, read_http


class InService(Process):
    async def test_a_settings_file_switches_it_on_and_a_bad_edit_changes_nothing(self) -> None:
        node = Http2Node(lambda job: NodePlan(run_s=0.01))
        await node.start()
        self.addAsyncCleanup(node.close)
        self.list.rows.clear()
        self.list.add("s-7", node.port)
        self.write()
        conf = self.path.with_name("own.conf")
        conf.write_text("[http2]\nenabled yes\nnodes s-*\n")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hollowusher",
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "PROXY_CONFIG": str(self.path),
                "HOLLOWUSHER_CONF": str(conf),
                "PROXY_DISCOVERY": f"127.0.0.1:{self.list.port}",
            },
        )
        self.addAsyncCleanup(self.end, process)
        self.process = process
        await self.logged("taking jobs")
        reader, writer = await self.client()
        writer.write(post("first", "settle-shift", "8"))
        self.assertEqual((await self.within(read_http(reader)))[2], b"r:first")
        conf.write_text("[http2]\nenabled yes\nnodes s-*\n\nstreams many\n")
        process.send_signal(signal.SIGHUP)
        refused = await self.logged("reload-refused")
        wanted = "must be a whole number between 1 and 10000, is 'many'"
        self.assertIn(f"own.conf:5: [http2] streams: {wanted}", refused)
        writer.write(post("second", "settle-shift", "8"))
        self.assertEqual((await self.within(read_http(reader)))[2], b"r:second")
        self.assertEqual((node.accepted, dict(node.runs)), (1, {"first": 1, "second": 1}))
        process.send_signal(signal.SIGTERM)
        figures = await self.logged("h2-figures")
        self.assertIn('node="s-7"', figures)
        self.assertIn('given="2"', figures)
        self.assertEqual(await self.within(process.wait()), 0)
        self.assertEqual(node.partings, 1)

    async def test_a_file_that_cannot_be_used_ends_the_start_with_its_line(self) -> None:
        self.write()
        conf = self.path.with_name("own.conf")
        conf.write_text("[http2]\nenabled yes\n")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hollowusher",
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PROXY_CONFIG": str(self.path), "HOLLOWUSHER_CONF": str(conf)},
        )
        _, said = await self.within(process.communicate())
        self.assertEqual(process.returncode, 2)
        self.assertIn(b"own.conf:2: [http2] enabled: names no node", said)


class GoawayUnderLoad(unittest.TestCase):
    def test_no_unsafe_job_runs_twice_and_each_job_has_one_answer(self) -> None:
        # Without asyncio's debug mode, like the deployed scheduler.  In debug mode, the clients, nodes and
        # the scheduler, which share this process, need more than one core, and every response is late.
        self.assertEqual(uvloop.run(play(jobs=500, rate=400, nodes=3, seed=11, calm=False)), 0)
