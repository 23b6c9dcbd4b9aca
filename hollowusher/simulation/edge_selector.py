"""How clients and workers come to edge machines: readiness as the platform sees it, and the choice of one."""

from __future__ import annotations

import asyncio
import random

from hollowusher.simulation.addresses import FRONTEND_PORT, READINESS_PORT
from hollowusher.simulation.clients import EdgeAddress
from hollowusher.simulation.cluster import SimulatedCluster
from hollowusher.simulation.deployment import CLIENT_HOST
from hollowusher.simulation.http_network import HttpExchangeError, HttpRequest
from hollowusher.simulation.machine import SimulatedMachine
from hollowusher.simulation.observations import ObservedGeneration

SAMPLE_INTERVAL_S = 0.25
READINESS_INTERVAL_S = 1.0
MAX_FAILED_CHECKS = 2
PREFERRED_PROBABILITY = 0.5


class EdgeSelector:
    """The platform's choice of edge machines, and which configuration each of them works with."""

    def __init__(self, cluster: SimulatedCluster, random_source: random.Random) -> None:
        self.cluster = cluster
        self.preferred_machine = ""  # workers come to this machine before others
        self._random_source = random_source

    def choose_edge(self) -> EdgeAddress:
        """Choose an edge machine that counts as ready, any one if none does."""
        edges = self.cluster.machines_with_role("edge")
        ready = [machine for machine in edges if machine.failed_readiness_checks < MAX_FAILED_CHECKS]
        machine = self._random_source.choice(ready or edges)
        return EdgeAddress(machine.name, f"{machine.ip}:{FRONTEND_PORT}", machine.incarnation)

    def pull_address(self) -> str:
        """Where a pull worker's next call goes."""
        preferred = self.cluster.machines.get(self.preferred_machine)
        if preferred is not None and self._random_source.random() < PREFERRED_PROBABILITY:
            return f"{preferred.ip}:{FRONTEND_PORT}"
        return self.choose_edge().frontend

    async def check_readiness(self) -> None:
        """Ask every edge machine each second whether it is ready."""
        while True:
            await asyncio.sleep(READINESS_INTERVAL_S)
            for machine in self.cluster.machines_with_role("edge"):
                asyncio.get_running_loop().create_task(self._ask(machine))

    async def _ask(self, machine: SimulatedMachine) -> None:
        address = f"{machine.ip}:{READINESS_PORT}"
        try:
            answer = await self.cluster.http.exchange(
                CLIENT_HOST, address, HttpRequest("GET", "/readyz"), 0.9
            )
            ready = answer.status == 200
        except HttpExchangeError:
            ready = False
        machine.failed_readiness_checks = 0 if ready else machine.failed_readiness_checks + 1

    async def sample_generations(self) -> None:
        """Note again and again which configuration each ready machine works with."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            for machine in self.cluster.machines_with_role("edge"):
                if machine.running and not machine.frozen and machine.failed_readiness_checks == 0:
                    self._note(machine)

    def record_response(self, edge: EdgeAddress) -> None:
        """Record which configuration a machine works with that has answered a client."""
        machine = self.cluster.machines.get(edge.name)
        if machine is not None and machine.incarnation == edge.incarnation and machine.running:
            self._note(machine)

    def _note(self, machine: SimulatedMachine) -> None:
        assert machine.program is not None
        noted = ObservedGeneration(
            machine.name,
            machine.incarnation,
            machine.program.configuration_generation(),
            self.cluster.loop.time(),
        )
        self.cluster.observations.generations.append(noted)
