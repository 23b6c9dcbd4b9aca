"""Writes the HTML page of a fault-injection run: findings, figures, and a time line of the faults."""

from __future__ import annotations

import html
from collections.abc import Sequence
from pathlib import Path

from matplotlib.figure import Figure

from hollowusher.scheduler.emulator.faults.checks import CheckResult, Course
from hollowusher.scheduler.emulator.faults.history import RIG, HistoryEntry, acts
from hollowusher.scheduler.emulator.script import RehearsalScript
from hollowusher.scheduler.lab.page import STYLE, csv_rows, svg, table
from hollowusher.scheduler.rules.membership.events import Change

_MOST_ROWS = 60
_COLOURS = {
    "kill": "#999",
    "stop": "#bbb",
    "pause": "#e8a33d",
    "starve": "#f3cf8a",
    "twin": "#b48ad6",
    "cut off": "#d9534f",
}
_HELD = {Change.DIED.value: "x", Change.SUSPECTED.value: "|", Change.REFUTED.value: "^"}


def make(
    folder: Path, script: RehearsalScript, entries: Sequence[HistoryEntry], findings: Sequence[CheckResult]
) -> Path:
    """Write `faults.html` into the folder of a run, and return its path."""
    title = script.text.split("\n", 1)[0].lstrip("# ") or folder.name
    rows = [["", "what", "seen"], *(["holds" if f.holds else "BROKEN", f.what, f.seen] for f in findings)]
    reported = [
        ["s", "who", "what", "of", "why"],
        *([f"{e.at:.2f}", e.who, e.what, e.of, e.why] for e in entries if e.what not in ("job", "run")),
    ]
    path = folder / "faults.html"
    path.write_text(
        "\n".join(
            [
                f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(title)}</title>",
                f"<style>{STYLE}</style><h1>{html.escape(title)}</h1>",
                "<h2>Findings</h2>",
                table(rows),
                "<h2>Figures</h2>",
                table(csv_rows(folder / "figures.csv")),
                "<h2>Time line</h2><p>Rows: schedulers. Bars: injected faults. "
                "Red bars: how many other schedulers considered the scheduler dead. "
                "Crosses: declared dead; strokes: suspected; arrows: a refuted suspicion.</p>",
                _time_line(script, entries),
                "<h2>History</h2>",
                table(reported[:2000]),
                "<h2>Script</h2>",
                f"<pre>{html.escape(script.text)}</pre></html>",
            ]
        )
    )
    return path


def _time_line(script: RehearsalScript, entries: Sequence[HistoryEntry]) -> str:
    names = [f"n{n}" for n in range(1, script.members + 1)][:_MOST_ROWS]
    row = {name: len(names) - 1 - at for at, name in enumerate(names)}
    figure = Figure(figsize=(11, 1.2 + 0.42 * len(names)), layout="constrained")
    axes = figure.subplots()
    for name, spans in Course(acts(script.mishaps, script.length_s), names).spans.items():
        for since, until, why in spans:
            width = min(until, script.length_s) - since
            axes.barh(row[name], width, left=since, height=0.8, color=_COLOURS.get(why, "#ccc"), alpha=0.5)
    for name, held in _held_dead(names, entries).items():
        for (since, many), (until, _) in zip(held, [*held[1:], (script.length_s, 0)], strict=True):
            if many:
                axes.barh(
                    row[name],
                    until - since,
                    left=since,
                    height=0.25,
                    color="#a00",
                    alpha=0.25 + 0.75 * many / max(1, len(names) - 1),
                )
    for what, marker in _HELD.items():
        at = [(e.at, row[e.of]) for e in entries if e.what == what and e.of in row]
        axes.scatter([x for x, _ in at], [y for _, y in at], marker=marker, s=26, label=what, linewidths=1)
    for e in entries:
        if e.who == RIG and not e.what.endswith("-over"):
            axes.axvline(e.at, color="#36c", alpha=0.25, linewidth=0.8)
            axes.text(e.at, len(names) - 0.4, e.what, rotation=90, fontsize=7, va="bottom", color="#36c")
    axes.set_yticks(list(row.values()), list(row))
    axes.set_xlim(0, script.length_s)
    axes.set_ylim(-0.7, len(names) + 0.6)
    axes.set_xlabel("time in the run, s")
    axes.legend(loc="lower right", fontsize=7)
    return svg(figure)


def _held_dead(names: Sequence[str], entries: Sequence[HistoryEntry]) -> dict[str, list[tuple[float, int]]]:
    """Return for each scheduler the steps (time in s, number of other schedulers that consider it dead)."""
    holders: dict[str, set[str]] = {name: set() for name in names}
    found: dict[str, list[tuple[float, int]]] = {name: [(0.0, 0)] for name in names}
    for e in entries:
        if e.of not in holders or e.who == e.of:
            continue
        if e.what == Change.DIED.value:
            holders[e.of].add(e.who)
        elif e.what in (Change.JOINED.value, Change.RESTARTED.value):
            holders[e.of].discard(e.who)
        else:
            continue
        found[e.of].append((e.at, len(holders[e.of])))
    return found
