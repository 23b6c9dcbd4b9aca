"""Shared scores and counts among real scheduler processes.

All schedulers must learn of a failing node.  A scheduler that a network partition separates from a node must
not make the others treat that node as bad.
"""

from __future__ import annotations

import asyncio
import shutil
import tempfile
import unittest
from pathlib import Path

from benchmarks.copies import CLASSES
from hollowusher.scheduler.emulator.processes.play import Played, ProcessPlay
from hollowusher.scheduler.emulator.script import parse
from hollowusher.scheduler.net.reports.listener import ask
from tests.support import standins  # noqa: F401  (the import sets the event loop policy)

SHARED = "[shared]\ncounts yes\njudgements yes\nwindow 2s"


class SharedStateProcesses(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # debug mode records callback tracebacks, which is slow

    async def play(self, members: int, words: str) -> tuple[Played, list[dict[str, float]]]:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        text = f"members {members}\nlength 18s\n{CLASSES.format(nodes=4, rate=45)}{words}"
        play = ProcessPlay(parse(text), 1, folder, more=SHARED)
        task = asyncio.create_task(play.run())
        while not task.done() and (play._at() < 16 or not play.entries):
            await asyncio.sleep(0.05)
        asked = [ask(one.reports, "shared") for one in play.fleet.schedulers.values()]
        reported = await asyncio.gather(*asked, return_exceptions=True)
        totals = [dict(t["counts"]) for t in reported if isinstance(t, dict)]  # type: ignore[call-overload]
        return await task, totals

    async def test_failures_reach_all_members_and_a_partition_marks_no_node_bad(self) -> None:
        # The runs are sequential: about thirty concurrent processes delay each other, and counts arrive late.
        plays = [
            await self.play(members, words)
            for members, words in (
                (3, "at 10s fail s2 for 5s\n"),
                (7, "at 10s fail s2 for 5s\n"),
                (7, "at 10s cut n1 <-> s1 for 6s\nat 12s cut n2 <-> n3..n5 for 4s\n"),
            )
        ]
        for members, (played, totals) in zip((3, 7, 7), plays, strict=True):
            self.assertEqual([f for f in played.findings if not f.holds], [])
            # The schedulers report their totals at different times, so the totals may differ somewhat.
            reported = [t["jobs/eta-quote"] for t in totals]
            self.assertGreater(len(reported), 1)
            self.assertLess(max(reported) - min(reported), 0.4 * max(reported), (members, reported))
        for members, (played, _) in zip((3, 7), plays[:2], strict=True):
            bad = {e.who: e.at for e in reversed(played.entries) if e.what == "shared-bad" and e.of == "s-2"}
            self.assertEqual(len(bad), members)
            third = [e.at for e in played.entries if e.what == "failed"][2]
            # The limit leaves time for gossip, because one scheduler may have seen two of the three failures.
            self.assertLess(max(bad.values()) - third, 3.0)
            self.assertEqual({e.of for e in played.entries if e.what == "shared-bad"}, {"s-2"})
        cut = plays[2][0]
        self.assertLessEqual({e.who for e in cut.entries if e.what == "shared-bad" and e.of == "s-1"}, {"n1"})
