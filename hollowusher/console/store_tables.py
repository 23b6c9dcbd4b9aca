"""Formats the status reports of the stores as text.  No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from hollowusher.console.admin_client import AdminCallError
from hollowusher.console.store_report import PRIMARY, StoreReport
from hollowusher.console.text_table import Cell, format_table

NONE = "-"
NO_ANSWER = "no answer"
MEBIBYTE = 1024 * 1024

StoreReports = Mapping[str, StoreReport | AdminCallError]


def format_stores(stores: StoreReports) -> str:
    """Format a table with one row per store."""
    headers = [
        "store",
        "up s",
        "generation",
        "leads",
        "keeps",
        "messages",
        "behind key",
        "free MiB",
        "syncs",
        "disk",
    ]
    return format_table(headers, [_row(name, report) for name, report in stores.items()])


def _row(name: str, report: StoreReport | AdminCallError) -> list[Cell]:
    if isinstance(report, AdminCallError):
        return [name, NO_ANSWER, *[NONE] * 8]
    roles = Counter(partition.role for partition in report.partitions)
    return [
        name,
        f"{report.up_s:.0f}",
        str(report.generation),
        str(roles[PRIMARY]),
        str(len(report.partitions)),
        str(sum(partition.messages for partition in report.partitions)),
        _behind_key(report),
        str(report.disk.free_bytes // MEBIBYTE),
        str(report.disk.syncs),
        _disk(report),
    ]


def _behind_key(report: StoreReport) -> str:
    if not report.behind_key:
        return "0"
    return f"{report.behind_key}, {report.longest_behind_key_s:.0f} s"


def _disk(report: StoreReport) -> str:
    if report.disk.error:
        return f"failed: {report.disk.error}"
    return "stalled" if report.disk.stalled else "in order"


def _too_large(name: str, report: StoreReport) -> str:
    size = report.catch_up_size_bytes // MEBIBYTE
    limit = report.catch_up_limit_bytes // MEBIBYTE
    return f"{name} has more records than a replacement receives within catchUpS: {size} of {limit} MiB"


def store_problems(stores: StoreReports) -> list[str]:
    """Return the problems of the stores, one line each."""
    problems = []
    for name, report in stores.items():
        if isinstance(report, AdminCallError):
            problems.append(f"{name} gives no status: {report}")
            continue
        if report.disk.error or report.disk.stalled:
            problems.append(f"the disk of {name}: {_disk(report)}")
        if 0 < report.catch_up_limit_bytes < report.catch_up_size_bytes:
            problems.append(_too_large(name, report))
        behind = sorted({peer for partition in report.partitions for peer in partition.behind})
        if behind:
            problems.append(f"{name} brings up to date: {', '.join(behind)}")
    return problems
