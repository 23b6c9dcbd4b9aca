"""The rig of faults: words, links, a checker that finds what is planted, scripts in virtual time."""

from __future__ import annotations

import random
import tempfile
import unittest
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.scheduler.emulator.faults import history
from hollowusher.scheduler.emulator.faults.checks import check
from hollowusher.scheduler.emulator.faults.history import HistoryEntry, acts
from hollowusher.scheduler.emulator.faults.links import KINDS, NS, Condition, Links
from hollowusher.scheduler.emulator.faults.virtual import VirtualPlay
from hollowusher.scheduler.emulator.processes.commands import rehearse_members
from hollowusher.scheduler.emulator.script import parse, read
from hollowusher.scheduler.settings.model import ConfigError

SCRIPTS = Path(__file__).parent.parent.parent / "rehearsals" / "faults"
HEAD = "members 3\nlength 30s\n"


class Words(unittest.TestCase):
    def test_faults_name_file_and_line(self) -> None:
        for line, why in (
            ("at 8s cut n1 n2", "-> or <-> must stand between"),
            ("at 8s cut n1 -> n4", "n4: there are n1 to n3"),
            ("at 8s cut n3..n1 -> n2", "there are n1 to n3"),
            ("at 8s lose 0% n1 -> n2", "lose: must be a share such as 30%"),
            ("at 8s pause n1", "`for` is missing"),
            ("at 8s pause s1 for 3s", "must be names such as"),
            ("at 8s kill n1 for 3s", "for: is not known here"),
            ("at 8s reset n1 -> n2 for 3s", "for: is not known here"),
            ("at 8s start n1 clock soon", "clock: must be a span such as 100s, or -100s"),
            ("at 8s rename n1 from n2", "`to` and names must follow"),
            ("at 8s flood 2000 n1 for 3s", "flood: must be a rate"),
            ("at 8s hold n1 -> n2 every 3s", "`every` and `until` go together"),
            ("at 8s blow n1", "blow: nothing of that name happens; there are cut, delay"),
            ("at 8s expect n1 hear n2", "must be see, minority or majority"),
            ("at 31s kill n1", "the script ends after 30s"),
            ("expect died often", "must be none, or only and names"),
            ("expect told murdered of n1", "is no change; there are cleared"),
            ("expect found n1 in 3s", "`within` and a span must follow"),
            ("expect wonders", "is nothing to expect"),
            ("traffic 5/s", "traffic: needs nodes and classes"),
        ):
            with self.assertRaisesRegex(ConfigError, "^script:[0-9]+: .*" + why.replace("`", ".")):
                parse(HEAD + line)
        with self.assertRaisesRegex(ConfigError, "script:1: .*no `members` before"):
            parse("at 8s pause n1 for 3s\n" + HEAD)

    def test_acts_come_in_order_with_their_ends(self) -> None:
        script = parse(HEAD + "at 5s cut n1 <-> n2 for 4s every 10s until 20s\nat 9s kill n3\n")
        reported = [(a.at_s, a.fault.what, a.ends) for a in acts(script.mishaps, script.length_s)]
        self.assertEqual(
            reported,
            [(5, "cut", False), (9, "cut", True), (9, "kill", False), (15, "cut", False), (19, "cut", True)],
        )
        self.assertEqual(history.pairs(script.mishaps[0]), {("n1", "n2"), ("n2", "n1")})


