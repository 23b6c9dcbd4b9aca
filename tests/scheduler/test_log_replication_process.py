"""Schedulers that copy for each other, as processes: deaths, pauses and cuts, in memory and on disk."""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from benchmarks.copies import CLASSES, storm_text
from hollowusher.scheduler.cli import cli
from hollowusher.scheduler.emulator.processes.play import Played, ProcessPlay
from hollowusher.scheduler.emulator.script import parse
from tests.support import standins  # noqa: F401  (its event loop)


class Copies(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # tracebacks of all callbacks make the rig late

    async def play(self, text: str, seed: int) -> Played:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        return await ProcessPlay(parse(text), seed, folder).run()

    async def test_nothing_runs_twice_and_all_have_one_answer_while_processes_die(self) -> None:
        plays = await asyncio.gather(
            self.play(storm_text(1, 520, False, 20), 1), self.play(storm_text(2, 520, True, 20), 2)
        )
        for played in plays:
            self.assertEqual([f for f in played.findings if not f.holds], [])
            jobs = sum(n for name, n in played.figures.items() if name.startswith("jobs"))
            self.assertGreater(jobs, 400)
            self.assertGreater(played.figures["jobs served"], 0.9 * jobs)

    async def test_a_group_without_its_majority_refuses_and_says_so(self) -> None:
        text = (
            "members 3\nlength 16s\ncopies 3 on memory\n"
            + CLASSES.format(nodes=4, rate=20)
            + "at 5s kill n2\nat 5s kill n3\n"
        )
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        play = ProcessPlay(parse(text), 1, folder)
        task = asyncio.create_task(play.run())
        while play._at() < 13 or not play.entries:
            await asyncio.sleep(0.1)
        host, port = play.fleet.schedulers["n1"].reports
        reported = await asyncio.to_thread(CliRunner().invoke, cli, ["copies", "--at", f"{host}:{port}"])
        self.assertRegex(reported.output, r"n1 +follower .* no ")
        played = await task
        self.assertEqual([f for f in played.findings if not f.holds], [])
        late = [e for e in played.entries if e.what == "job" and e.at > 7]
        self.assertTrue(late)
        self.assertEqual({e.why for e in late} - {"refused", "failed", "late"}, set(), late[:3])
        self.assertIn("copies-no-promise", (folder / "n1" / "log").read_text())
