"""Injects random faults, or those of a script.

Of the machines that count, no more than `faultTolerance` are lost at a time, and the next loss may come the
moment that the deployment bears it.  All of them may be killed or lose power at once.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from hollowusher.simulation.cluster import SimulatedCluster
from hollowusher.simulation.faults import (
    disks,
    links,
    machines,
    orders,
    power,
    processes,
    quota,
    workers,
)
from hollowusher.simulation.faults.context import (
    FAULT_KINDS,
    FaultContext,
    FaultKind,
    FaultRequest,
    OperatorActions,
    WorkerActions,
)
from hollowusher.simulation.faults.script import ScriptedFault
from hollowusher.simulation.machine import SimulatedMachine

MODULES = (processes, power, disks, links, machines, orders, quota, workers)  # they register their kinds
AT_THE_EDGE_SHARE = 0.5  # so often the next loss comes at the first moment allowed


class FaultInjector:
    """Injects faults one after the other on the counted machines, and others beside them."""

    def __init__(
        self,
        cluster: SimulatedCluster,
        random_source: random.Random,
        kinds: tuple[str, ...] | None = None,
        operator: OperatorActions | None = None,
        workers: WorkerActions | None = None,
    ) -> None:
        self.cluster = cluster
        self.random_source = random_source
        self.context = FaultContext(cluster, random_source, operator, workers)
        self.fault_kinds = self._chosen(kinds)

    @staticmethod
    def _chosen(names: tuple[str, ...] | None) -> list[FaultKind]:
        unknown = sorted(set(names or ()) - set(FAULT_KINDS))
        if unknown:
            raise ValueError(f"no fault is called {unknown[0]}")
        return [kind for kind in FAULT_KINDS.values() if names is None or kind.name in names]

    @property
    def fault_log(self) -> list[str]:
        """What was played, with its time."""
        return self.context.fault_log

    async def inject_on_counted(self, until: float) -> None:
        """Faults of the machines whose loss is limited."""
        while self.fault_kinds:
            await self.context.wait_until_allowed()
            if self.random_source.random() >= AT_THE_EDGE_SHARE:
                await asyncio.sleep(self.random_source.uniform(0.0, 4.0))
            if self.cluster.loop.time() >= until:
                return
            kind = self.random_source.choices(self.fault_kinds, [kind.weight for kind in self.fault_kinds])[0]
            await kind.play(self.context, FaultRequest(kind.name))
            await asyncio.sleep(0)

    async def inject_on_plain_edges(self, until: float) -> None:
        """Faults of edge machines without a disk."""
        while True:
            await asyncio.sleep(self.random_source.uniform(3.0, 12.0))
            plain = [
                machine
                for machine in self.cluster.machines_with_role("edge")
                if not machine.counts_for_quorum
            ]
            if self.cluster.loop.time() >= until or not plain:
                return
            machine = self.random_source.choice(plain)
            play = self.random_source.choice((processes.kill, processes.freeze, links.cut, processes.stop))
            await play(self.context, FaultRequest("plain", machine.name))

    async def play_script(self, faults: Sequence[ScriptedFault]) -> None:
        """Play the faults of a script, each at its time, or as soon as the deployment bears it."""
        begun = self.cluster.loop.time()
        playing: list[asyncio.Future[None]] = []
        for each in sorted(faults, key=lambda entry: entry.at):
            await asyncio.sleep(max(0.0, begun + each.at - self.cluster.loop.time()))
            if not each.beside:
                await asyncio.gather(*playing)
                playing.clear()
                await self.context.wait_until_allowed()
            playing.append(
                asyncio.ensure_future(FAULT_KINDS[each.request.kind].play(self.context, each.request))
            )
        await asyncio.gather(*playing)

    async def final_fault(self) -> None:
        """All machines that count are killed or lose power, or one of them its disk."""
        kind = self.random_source.choice(("herd_kill", "herd_power", "herd_disk", "dark"))
        await FAULT_KINDS[kind].play(self.context, FaultRequest(kind))

    def restore(self) -> None:
        """All machines run, nothing is cut, frozen, slow or full."""
        network = self.cluster.network
        network.heal_all()
        network.reset_probability = 0.0
        network.delays.slow_probability = 0.0
        network.added_delay_s.clear()
        for machine in self.cluster.machines.values():
            self._repair(machine)
        for fault in self.cluster.observations.faults:
            if fault.ended_at is None:
                fault.ended_at = self.cluster.loop.time()

    def _repair(self, machine: SimulatedMachine) -> None:
        if machine.disk is not None:
            machine.disk.fail("")
            machine.disk.set_sync_time(self.cluster.size.sync_s)
        self.cluster.thaw(machine)
        self.cluster.start(machine)