class LinksDo(unittest.TestCase):
    def setUp(self) -> None:
        self.later: list[int] = []
        self.links = Links(random.Random(1), self.deliver)
        self.got = 0

    def deliver(self, delay: int, what: Callable[[], None]) -> None:
        self.later.append(delay)
        what()

    def carry(self, many: int = 1000, now: int = 0) -> int:
        """How many of so many datagrams arrive."""
        before = self.got
        for _ in range(many):
            self.links.carry(("a", "b"), 100, now, lambda: setattr(self, "got", self.got + 1))
        return self.got - before

    def test_each_kind_and_only_on_its_own_way(self) -> None:
        for kind, amount, spread, least, most, delay in (
            ("cut", 0, 0, 0, 0, 0),
            ("hold", 0, 0, 0, 0, 0),
            ("lose", 0.3, 0, 640, 760, 0),
            ("double", 0.5, 0, 1440, 1560, 0),
            ("delay", NS, NS, 1000, 1000, 2 * NS),
            ("narrow", 1000, 0, 20, 22, 3 * NS),
        ):
            with self.subTest(kind):
                self.setUp()
                self.links.begin(1, Condition(kind, frozenset({("b", "a")}), amount, spread))
                self.assertEqual(self.carry(10), 10)
                self.links.begin(1, Condition(kind, frozenset({("a", "b")}), amount, spread))
                arrived = self.carry()
                self.assertTrue(least <= arrived <= most, arrived)
                self.assertLessEqual(max(self.later), delay)
                self.assertEqual(self.links.blocked(("a", "b")), kind in ("cut", "hold"))
                self.links.end(1)
                self.assertEqual(self.got, 10 + arrived + (1000 if kind == "hold" else 0))
        self.assertEqual({"cut", "lose", "double", "delay", "hold", "narrow"}, set(KINDS))

    def test_a_narrow_stream_waits_where_a_datagram_would_be_lost(self) -> None:
        self.links.begin(1, Condition("narrow", frozenset({("a", "b")}), 1000))
        waits = [self.links.stream_wait(("a", "b"), 1000, 0) for _ in range(5)]
        self.assertEqual(waits, [n * NS for n in range(1, 6)])


class Checker(unittest.TestCase):
    """Whatever is planted in a good history is found."""

    SCRIPT = parse(
        "members 4\nlength 60s\nat 8s kill n4\nat 30s expect n1..n3 see n1..n3\n"
        "at 30s expect n1 majority\nexpect died only n4\nexpect found n4 within 5s\n"
        "expect told refuted of n2\nexpect served 90%\n"
    )

    def good(self) -> list[HistoryEntry]:
        entries = [
            HistoryEntry(1.0, a, "joined", b, view=2) for a in self.names for b in self.names if a != b
        ]
        entries += [HistoryEntry(8.1, "n4", "ended", why="bidden"), HistoryEntry(9.0, "n2", "refuted", "n2")]
        entries += [HistoryEntry(10.0, a, "died", "n4", view=5) for a in ("n1", "n2", "n3")]
        entries += [HistoryEntry(30.0, a, "state", "n1,n2,n3", "majority") for a in ("n1", "n2", "n3")]
        entries += [HistoryEntry(40.0 + i, "n1", "job", f"j{i}.settle", "served") for i in range(10)]
        return [*entries, *(HistoryEntry(59.0, "s1", "run", f"j{i}.settle", "once") for i in range(10))]

    names = ("n1", "n2", "n3", "n4")

    def broken(self, entries: list[HistoryEntry]) -> list[str]:
        script = self.SCRIPT
        ordered = sorted(entries, key=lambda e: e.at)
        found = check(ordered, acts(script.mishaps, script.length_s), script.expects, self.names)
        return [f.what for f in found if not f.holds]

    def test_a_good_history_and_each_planted_fault(self) -> None:
        good = self.good()
        self.assertEqual(self.broken(good), [])
        late = [replace_at(e, 14.0) if e.what == "died" and e.who == "n2" else e for e in good]
        for planted, why in (
            ([*good, HistoryEntry(20.0, "n1", "died", "n2", view=6)], "died only"),
            (
                [
                    *good,
                    HistoryEntry(20.0, "n1", "died", "n2", view=6),
                    HistoryEntry(20.1, "n3", "died", "n2", view=6),
                ],
                "held dead by all",
            ),
            (late, "found n4"),
            ([e for e in good if e.what != "refuted"], "told refuted"),
            ([e for e in good if not (e.what == "state" and e.who == "n3")], "see n1..n3"),
            (
                [
                    e
                    if e.who != "n1" or e.what != "state"
                    else HistoryEntry(30.0, "n1", "state", "n1,n2,n3", "minority")
                    for e in good
                ],
                "majority",
            ),
            ([*good, HistoryEntry(50.0, "n1", "joined", "n4", view=4)], "numbers of views"),
            ([*good, HistoryEntry(50.0, "n2", "ended", why="code 1")], "unbidden"),
            ([*good, HistoryEntry(59.0, "s2", "run", "j3.settle", "once")], "runs once"),
            ([*good, HistoryEntry(50.0, "n1", "job", "j3.settle", "served")], "one answer"),
            ([*good, HistoryEntry(50.0, "n1", "job", "j99.settle", "wrong")], "right answer"),
            ([*good, *(HistoryEntry(50.0, "n1", "job", f"x{i}", "broken") for i in range(9))], "served 90"),
        ):
            with self.subTest(why):
                self.assertTrue(any(why in what for what in self.broken(planted)), self.broken(planted))

    def test_a_history_is_kept_and_read(self) -> None:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "history.jsonl"
        history.write(path, self.good())
        self.assertEqual(history.read(path), self.good())


