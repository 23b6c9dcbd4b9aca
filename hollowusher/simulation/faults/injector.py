"""Plays troubles by lot, or those of a script.

Of the machines that count, no more than `faultTolerance` are lost at a time, and the next loss may come the
moment that the deployment bears it.  All of them may be killed or lose power at once.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from hollowusher.simulation.faults import disks, links, machines, orders, power, processes, workers
from hollowusher.simulation.faults.script import ScriptedTrouble
from hollowusher.simulation.faults.stage import (
    KINDS,
    Kind,
    OperatorActions,
    Stage,
    Wanted,
    WorkerActions,
)
from hollowusher.simulation.world import Machine, World

MODULES = (processes, power, disks, links, machines, orders, workers)  # they register their kinds
AT_THE_EDGE_SHARE = 0.5  # so often the next loss comes at the first moment allowed


class Troublemaker:
    """Plays troubles one after the other on the machines that count, and others beside them."""

    def __init__(
        self,
        world: World,
        chance: random.Random,
        kinds: tuple[str, ...] | None = None,
        operator: OperatorActions | None = None,
        workers: WorkerActions | None = None,
    ) -> None:
        self.world = world
        self.chance = chance
        self.stage = Stage(world, chance, operator, workers)
        self.kinds = self._chosen(kinds)

    @staticmethod
    def _chosen(names: tuple[str, ...] | None) -> list[Kind]:
        unknown = sorted(set(names or ()) - set(KINDS))
        if unknown:
            raise ValueError(f"no trouble is called {unknown[0]}")
        return [kind for kind in KINDS.values() if names is None or kind.name in names]

    @property
    def played(self) -> list[str]:
        """What was played, with its time."""
        return self.stage.played

    async def play_counting(self, until: float) -> None:
        """Troubles of the machines whose loss is limited."""
        while self.kinds:
            await self.stage.wait_until_allowed()
            if self.chance.random() >= AT_THE_EDGE_SHARE:
                await asyncio.sleep(self.chance.uniform(0.0, 4.0))
            if self.world.loop.time() >= until:
                return
            kind = self.chance.choices(self.kinds, [kind.weight for kind in self.kinds])[0]
            await kind.play(self.stage, Wanted(kind.name))
            await asyncio.sleep(0)

    async def play_plain_edges(self, until: float) -> None:
        """Troubles of edge machines without a disk."""
        while True:
            await asyncio.sleep(self.chance.uniform(3.0, 12.0))
            plain = [machine for machine in self.world.of("edge") if not machine.counts]
            if self.world.loop.time() >= until or not plain:
                return
            machine = self.chance.choice(plain)
            play = self.chance.choice((processes.kill, processes.freeze, links.cut, processes.stop))
            await play(self.stage, Wanted("plain", machine.name))

    async def play_script(self, troubles: Sequence[ScriptedTrouble]) -> None:
        """The troubles of a script, each at its time, or as soon as the deployment bears it."""
        begun = self.world.loop.time()
        playing: list[asyncio.Future[None]] = []
        for each in sorted(troubles, key=lambda entry: entry.at):
            await asyncio.sleep(max(0.0, begun + each.at - self.world.loop.time()))
            if not each.beside:
                await asyncio.gather(*playing)
                playing.clear()
                await self.stage.wait_until_allowed()
            playing.append(asyncio.ensure_future(KINDS[each.wanted.kind].play(self.stage, each.wanted)))
        await asyncio.gather(*playing)

    async def final_fault(self) -> None:
        """All machines that count are killed or lose power, or one of them its disk."""
        kind = self.chance.choice(("herd_kill", "herd_power", "herd_disk", "dark"))
        await KINDS[kind].play(self.stage, Wanted(kind))

    def restore(self) -> None:
        """All machines run, nothing is cut, frozen, slow or full."""
        network = self.world.network
        network.join_all()
        network.reset_share = 0.0
        network.delays.slow_share = 0.0
        network.slow_hosts.clear()
        for machine in self.world.machines.values():
            self._repair(machine)
        for trouble in self.world.seen.troubles:
            if trouble.ended_at is None:
                trouble.ended_at = self.world.loop.time()

    def _repair(self, machine: Machine) -> None:
        if machine.disk is not None:
            machine.disk.fail("")
            machine.disk.set_sync_time(self.world.size.sync_s)
        self.world.thaw(machine)
        self.world.start(machine)
