"""What the operators do in a day: changes, races, reads, invalid orders, emptying of stores."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from hollowusher.simulation.cluster import SimulatedCluster
from hollowusher.simulation.deployment import OPERATOR_HOST, OTHER, first_configuration, route_rules
from hollowusher.simulation.edge_selector import EdgeSelector
from hollowusher.simulation.observations import ConfigurationOrder
from hollowusher.simulation.operator import ChangeGenerator, SimulatedOperator, patch_request, put_request
from hollowusher.simulation.reference_model import RouteRules
from hollowusher.simulation.route_moves import RouteMoves

SETUP_TIMEOUT_S = 20.0
CHANGE_TIMEOUT_S = 25.0
READ_BACK_TIMEOUT_S = 10.0
INVALID_ORDER_TIMEOUT_S = 6.0
REPEAT_TIMEOUT_S = 3.0
SECOND_ORDER_SHARE = 0.4


class OperatorChanges:
    """The operators with what they know of the newest configuration."""

    def __init__(
        self,
        cluster: SimulatedCluster,
        edge_selector: EdgeSelector,
        rules: dict[str, RouteRules],
        *,
        moves_routes: bool = False,
    ) -> None:
        self.cluster = cluster
        self.rules = rules
        self.document = first_configuration()
        self.operator = SimulatedOperator(
            cluster.http, cluster.observations, cluster.random("operator"), OPERATOR_HOST, self._admins
        )
        self._edge_selector = edge_selector
        self._newest = 0  # the newest generation known to the operators
        self._random_source = cluster.random("changes")
        moves = RouteMoves(cluster.random("route moves")) if moves_routes else None
        self._plan = ChangeGenerator(self._random_source, self.document, OTHER, moves)

    def _now(self) -> float:
        return self.cluster.loop.time()

    def _admins(self) -> list[str]:
        return [machine.admin_address for machine in self.cluster.machines_with_role("edge")]

    async def send_first_configuration(self) -> bool:
        """Send the first configuration until it is taken."""
        order = self._order(self.document)
        taken = await self.operator.send(order, put_request(order), self._now() + SETUP_TIMEOUT_S)
        self._adopt(order)
        return taken is True

    def _order(self, document: dict[str, Any]) -> ConfigurationOrder:
        self.rules.update(route_rules(document))
        return self.operator.order(self._newest, document)

    def _adopt(self, order: ConfigurationOrder) -> None:
        if order.generation > self._newest:
            self.document, self._newest = order.document, order.generation

    async def play(self, until: float) -> None:
        """Send changes at random times."""
        random_source = self._random_source
        while True:
            await asyncio.sleep(random_source.uniform(0.5, 5.0))
            if self._now() >= until:
                return
            drawn = random_source.random()
            if drawn < 0.15:
                await self._send_invalid()
            elif drawn < 0.3:
                await self.operator.read(self._now() + REPEAT_TIMEOUT_S)
            elif drawn < 0.5:
                await self.race()
            else:
                await self._change_and_repeat(random_source)

    async def read_often(self, until: float) -> None:
        """Read the configuration again and again."""
        random_source = self.cluster.random("reads")
        while self._now() < until:
            await asyncio.sleep(random_source.uniform(0.2, 1.5))
            await self.operator.read(self._now() + REPEAT_TIMEOUT_S)

    async def change(self, first: str = "") -> None:
        """Send a change, to the admin address `send_first_configuration` before others."""
        await self.send_change(self._now() + CHANGE_TIMEOUT_S, first)

    async def send_change(self, give_up_at: float, first: str = "") -> bool:
        """Send a change; whether it was acknowledged."""
        patch, order = self._next()
        taken = await self.operator.send(order, patch_request(order, patch), give_up_at, first)
        if taken:
            self._adopt(order)
        else:
            await self._read_back()
        return taken is True

    def _next(self) -> tuple[dict[str, Any], ConfigurationOrder]:
        self._plan.base = self.document
        patch, document = self._plan.next_patch(self._newest)
        return patch, self._order(document)

    async def change_often(self, count: int) -> None:
        """Send so many changes one after the other."""
        for _ in range(count):
            await self.change()

    async def _change_and_repeat(self, random_source: random.Random) -> None:
        patch, order = self._next()
        request = patch_request(order, patch) if random_source.random() < 0.7 else put_request(order)
        if not await self.operator.send(order, request, self._now() + CHANGE_TIMEOUT_S):
            await self._read_back()
            return
        self._adopt(order)
        if random_source.random() < SECOND_ORDER_SHARE:
            await asyncio.sleep(random_source.uniform(0.0, 2.0))
            await self.operator.send(order, request, self._now() + REPEAT_TIMEOUT_S)

    async def race(self, first: str = "", second: str = "") -> None:
        """Send two changes on one version at once."""
        made = [self._next(), self._next()]
        taken = await asyncio.gather(
            *(
                self.operator.send(
                    order, patch_request(order, patch), self._now() + CHANGE_TIMEOUT_S, address
                )
                for (patch, order), address in zip(made, (first, second), strict=True)
            )
        )
        winners = [order for (_, order), won in zip(made, taken, strict=True) if won]
        if winners:
            self._adopt(winners[0])
        else:
            await self._read_back()

    async def _send_invalid(self) -> None:
        self._plan.base = self.document
        invalid = self._plan.invalid(self._newest)
        order = self.operator.order(self._newest, invalid, valid=False)
        await self.operator.send(order, put_request(order), self._now() + INVALID_ORDER_TIMEOUT_S)

    async def _read_back(self) -> None:
        document = await self.operator.read(self._now() + READ_BACK_TIMEOUT_S)
        if document is not None and document["generation"] >= self._newest:
            self.document, self._newest = document, document["generation"]

    # ---- what faults have the operators do

    def lose_answers(self, share: float) -> None:
        """From now on lose this share of the answers; an order goes to another machine then."""
        self.operator.lost_answer_probability = share

    async def retire(self, name: str, duration_s: float) -> bool:
        """Have a store emptied; whether that was completed in time."""
        give_up_at = self._now() + 2 * duration_s
        return await self.operator.retire_store(name, duration_s, give_up_at)

    def prefer_machine(self, name: str) -> None:
        """Have workers come to this machine before others; empty: to any."""
        self._edge_selector.preferred_machine = name
