"""Scripts of the rig on real processes: the short set, all at a time, and what the rig itself must do."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import unittest
from pathlib import Path

from hollowusher.scheduler.emulator.faults.links import Condition
from hollowusher.scheduler.emulator.processes.board import Board
from hollowusher.scheduler.emulator.processes.commands import keep
from hollowusher.scheduler.emulator.processes.play import ProcessPlay
from hollowusher.scheduler.emulator.script import parse, read
from hollowusher.scheduler.settings.model import ConfigError
from tests.scheduler.test_faults import SCRIPTS
from tests.support import standins  # noqa: F401  (its event loop)

SHORT = ("older-clock", "pause", "renamed", "served", "twin")


class ShortSet(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # tracebacks of all callbacks make the rig late

    async def test_they_hold_with_faults_between_processes(self) -> None:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        scripts = {name: read(SCRIPTS / f"{name}.rehearsal") for name in SHORT}
        plays = await asyncio.gather(
            *(ProcessPlay(script, 1, folder / name).run() for name, script in scripts.items())
        )
        for (name, script), played in zip(scripts.items(), plays, strict=True):
            with self.subTest(name):
                self.assertEqual([f for f in played.findings if not f.holds], [])
                self.assertEqual([e for e in played.entries if e.what in ("said", "fault")], [])
                keep(folder / name, script, 1, played)
                self.assertIn("<svg", (folder / name / "faults.html").read_text())
        self.assertGreater(plays[SHORT.index("served")].figures["jobs served"], 1_500)

    async def test_a_process_that_ends_by_itself_is_reported(self) -> None:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        play = ProcessPlay(parse("members 2\nlength 2s\n"), 1, folder, more="[http2]\nnonsense yes")
        with self.assertRaisesRegex(ConfigError, "ended with 2 before it took jobs"):
            await asyncio.wait_for(play.run(), 10)
        self.assertIn(("ended", "code 2"), [(e.what, e.why) for e in play.entries])


class Streams(unittest.IsolatedAsyncioTestCase):
    async def test_a_cut_holds_one_way_only_and_a_reset_breaks(self) -> None:
        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        board = Board(1)
        self.addAsyncCleanup(board.close)
        pair = ("n1", "s1")
        where = await board.streams(pair, server.sockets[0].getsockname()[:2])
        reader, writer = await asyncio.open_connection(*where)
        writer.write(b"one")
        self.assertEqual(await reader.readexactly(3), b"one")
        board.links.begin(1, Condition("cut", frozenset({(pair[1], pair[0])})))  # the way back
        writer.write(b"two")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(3), 0.2)
        board.links.end(1)
        self.assertEqual(await asyncio.wait_for(reader.readexactly(3), 5), b"two")
        board.reset(pair)
        with self.assertRaises((OSError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(reader.readexactly(1), 5)
        writer.close()
