"""Prints the times and bytes that large configuration documents cost, in virtual time.

Usage: `python -m tests.coordination.chain.large_document_figures`.
"""

from __future__ import annotations

import asyncio

from tests.coordination.chain.test_large_documents import (
    SLOW_DISK,
    caught_up,
    change_placement,
    large_body,
    send_until_acknowledged,
    sized_cluster,
)
from tests.support.controller_cluster import ControllerCluster, run_virtual

SIZES = (100, 1_000_000, 8_000_000)
LIMIT_S = 60.0


def all_hold(cluster: ControllerCluster) -> bool:
    """Return whether every member has saved the state of the head."""
    return all(caught_up(cluster, name) for name in cluster.nodes)


async def order_cost(slow: str, size: int) -> str:
    """Measure one configuration order while the machines in `slow` have slow disks."""
    cluster = await sized_cluster()
    await send_until_acknowledged(cluster, large_body(1, size), 0)
    cluster.network.disk_slowness = dict.fromkeys(slow, SLOW_DISK)
    acknowledged = await send_until_acknowledged(cluster, large_body(2, size), 1, LIMIT_S)
    held = acknowledged + await cluster.until(lambda: all_hold(cluster), LIMIT_S)
    return f"acknowledged after {acknowledged:.2f} s, held by all after {held:.2f} s"


async def placement_cost(size: int) -> str:
    """Measure one change of the placement next to a document of `size` bytes."""
    cluster = await sized_cluster()
    await send_until_acknowledged(cluster, large_body(1, size), 0)
    cluster.network.sent_bytes.clear()
    cluster.network.saved_bytes.clear()
    assert await change_placement(cluster, 1)
    sent, saved = cluster.network.sent_bytes["ChainWrite"], max(cluster.network.saved_bytes.values())
    return f"{sent} bytes on two links, {saved} bytes on the busiest disk"


async def recovery_cost(loss: str, slowness: float, size: int) -> str:
    """Measure the recovery of a member that was killed or wiped, missed an order and restarts during changes.

    `slowness` is the factor by which its disk is slower.
    """
    cluster = await sized_cluster()
    await send_until_acknowledged(cluster, large_body(1, size), 0)
    await cluster["c"].kill()
    if loss == "wipe":
        cluster["c"].wipe()
    await send_until_acknowledged(cluster, large_body(2, size), 1)
    cluster.network.disk_slowness["c"] = slowness
    cluster.network.sent_bytes.clear()
    await cluster["c"].start()
    changes = asyncio.ensure_future(change_until_cancelled(cluster))
    elapsed_s = await cluster.until(lambda: caught_up(cluster, "c"), LIMIT_S)
    changes.cancel()
    await asyncio.wait({changes})
    return f"caught up after {elapsed_s:.2f} s and {sum(cluster.network.sent_bytes.values())} bytes"


async def change_until_cancelled(cluster: ControllerCluster) -> None:
    """Change the placement repeatedly."""
    version = 0
    while True:
        version += 1
        while not await change_placement(cluster, version):
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.05)


def main() -> None:
    """Print all measurements."""
    for size in SIZES:
        print(f"placement beside {size} bytes: {run_virtual(placement_cost(size))}")
    for slow in ("", "a", "b", "c", "abc"):
        for size in SIZES:
            print(
                f"order of {size} bytes, slow disks {slow or 'none'}: {run_virtual(order_cost(slow, size))}"
            )
    for loss in ("kill", "wipe"):
        for slowness in (1.0, SLOW_DISK):
            for size in SIZES:
                text = run_virtual(recovery_cost(loss, slowness, size))
                print(f"{loss}, document of {size} bytes, disk x{slowness:.0f}: {text}")


if __name__ == "__main__":
    main()
