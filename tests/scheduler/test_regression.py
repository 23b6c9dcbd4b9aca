"""The regression command reads what benches print, and finds a fall and a broken rule."""

from __future__ import annotations

import unittest

from benchmarks.regression import compare, figure


class Reading(unittest.TestCase):
    def test_figures_and_broken_rules_are_found(self) -> None:
        for text, reported in (
            ("x\nquick estimate on the standard days of a (set 1): 0.573; rough-1 0.61", (0.573, True)),
            ("score of the real nodes 0.902 (the weighted mean)\n", (0.902, True)),
            ("score of the real nodes 0.316 (a)\nGATE failed: calm", (0.316, False)),
            ("node n24 crashed: did not wait\n", (None, False)),
        ):
            self.assertEqual(figure(text), reported)

    def test_a_fall_above_the_noise_does_not_hold(self) -> None:
        found = {
            name: holds
            for name, _, _, holds in compare({"a": 0.85, "b": 0.80, "c": 0.1}, {"a": 0.875, "b": 0.875})
        }
        self.assertEqual(found, {"a": True, "b": False, "c": True})
