"""What the operators do in a day: changes, races, reads, invalid orders, emptying of stores."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from hollowusher.simulation.deployment import OPERATOR_HOST, OTHER, first_configuration, route_rules
from hollowusher.simulation.entry import Entry
from hollowusher.simulation.observations import ConfigurationOrder
from hollowusher.simulation.operators import ChangePlan, Operator, patch_request, put_request
from hollowusher.simulation.plain_model import RouteRules
from hollowusher.simulation.world import World

MOST_SETUP_S = 20.0
GIVE_UP_S = 25.0
READ_BACK_S = 10.0
INVALID_S = 6.0
AGAIN_S = 3.0
SECOND_ORDER_SHARE = 0.4


class Changes:
    """The operators with what they know of the newest configuration."""

    def __init__(self, world: World, entry: Entry, rules: dict[str, RouteRules]) -> None:
        self.world = world
        self.rules = rules
        self.document = first_configuration()
        self.operator = Operator(
            world.http, world.seen, world.random("operator"), OPERATOR_HOST, self._admins
        )
        self._entry = entry
        self._newest = 0  # the newest generation known to the operators
        self._chance = world.random("changes")
        self._plan = ChangePlan(self._chance, self.document, OTHER)

    def _now(self) -> float:
        return self.world.loop.time()

    def _admins(self) -> list[str]:
        return [machine.admin for machine in self.world.of("edge")]

    async def first(self) -> bool:
        """Send the first configuration until it is taken."""
        order = self._order(self.document)
        taken = await self.operator.send(order, put_request(order), self._now() + MOST_SETUP_S)
        self._take(order)
        return taken is True

    def _order(self, document: dict[str, Any]) -> ConfigurationOrder:
        self.rules.update(route_rules(document))
        return self.operator.order(self._newest, document)

    def _take(self, order: ConfigurationOrder) -> None:
        if order.generation > self._newest:
            self.document, self._newest = order.document, order.generation

    async def play(self, until: float) -> None:
        """Changes at random times."""
        chance = self._chance
        while True:
            await asyncio.sleep(chance.uniform(0.5, 5.0))
            if self._now() >= until:
                return
            drawn = chance.random()
            if drawn < 0.15:
                await self._send_invalid()
            elif drawn < 0.3:
                await self.operator.read(self._now() + AGAIN_S)
            elif drawn < 0.5:
                await self.race()
            else:
                await self._change_and_repeat(chance)

    async def read_often(self, until: float) -> None:
        """Read the configuration again and again."""
        chance = self.world.random("reads")
        while self._now() < until:
            await asyncio.sleep(chance.uniform(0.2, 1.5))
            await self.operator.read(self._now() + AGAIN_S)

    async def change(self, first: str = "") -> None:
        """Send a change, to the admin address `first` before others."""
        await self.send_change(self._now() + GIVE_UP_S, first)

    async def send_change(self, give_up_at: float, first: str = "") -> bool:
        """Send a change; whether it was acknowledged."""
        patch, order = self._next()
        taken = await self.operator.send(order, patch_request(order, patch), give_up_at, first)
        if taken:
            self._take(order)
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

    async def _change_and_repeat(self, chance: random.Random) -> None:
        patch, order = self._next()
        request = patch_request(order, patch) if chance.random() < 0.7 else put_request(order)
        if not await self.operator.send(order, request, self._now() + GIVE_UP_S):
            await self._read_back()
            return
        self._take(order)
        if chance.random() < SECOND_ORDER_SHARE:
            await asyncio.sleep(chance.uniform(0.0, 2.0))
            await self.operator.send(order, request, self._now() + AGAIN_S)

    async def race(self, first: str = "", second: str = "") -> None:
        """Send two changes on one version at once."""
        made = [self._next(), self._next()]
        taken = await asyncio.gather(
            *(
                self.operator.send(order, patch_request(order, patch), self._now() + GIVE_UP_S, address)
                for (patch, order), address in zip(made, (first, second), strict=True)
            )
        )
        winners = [order for (_, order), won in zip(made, taken, strict=True) if won]
        if winners:
            self._take(winners[0])
        else:
            await self._read_back()

    async def _send_invalid(self) -> None:
        self._plan.base = self.document
        invalid = self._plan.invalid(self._newest)
        order = self.operator.order(self._newest, invalid, valid=False)
        await self.operator.send(order, put_request(order), self._now() + INVALID_S)

    async def _read_back(self) -> None:
        document = await self.operator.read(self._now() + READ_BACK_S)
        if document is not None and document["generation"] >= self._newest:
            self.document, self._newest = document, document["generation"]

    # ---- what troubles have the operators do

    def lose_answers(self, share: float) -> None:
        """From now on lose this share of the answers; an order goes to another machine then."""
        self.operator.lost_answers = share

    async def retire(self, name: str, duration_s: float) -> bool:
        """Have a store emptied; whether that was completed in time."""
        give_up_at = self._now() + 2 * duration_s
        return await self.operator.empty(name, duration_s, give_up_at)

    def lure(self, name: str) -> None:
        """Have workers come to this machine before others; empty: to any."""
        self._entry.lured_to = name
