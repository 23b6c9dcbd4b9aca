"""How clients and workers come to edge machines: readiness as the platform sees it, and the choice of one."""

from __future__ import annotations

import asyncio
import random

from hollowusher.simulation.clients import EdgeAddress
from hollowusher.simulation.deployment import CLIENT_HOST
from hollowusher.simulation.http import HttpFailure, HttpRequest
from hollowusher.simulation.observations import GenerationSeen
from hollowusher.simulation.world import FRONTEND_PORT, READINESS_PORT, Machine, World

SAMPLE_S = 0.25
ASK_S = 1.0
MISSES_ALLOWED = 2
LURED_SHARE = 0.5


class Entry:
    """The platform's choice of edge machines, and which configuration each of them works with."""

    def __init__(self, world: World, chance: random.Random) -> None:
        self.world = world
        self.lured_to = ""  # workers come to this machine before others
        self._chance = chance

    def choose(self) -> EdgeAddress:
        """An edge machine that counts as ready, any of them where none does."""
        edges = self.world.of("edge")
        ready = [machine for machine in edges if machine.readiness_misses < MISSES_ALLOWED]
        machine = self._chance.choice(ready or edges)
        return EdgeAddress(machine.name, f"{machine.ip}:{FRONTEND_PORT}", machine.life)

    def pull_address(self) -> str:
        """Where a pull worker's next call goes."""
        lured = self.world.machines.get(self.lured_to)
        if lured is not None and self._chance.random() < LURED_SHARE:
            return f"{lured.ip}:{FRONTEND_PORT}"
        return self.choose().frontend

    async def watch_readiness(self) -> None:
        """Ask every edge machine each second whether it is ready."""
        while True:
            await asyncio.sleep(ASK_S)
            for machine in self.world.of("edge"):
                asyncio.get_running_loop().create_task(self._ask(machine))

    async def _ask(self, machine: Machine) -> None:
        address = f"{machine.ip}:{READINESS_PORT}"
        try:
            answer = await self.world.http.exchange(CLIENT_HOST, address, HttpRequest("GET", "/readyz"), 0.9)
            ready = answer.status == 200
        except HttpFailure:
            ready = False
        machine.readiness_misses = 0 if ready else machine.readiness_misses + 1

    async def sample_generations(self) -> None:
        """Note again and again which configuration each ready machine works with."""
        while True:
            await asyncio.sleep(SAMPLE_S)
            for machine in self.world.of("edge"):
                if machine.running and not machine.frozen and machine.readiness_misses == 0:
                    self._note(machine)

    def note_answer(self, edge: EdgeAddress, sent_at: float) -> None:
        """A machine has answered a client."""
        machine = self.world.machines.get(edge.name)
        if machine is not None and machine.life == edge.life and machine.running:
            self._note(machine)

    def _note(self, machine: Machine) -> None:
        assert machine.program is not None
        noted = GenerationSeen(
            machine.name, machine.life, machine.program.generation(), self.world.loop.time()
        )
        self.world.seen.generations.append(noted)
