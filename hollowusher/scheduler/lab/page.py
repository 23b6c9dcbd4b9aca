"""Writes the HTML page of a run, with tables and charts of the files in the folder of the run."""

from __future__ import annotations

import csv
import html
import io
import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib
from hdrh.histogram import HdrHistogram

matplotlib.use("svg")  # renders without a display or a window
from matplotlib.figure import Figure

from hollowusher.scheduler.settings.model import ConfigError

PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
MOST_US = 3_600_000_000  # an hour
WINDOW_S = 5.0
STYLE = """body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.25em .7em;text-align:right}
td:first-child,th:first-child{text-align:left}pre{background:#f5f5f5;padding:1em;overflow-x:auto}
svg{max-width:100%;height:auto}"""


@dataclass(frozen=True, slots=True)
class Row:
    """One job of a run, as a row of `jobs.csv`."""

    job_class: str
    asked_s: float
    verdict: str
    took_s: float


def read_rows(folder: Path) -> list[Row]:
    """Read the jobs of a run; raises ConfigError if the table is missing or invalid."""
    try:
        with (folder / "jobs.csv").open(newline="") as file:
            return [
                Row(r["class"], float(r["asked_s"]), r["verdict"], float(r["took_s"]))
                for r in csv.DictReader(file)
            ]
    except (OSError, KeyError, ValueError) as wrong:
        raise ConfigError(f"{folder / 'jobs.csv'}: is not the table of a run: {wrong!r}") from None


def histograms(rows: Iterable[Row]) -> dict[str, HdrHistogram]:
    """Return latency histograms (microseconds, three significant digits) of served jobs by class."""
    found: dict[str, HdrHistogram] = {}
    for row in rows:
        if row.verdict == "served":
            histogram = found.setdefault(row.job_class, HdrHistogram(1, MOST_US, 3))
            histogram.record_value(max(1, round(row.took_s * 1e6)))
    return found


def make(folder: Path) -> Path:
    """Write `report.html` into the folder of a run, and return its path."""
    rows = read_rows(folder)
    made_of = json.loads((folder / "made-of.json").read_text())
    script = (folder / "script.rehearsal").read_text()
    title = script.split("\n", 1)[0].lstrip("# ") or folder.name
    latencies = histograms(rows)
    parts = [
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{html.escape(title)}</title>",
        f"<style>{STYLE}</style><h1>{html.escape(title)}</h1>",
        f"<p>Seed {made_of['seed']}, {len(rows)} jobs."
        + (" <b>The run was interrupted.</b>" if made_of.get("stopped") else "")
        + "</p>",
        "<h2>Figures</h2>",
        table(csv_rows(folder / "figures.csv")),
        "<h2>By class</h2>",
        table(csv_rows(folder / "classes.csv")),
        "<h2>Latency of served jobs, ms</h2>",
        table(
            [
                ["class", "jobs", *(f"p{p:g}" for p in PERCENTILES)],
                *(
                    [
                        name,
                        str(h.get_total_count()),
                        *(f"{h.get_value_at_percentile(p) / 1000:.1f}" for p in PERCENTILES),
                    ]
                    for name, h in sorted(latencies.items())
                ),
            ]
        ),
        _latency_chart(latencies),
        "<h2>The run</h2>",
        _time_chart(rows),
        "<h2>Script</h2>",
        f"<pre>{html.escape(script)}</pre>",
        "<h2>Made of</h2>",
        f"<pre>{html.escape(json.dumps(made_of, indent=1))}</pre></html>",
    ]
    path = folder / "report.html"
    path.write_text("\n".join(parts))
    return path


def csv_rows(path: Path) -> list[list[str]]:
    """Read the rows of a CSV file."""
    with path.open(newline="") as file:
        return list(csv.reader(file))


def table(rows: Sequence[Sequence[str]]) -> str:
    """Format rows as an HTML table; the first row is the header."""
    lines = ["<table>"]
    for number, row in enumerate(rows):
        cell = "th" if number == 0 else "td"
        lines.append("<tr>" + "".join(f"<{cell}>{html.escape(value)}</{cell}>" for value in row) + "</tr>")
    return "".join([*lines, "</table>"])


def svg(figure: Figure) -> str:
    """Render a figure as an SVG element for a page."""
    text = io.StringIO()
    # Without the date and with a fixed hash salt, the same run gives the same page.
    with matplotlib.rc_context({"svg.hashsalt": "hollowusher"}):
        figure.savefig(text, format="svg", metadata={"Date": None})
    return text.getvalue().partition("<svg")[1] + text.getvalue().partition("<svg")[2]


def _latency_chart(latencies: dict[str, HdrHistogram]) -> str:
    figure = Figure(figsize=(9, 3.6), layout="constrained")
    axes = figure.subplots()
    shares = [n / 10 for n in range(0, 1000, 5)]
    for name, histogram in sorted(latencies.items()):
        axes.plot([histogram.get_value_at_percentile(s) / 1000 for s in shares], shares, label=name)
    axes.set_xscale("log")
    axes.set_xlabel("ms, from request to response")
    axes.set_ylabel("% of served jobs")
    axes.grid(alpha=0.3)
    if latencies:
        axes.legend()
    return svg(figure)


def _time_chart(rows: Sequence[Row]) -> str:
    """Chart requested and unserved jobs, and the median and 95% latency, over time."""
    figure = Figure(figsize=(9, 4.6), layout="constrained")
    upper, lower = figure.subplots(2, sharex=True)
    windows: dict[int, list[Row]] = {}
    for row in rows:
        windows.setdefault(int(row.asked_s // WINDOW_S), []).append(row)
    at = [number * WINDOW_S for number in sorted(windows)]
    mine = [windows[number] for number in sorted(windows)]
    upper.step(at, [len(w) / WINDOW_S for w in mine], where="post", label="requested")
    lost = [sum(r.verdict not in ("served", "gone") for r in w) / WINDOW_S for w in mine]
    upper.step(at, lost, where="post", label="rejected or failed")
    upper.set_ylabel("jobs per second")
    upper.legend()
    for share, label in ((0.5, "median"), (0.95, "95%")):
        values = [sorted(r.took_s for r in w if r.verdict == "served") for w in mine]
        lower.step(
            at, [v[int(share * (len(v) - 1))] * 1000 if v else 0 for v in values], where="post", label=label
        )
    lower.set_ylabel("latency, ms")
    lower.set_xlabel("time in the run, s")
    lower.legend()
    for axes in (upper, lower):
        axes.grid(alpha=0.3)
    return svg(figure)
