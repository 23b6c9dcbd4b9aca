"""What the stores say of themselves, as text.  No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from hollowusher.console.client import CallError
from hollowusher.console.store_report import PRIMARY, StoreReport
from hollowusher.console.tables import Cell, table

NONE = "-"
NO_ANSWER = "no answer"
MEBIBYTE = 1024 * 1024

Told = Mapping[str, StoreReport | CallError]


def stores_table(stores: Told) -> str:
    """One line a store."""
    heads = ["store", "up s", "generation", "leads", "keeps", "messages", "free MiB", "syncs", "disk"]
    return table(heads, [_row(name, told) for name, told in stores.items()])


def _row(name: str, told: StoreReport | CallError) -> list[Cell]:
    if isinstance(told, CallError):
        return [name, NO_ANSWER, *[NONE] * 7]
    roles = Counter(kept.role for kept in told.partitions)
    return [
        name,
        f"{told.up_s:.0f}",
        str(told.generation),
        str(roles[PRIMARY]),
        str(len(told.partitions)),
        str(sum(kept.messages for kept in told.partitions)),
        str(told.disk.free_bytes // MEBIBYTE),
        str(told.disk.syncs),
        _disk(told),
    ]


def _disk(told: StoreReport) -> str:
    if told.disk.error:
        return f"failed: {told.disk.error}"
    return "stalled" if told.disk.stalled else "in order"


def store_lacks(stores: Told) -> list[str]:
    """What is not as it should be, one line each."""
    found = []
    for name, told in stores.items():
        if isinstance(told, CallError):
            found.append(f"{name} gives no status: {told}")
            continue
        if told.disk.error or told.disk.stalled:
            found.append(f"the disk of {name}: {_disk(told)}")
        behind = sorted({peer for kept in told.partitions for peer in kept.behind})
        if behind:
            found.append(f"{name} brings up to date: {', '.join(behind)}")
    return found
