"""Rehearsal scripts: what they say, each fault by file and line, and the command line on them."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from hollowusher.scheduler.cli import cli
from hollowusher.scheduler.emulator.script import parse, read, stage
from hollowusher.scheduler.settings.model import SettingsFileError

ROOT = Path(__file__).parent.parent.parent
CLASS = "class eta-quote safe share 1 work 100ms budget 5s aim 300ms\n"
GOOD = f"length 10s\nnodes 3 cores 2 speed 0.7\nnodes 1 speed 2\n{CLASS}traffic 20/s\n"  # 5 lines


class Reading(unittest.TestCase):
    def test_what_a_script_says(self) -> None:
        script = parse(
            GOOD + "at 5s traffic 40/s\nat 2s stall node 1..2,4 for 120ms every 2s until 6s\n"
            "at 1s slow node 3 by 4 for 3s\nseed 9\nschedulers 3\n"
        )
        self.assertEqual((script.seed, script.schedulers, len(script.kinds)), (9, 3, 4))
        self.assertEqual([(s.since_s, s.rate) for s in script.spells], [(0, 20), (5, 40)])
        self.assertEqual([k.speed for k in script.kinds], [0.7] * 3 + [2.0])
        slow, stall = script.troubles  # in order of time
        self.assertEqual((slow.at_s, slow.nodes, slow.by, slow.for_s), (1, (3,), 4, 3))
        self.assertEqual((stall.nodes, stall.for_s, stall.every_s, stall.until_s), ((1, 2, 4), 0.12, 2, 6))

    def test_faults_name_file_and_line(self) -> None:
        cases = {
            GOOD + "at 3s stal node 1 for 1s": "6: stal: nothing of that name happens",
            GOOD + "\nat 3s stall node 5 for 1s": "7: node 5: there are nodes 1 to 4",
            GOOD + "at 3s stall node 0 for 1s": "6: node 0",
            GOOD + "at 3s stall node 4..2 for 1s": "6: nodes: '4..2' runs backwards",
            GOOD + "at 3s stall node x for 1s": "6: nodes: must be numbers",
            GOOD + "at 3s stall nodes 1 for 1s": "6: stall: must be followed by node",
            GOOD + "at 3s stall node 1": "6: stall: `for` is missing",
            GOOD + "at 3s slow node 1": "6: slow: `by` is missing",
            GOOD + "at 3s stall node 1 for 1s every 2s": "6: stall: `every` and `until` go together",
            GOOD + "at 3s kill node 1 for 1s": "6: for: is not known here",
            GOOD + "at 3s stall node 1 for 1s for 2s": "6: for: stands twice",
            GOOD + "at 10s kill node 1": "6: at 10s: the script ends after 10s",
            GOOD + "at 3s": "6: what happens is missing",
            GOOD + "at soon kill node 1": "6: at: must be a span",
            GOOD + "at 3s traffic fast": "6: traffic: must be a rate",
            GOOD + "at 3s traffic 5/s\nat 3s traffic 6/s": "7: at 3s: the traffic is given twice",
            GOOD + "traffic 5/s": "6: traffic: stands on line 5",
            GOOD + "length 1s 2s": "6: length: stands on line 1",
            "length 1s 2s": "1: 2s: nothing more is expected",
            GOOD + "shedulers 2": "6: shedulers: is no word of a script",
            GOOD + CLASS: "6: class eta-quote: stands in the script already",
            GOOD + "class a sometimes": "6: class a: must be safe, keyed or once",
            GOOD + "class a safe share 1": "6: class a: work is missing",
            GOOD + "class a safe share 1 work 1s budget 1s aim 2s": "6: class a: aim must not be above",
            GOOD + "nodes 2 speed fast": "6: speed: must be a number",
            GOOD + "nodes 9999": "6: nodes: must be a whole number",
            GOOD + "seed 'x": "6: cannot be split",
            "nodes 1\ntraffic 1/s\n": "3: class: is missing from the script",
            CLASS + "traffic 1/s": "2: nodes: is missing",
        }
        for text, fault in cases.items():
            with self.subTest(fault), self.assertRaisesRegex(SettingsFileError, f"^x:{fault}"):
                parse(text, "x")

    @given(st.text(alphabet="at 3s.nodekil1,/x\n'#", max_size=120))
    def test_any_line_is_read_or_refused(self, text: str) -> None:
        try:
            parse(GOOD + text, "x")
        except SettingsFileError as fault:
            self.assertRegex(str(fault), r"^x:[0-9]+: ")

    def test_the_examples_hold_together(self) -> None:
        for file in sorted((ROOT / "rehearsals").glob("*.rehearsal")):
            self.assertGreaterEqual(len(read(file).kinds), 12, file.name)

    def test_two_faults_at_one_instant_come_in_the_scripts_order(self) -> None:
        run = stage(parse(GOOD + "at 3s kill node 1\nat 3s restart node 1\n"))
        run.heap.run(run.start_ns + 4 * 10**9)
        self.assertFalse(run.nodes[1].model.down)


class CommandLine(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def call(self, *words: str) -> tuple[int, str]:
        result = CliRunner().invoke(cli, list(words))
        return result.exit_code, result.output

    def test_check_tells_faults_and_ends_with_1(self) -> None:
        self.assertEqual(self.call("check")[0], 0)
        conf, script = self.folder / "a.conf", self.folder / "a.rehearsal"
        conf.write_text("[http2]\nsteams 3\n")
        code, said = self.call("check", str(conf))
        self.assertEqual(code, 1)
        self.assertIn("a.conf:2: [http2] steams: is no directive", said)
        script.write_text(GOOD + "at 3s melt node 1")
        self.assertIn("a.rehearsal:6: melt", self.call("check", str(script))[1])
        self.assertIn("a.rehearsal:6: melt", self.call("rehearse", str(script))[1])
        script.write_text(GOOD)
        said = "a.rehearsal: 4 nodes, 2 schedulers, 10 s, 0 troubles\n"
        self.assertEqual(self.call("check", str(script)), (0, said))

    def test_a_rehearsal_leaves_the_same_folder_each_time(self) -> None:
        script = self.folder / "a.rehearsal"
        script.write_text(GOOD + "at 2s kill node 1\nat 4s slow node 2 by 5 for 2s\n")
        outs = [self.folder / "one", self.folder / "two", self.folder / "other"]
        for out, seed in zip(outs, ("3", "3", "4"), strict=True):
            code, said = self.call("rehearse", str(script), "--out", str(out), "--seed", seed)
            self.assertEqual(code, 0, said)
            self.assertIn("worth in time", said)
        names = {"script.rehearsal", "made-of.json", "classes.csv", "figures.csv", "jobs.csv"}
        kept = [{f.name: f.read_bytes() for f in out.iterdir()} for out in outs]
        self.assertEqual(set(kept[0]), names)
        self.assertEqual(kept[0], kept[1])
        self.assertNotEqual(kept[0]["jobs.csv"], kept[2]["jobs.csv"])
