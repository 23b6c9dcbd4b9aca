"""Equal series of runs compare as a tie, worse ones as worse; the report page contains the tables."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from click.testing import CliRunner

from hollowusher.balancing import balancer as balance
from hollowusher.scheduler.cli import FIGURES, cli
from hollowusher.scheduler.emulator.script import read, stage
from hollowusher.scheduler.emulator.traffic import Spell
from hollowusher.scheduler.lab.compare import BETTER_HIGH, compare
from hollowusher.scheduler.settings.model import ConfigError
from tests.scheduler.test_rehearsal_script import GOOD

SNOW = Path(__file__).parent.parent.parent / "rehearsals" / "snow.rehearsal"


def series(seeds: range) -> dict[int, dict[str, float]]:
    plan = read(SNOW)
    plan.length_s, plan.spells = 25.0, [Spell(0.0, 30.0)]
    reports = {seed: stage(plan, seed).run(plan.length_s) for seed in seeds}
    return {seed: {name: getattr(r, name) for name in FIGURES} for seed, r in reports.items()}


class Compare(unittest.TestCase):
    def test_the_same_is_a_tie_and_a_known_bad_set_point_is_worse(self) -> None:
        first = series(range(4))
        self.assertEqual({f.verdict for f in compare(first, series(range(4)))}, {"tie"})
        with mock.patch.object(balance, "SET_POINT", 0.4):
            bad = series(range(4))
        said = {f.figure: f.verdict for f in compare(first, bad)}
        self.assertEqual(said["share"], "worse")
        back = {f.figure: f.verdict for f in compare(bad, first)}
        self.assertEqual(back["share"], "better")

    def test_a_difference_within_its_bar_is_a_tie(self) -> None:
        def runs(shares: list[float]) -> dict[int, dict[str, float]]:
            return {n: {**dict.fromkeys(BETTER_HIGH, 0.0), "share": s} for n, s in enumerate(shares)}

        first = runs([0.9, 0.9, 0.9, 0.9])
        self.assertEqual(compare(first, runs([0.95, 0.85, 0.96, 0.86]))[0].verdict, "tie")
        finding = compare(first, runs([0.80, 0.81, 0.79, 0.80]))[0]
        self.assertEqual(finding.verdict, "worse")
        # Student's t with 3 degrees of freedom: 3.182 times 0.00816/2.
        self.assertAlmostEqual(finding.high - finding.difference, 3.182 * 0.008165 / 2, places=4)
        with self.assertRaisesRegex(ConfigError, "2 seeds in common"):
            compare(first, {n: first[n] for n in (0, 1)})


class Pages(unittest.TestCase):
    def test_a_page_holds_figures_charts_and_script_and_is_the_same_again(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            script, out = Path(folder) / "a.rehearsal", Path(folder) / "run"
            script.write_text("# A <small> day\n" + GOOD)
            for words in (["rehearse", str(script), "--out", str(out)], ["report", str(out)]):
                result = CliRunner().invoke(cli, words)
                self.assertEqual(result.exit_code, 0, result.output)
            page = (out / "report.html").read_text()
            CliRunner().invoke(cli, ["report", str(out)])
            self.assertEqual((out / "report.html").read_text(), page)
            self.assertEqual(page.count("<svg"), 2)
            for text in ("A &lt;small&gt; day", "p99.9", "eta-quote", "traffic 20/s", "worst_10_s"):
                self.assertIn(text, page)
            result = CliRunner().invoke(cli, ["report", folder])
            self.assertEqual(result.exit_code, 1)
            self.assertIn("is not the table of a run", result.output)

    def test_series_are_kept_and_compared_from_the_command_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            script, out = Path(folder) / "a.rehearsal", Path(folder) / "series"
            script.write_text(GOOD)
            made = CliRunner().invoke(cli, ["experiment", str(script), "--runs", "3", "--out", str(out)])
            self.assertEqual(made.exit_code, 0, made.output)
            reported = CliRunner().invoke(cli, ["compare", str(out), str(out)])
            self.assertEqual(reported.output.count("tie"), len(BETTER_HIGH))
            refused = CliRunner().invoke(cli, ["compare", str(out), folder])
            self.assertIn("is not a series of runs", refused.output)