def replace_at(entry: HistoryEntry, at: float) -> HistoryEntry:
    return HistoryEntry(at, entry.who, entry.what, entry.of, entry.why, entry.view)


class InVirtualTime(unittest.TestCase):
    def test_every_script_holds_at_its_own_size(self) -> None:
        for path in sorted(SCRIPTS.glob("*.rehearsal")):
            for seed in (1, 2):
                with self.subTest(path.stem, seed=seed):
                    played = rehearse_members(read(path), seed)
                    self.assertEqual([f for f in played.findings if not f.holds], [])

    def test_pauses_and_ways_hold_among_forty(self) -> None:
        for name in ("pause", "one-way"):
            script = read(SCRIPTS / f"{name}.rehearsal")
            script.expects = [e for e in script.expects if e.what != "see"]
            played = rehearse_members(script, 1, 40)
            self.assertEqual([f for f in played.findings if not f.holds], [])

    @settings(max_examples=8, deadline=None)
    @given(st.integers(0, 2**31))
    def test_whatever_a_seed_draws_the_standing_checks_hold(self, seed: int) -> None:
        chance = random.Random(seed)
        lines = ["members 5", "length 60s"]
        for _ in range(chance.randint(1, 4)):
            at, n, m = chance.randint(8, 30), *chance.sample(range(1, 6), 2)
            lines.append(
                chance.choice(
                    (
                        f"at {at}s cut n{n} -> n{m} for 9s",
                        f"at {at}s pause n{n} for 2s",
                        f"at {at}s lose 20% * -> n{m} for 9s",
                        f"at {at}s restart n{n}",
                        f"at {at}s starve 20% n{n} for 5s",
                        f"at {at}s delay 300ms n{n} -> * spread 1s for 9s",
                    )
                )
            )
        script = parse("\n".join([*lines, "at 59s expect * see n1..n5"]))
        played = rehearse_members(script, seed)
        self.assertEqual([f for f in played.findings if not f.holds], [], lines)

    def test_the_same_seed_gives_the_same_history(self) -> None:
        script = read(SCRIPTS / "loss.rehearsal")
        one, two = (VirtualPlay(5, script.mishaps, script.expects, 20.0, 7).run() for _ in range(2))
        self.assertEqual(one, two)
        self.assertNotEqual(one, VirtualPlay(5, script.mishaps, script.expects, 20.0, 8).run())
        flood = [replace(m, what="flood") for m in script.mishaps[:1]]
        self.assertIn("not-played", [e.what for e in VirtualPlay(5, flood, (), 20.0, 7).run()])
