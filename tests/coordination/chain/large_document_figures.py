"""Prints the cost of large documents in virtual time.

Usage: `python -m tests.coordination.chain.large_document_figures`.
"""

from __future__ import annotations

import asyncio

from tests.coordination.chain.test_large_documents import (
    SLOW_DISK,
    caught_up,
    change_placement,
    large_body,
    send_until_taken,
    sized_cluster,
)
from tests.support.controller_cluster import ControllerCluster, run_virtual

SIZES = (100, 1_000_000, 8_000_000)
LIMIT_S = 60.0


def all_hold(cluster: ControllerCluster) -> bool:
    """Whether every member holds what the head holds."""
    return all(caught_up(cluster, name) for name in cluster.nodes)


async def order(slow: str, size: int) -> str:
    """One order while these machines have slow disks."""
    cluster = await sized_cluster()
    await send_until_taken(cluster, large_body(1, size), 0)
    cluster.network.disk_slowness = dict.fromkeys(slow, SLOW_DISK)
    acknowledged = await send_until_taken(cluster, large_body(2, size), 1, LIMIT_S)
    held = acknowledged + await cluster.until(lambda: all_hold(cluster), LIMIT_S)
    return f"acknowledged after {acknowledged:.2f} s, held by all after {held:.2f} s"


async def placement(size: int) -> str:
    """One change of the placement."""
    cluster = await sized_cluster()
    await send_until_taken(cluster, large_body(1, size), 0)
    cluster.network.sent_bytes.clear()
    cluster.network.saved_bytes.clear()
    assert await change_placement(cluster, 1)
    sent, saved = cluster.network.sent_bytes["ChainWrite"], max(cluster.network.saved_bytes.values())
    return f"{sent} bytes on two links, {saved} bytes on the busiest disk"


async def back(loss: str, slowness: float, size: int) -> str:
    """The last member is killed or wiped, misses an order, and comes back while the placement changes."""
    cluster = await sized_cluster()
    await send_until_taken(cluster, large_body(1, size), 0)
    await cluster["c"].kill()
    if loss == "wipe":
        cluster["c"].wipe()
    await send_until_taken(cluster, large_body(2, size), 1)
    cluster.network.disk_slowness["c"] = slowness
    cluster.network.sent_bytes.clear()
    await cluster["c"].start()
    changes = asyncio.ensure_future(change_until_cancelled(cluster))
    took = await cluster.until(lambda: caught_up(cluster, "c"), LIMIT_S)
    changes.cancel()
    await asyncio.wait({changes})
    return f"caught up after {took:.2f} s and {sum(cluster.network.sent_bytes.values())} bytes"


async def change_until_cancelled(cluster: ControllerCluster) -> None:
    """Change the placement again and again."""
    version = 0
    while True:
        version += 1
        while not await change_placement(cluster, version):
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.05)


def main() -> None:
    """Print all figures."""
    for size in SIZES:
        print(f"placement beside {size} bytes: {run_virtual(placement(size))}")
    for slow in ("", "a", "b", "c", "abc"):
        for size in SIZES:
            print(f"order of {size} bytes, slow disks {slow or 'none'}: {run_virtual(order(slow, size))}")
    for loss in ("kill", "wipe"):
        for slowness in (1.0, SLOW_DISK):
            for size in SIZES:
                text = run_virtual(back(loss, slowness, size))
                print(f"{loss}, document of {size} bytes, disk x{slowness:.0f}: {text}")


if __name__ == "__main__":
    main()
