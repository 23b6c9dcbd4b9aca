"""Randomized search for faults in voter recovery, in virtual time.

Each run injects failures of controllers one after the other.  A failed controller returns or is replaced, and
the next failure follows `CATCH_UP_S` later, which is the shortest interval that a deployment has to tolerate.
If every message and every sync may take 0.4 s, which a deployment counts as a failure by itself, the interval
is `SLOW_CATCH_UP_S`.

After the last failure the cluster has to recover within `RECOVERY_S`: an order is acknowledged, every voter
holds the newest state and every controller has the newest view.  To run many seeds:

    python -m tests.coordination.controller.voter_fault_search --seeds 200
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine

import click

from tests.support.controller_cluster import STALLED, ControllerCluster, ControllerNode, run_virtual
from tests.support.order_traffic import OrderTraffic

# `catchUpS`: a machine still counts as failed for this long after its return or its replacement's start.
CATCH_UP_S = 4.2
SLOW_CATCH_UP_S = 6.0  # replaces `CATCH_UP_S` if messages and syncs may take more than `EDGE_JITTER_S` longer
EDGE_JITTER_S = 0.2
RECOVERY_S = 8.0
JITTERS_S = (0.0, 0.1, 0.2, 0.4)
PROCESS_START_S = (0.3, 1.0)  # range of the time from a machine's start to its process's start
LOSSES = 8
ORDER_TIMEOUT_S = 2.5  # timeout of an order after recovery


class NotRecoveredError(AssertionError):
    """The cluster did not recover within `RECOVERY_S` after the last failure."""


class VoterFaultSearch:
    """One run with a random sequence of failures."""

    def __init__(self, seed: int, names: str, spares: str, tolerated: int) -> None:
        self.random_source = random.Random(f"voter hunt {seed}")
        self.cluster = ControllerCluster(names, seed=seed, tolerated=tolerated)
        self.spares = spares
        self.history: list[str] = []
        self._replacements = 0

    async def run(self) -> OrderTraffic:
        """Inject all failures and check the recovery; return the orders sent meanwhile.

        Raise `NotRecoveredError` or another `AssertionError` if a guarantee is violated.
        """
        cluster, loop = self.cluster, asyncio.get_running_loop()
        await cluster.bootstrap_all()
        for name in self.spares:
            await cluster.add(name).start()
        cluster.network.slowest_s = self.random_source.choice(JITTERS_S)
        traffic = OrderTraffic(cluster, self.random_source)
        orders = loop.create_task(traffic.run())
        distance = SLOW_CATCH_UP_S if cluster.network.slowest_s > EDGE_JITTER_S else CATCH_UP_S
        await self._wait(distance)
        for _ in range(LOSSES):
            await self._lose_one()
            await self._wait(distance)
        await self._wait(RECOVERY_S - CATCH_UP_S)
        traffic.stop()
        await orders
        await self._check_healed(traffic)
        return traffic

    # -- failures --------------------------------------------------------------------------------------

    async def _lose_one(self) -> None:
        """Inject one failure; return after the failed machine or its replacement has started."""
        kinds: list[Callable[[ControllerNode], Coroutine[None, None, None]]] = [
            self._kill,
            self._wipe,
            self._cut,
            self._stall_disk,
            self._stop,
            self._replace,
            self._replace_after_notice,
            self._replace_by_one_there_before,
        ]
        if self.random_source.random() < 0.1:
            await self._kill_all()
            return
        node = self.cluster[self.random_source.choice(sorted(self.cluster.nodes))]
        kind = self.random_source.choice(kinds)
        self.history.append(f"{asyncio.get_running_loop().time():.1f} {kind.__name__} {node.name}")
        await kind(node)

    async def _kill(self, node: ControllerNode) -> None:
        await node.kill()
        await self._wait(self.random_source.uniform(0.1, 4.0))
        await self._start(node)

    async def _wipe(self, node: ControllerNode) -> None:
        await node.kill()
        node.wipe()
        await self._wait(self.random_source.uniform(0.1, 2.0))
        await self._start(node)

    async def _cut(self, node: ControllerNode) -> None:
        self.cluster.isolate(node.name)
        await self._wait(self.random_source.uniform(0.2, 6.0))
        self.cluster.join_all()

    async def _stall_disk(self, node: ControllerNode) -> None:
        node.files[STALLED] = b"yes"
        await self._wait(self.random_source.uniform(0.2, 6.0))
        del node.files[STALLED]

    async def _stop(self, node: ControllerNode) -> None:
        await node.stop()
        await self._wait(self.random_source.uniform(0.1, 2.0))
        await self._start(node)

    async def _replace(self, node: ControllerNode) -> None:
        """Remove a machine without notice, then start an empty one with another name and address."""
        await node.kill()
        self._remove(node)
        await self._wait(self.random_source.uniform(0.0, 1.0))
        await self._start(self._new_machine(node))

    async def _replace_after_notice(self, node: ControllerNode) -> None:
        """Stop a machine gracefully, remove it and start an empty one."""
        await node.stop()
        self._remove(node)
        await self._start(self._new_machine(node))

    async def _replace_by_one_there_before(self, node: ControllerNode) -> None:
        """Start an empty machine first, and remove the old one soon after."""
        await self._start(self._new_machine(node))
        await self._wait(self.random_source.uniform(0.0, 3.0))
        await node.kill()
        self._remove(node)

    async def _kill_all(self) -> None:
        self.history.append(f"{asyncio.get_running_loop().time():.1f} all killed")
        nodes = list(self.cluster.nodes.values())
        for node in nodes:
            await node.kill()
        for node in self.random_source.sample(nodes, len(nodes)):
            await self._wait(self.random_source.uniform(0.0, 0.3))
            await node.start()

    def _remove(self, node: ControllerNode) -> None:
        """Remove a machine for good, and choose the seeds of later starts from the remaining machines."""
        self.cluster.remove(node.name)
        left = sorted(self.cluster.nodes)
        self.cluster.use_seeds(self.random_source.sample(left, min(3, len(left))))

    def _new_machine(self, old: ControllerNode) -> ControllerNode:
        self._replacements += 1
        return self.cluster.add(f"{old.name[0]}{self._replacements}", zone=old.zone)

    async def _start(self, node: ControllerNode) -> None:
        await self._wait(self.random_source.uniform(*PROCESS_START_S))
        await node.start()

    async def _wait(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    # -- checks after the last failure -----------------------------------------------------------------

    async def _check_healed(self, traffic: OrderTraffic) -> None:
        nodes = list(self.cluster.nodes.values())
        views = [node.running.view for node in nodes]
        newest = max((view for view in views if view is not None), key=lambda view: view.epoch)
        jitter = self.cluster.network.slowest_s
        names = [voter.name for voter in newest.voters]
        details = f"{self.history}; jitter {jitter} s; epoch {newest.epoch}: {names} {newest.chain}"
        try:
            await traffic.put_newest(ORDER_TIMEOUT_S)
        except AssertionError as error:
            raise NotRecoveredError(f"no order is acknowledged: {error}; {details}") from error
        await asyncio.sleep(1.0)
        state = next((node.running.state for node in nodes if node.running.is_head), None)
        if state is None:
            raise NotRecoveredError(f"no controller is the head; {details}")
        for node in nodes:
            view = node.running.view
            if view is None or view.epoch != newest.epoch:
                raise NotRecoveredError(f"{node.name} has epoch {view and view.epoch}; {details}")
            if node.name in newest.chain and node.running.state != state:
                raise NotRecoveredError(f"{node.name} lacks the newest state; {details}")
        self._check_voters(newest.chain, {voter.name for voter in newest.voters}, details)

    def _check_voters(self, chain: list[str], voters: set[str], details: str) -> None:
        wanted = min(2 * self.cluster.tolerated + 1, len(self.cluster.nodes))
        if len(voters) != wanted or voters - self.cluster.nodes.keys():
            raise NotRecoveredError(f"the voters are {sorted(voters)}; {details}")
        if set(chain) != voters:
            raise NotRecoveredError(f"the chain is {chain}; {details}")


def run_search(seed: int) -> OrderTraffic:
    """Run one seed: five controllers in one of six seeds, else three, with a spare in one of three seeds."""
    names, tolerated = ("abcde", 2) if seed % 6 == 5 else ("abc", 1)
    search = VoterFaultSearch(seed, names, "s" if seed % 3 == 1 else "", tolerated)
    return run_virtual(search.run())


@click.command()
@click.option("--first", default=0)
@click.option("--seeds", default=200)
def main(first: int, seeds: int) -> None:
    """Run many seeds and print those that fail."""
    failed = orders = 0
    for seed in range(first, first + seeds):
        try:
            orders += len(run_search(seed).acknowledged)
        except AssertionError as error:
            failed += 1
            click.echo(f"seed {seed}: {type(error).__name__}: {error}")
    click.echo(f"{failed} of {seeds} seeds failed; {orders} orders acknowledged in the others")


if __name__ == "__main__":
    main()
