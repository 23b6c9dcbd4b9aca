"""Measurement of the recovery times of the voters after a failure, in virtual time.

The results are the table of docs/control-safety/membership.md.

    python -m tests.coordination.controller.voter_recovery_times
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

import click

from tests.support.controller_cluster import STALLED, ControllerCluster, ControllerNode, run_virtual

ABSENCES_S = (0.1, 1.0, 3.0, 6.0)
JITTERS_S = (0.0, 0.2)
TIMEOUT_S = 15.0
SUCCESSOR = "n"

Loss = Callable[[ControllerCluster, ControllerNode, float], Coroutine[None, None, str]]


async def kill(cluster: ControllerCluster, node: ControllerNode, absence_s: float) -> str:
    """Kill the process and restart it."""
    await node.kill()
    await asyncio.sleep(absence_s)
    await node.start()
    return node.name


async def wipe(cluster: ControllerCluster, node: ControllerNode, absence_s: float) -> str:
    """Kill the process and restart it with an empty disk."""
    await node.kill()
    node.wipe()
    await asyncio.sleep(absence_s)
    await node.start()
    return node.name


async def cut(cluster: ControllerCluster, node: ControllerNode, absence_s: float) -> str:
    """Isolate the machine from all others for a time."""
    cluster.isolate(node.name)
    await asyncio.sleep(absence_s)
    cluster.join_all()
    return node.name


async def stick(cluster: ControllerCluster, node: ControllerNode, absence_s: float) -> str:
    """Stall the machine's disk for a time while an operator sends an order."""
    node.files[STALLED] = b"yes"
    order = asyncio.get_running_loop().create_task(cluster.put_at_any_node(2, 1, TIMEOUT_S))
    await asyncio.sleep(absence_s)
    del node.files[STALLED]
    order.cancel()
    await asyncio.gather(order, return_exceptions=True)
    return node.name


async def replace(cluster: ControllerCluster, node: ControllerNode, absence_s: float) -> str:
    """Remove the machine for good and start an empty one later."""
    await node.kill()
    cluster.remove(node.name)
    await asyncio.sleep(absence_s)
    await cluster.add(SUCCESSOR).start()
    return SUCCESSOR


async def replace_by_one_there_before(
    cluster: ControllerCluster, node: ControllerNode, absence_s: float
) -> str:
    """Start an empty machine and later remove the old one for good."""
    await cluster.add(SUCCESSOR).start()
    await asyncio.sleep(absence_s)
    await node.kill()
    cluster.remove(node.name)
    return SUCCESSOR


def is_complete(cluster: ControllerCluster, name: str) -> bool:
    """Return whether the chain has three running members and `name` is one with a state of its epoch."""
    views = [node.running.view for node in cluster.nodes.values()]
    newest = max((view for view in views if view is not None), key=lambda view: view.epoch)
    returned = cluster[name].running
    member = returned._chain_member
    return (
        returned.view == newest
        and len(newest.chain) == 3
        and name in newest.chain
        and set(newest.chain) <= cluster.nodes.keys()
        and member.epoch == newest.epoch == member.state_epoch
        and any(node.running.is_head for node in cluster.nodes.values())
    )


async def measure(loss: Loss, victim: str, absence_s: float, jitter_s: float) -> float:
    """Return the seconds from the end of the failure until the voters are complete again."""
    cluster = ControllerCluster("abc")
    await cluster.bootstrap_all()
    await cluster.put_at_any_node(1, 0)
    cluster.network.slowest_s = jitter_s
    returned = await loss(cluster, cluster[victim], absence_s)
    ended = asyncio.get_running_loop().time()
    await asyncio.sleep(0.05)
    await cluster.until(lambda: is_complete(cluster, returned), TIMEOUT_S)
    return asyncio.get_running_loop().time() - ended


@click.command()
def main() -> None:
    """Print the longest and the mean recovery time for each kind of failure."""
    for jitter_s in JITTERS_S:
        for loss in (kill, wipe, cut, stick, replace, replace_by_one_there_before):
            times = [
                run_virtual(measure(loss, victim, absence_s, jitter_s))
                for victim in "abc"
                for absence_s in ABSENCES_S
            ]
            mean_s = sum(times) / len(times)
            click.echo(f"{jitter_s} s  {loss.__name__:28} most {max(times):.2f}  mean {mean_s:.2f}")


if __name__ == "__main__":
    main()
