"""A plain, slow model of the orders, and operators whose dealings with a cluster are compared with it.

The model is a list of the orders taken, one after the other.  What the cluster holds at the end has to be
such a list, and each answer and each read that an operator got has to fit it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any

import attrs
import orjson

from hollowusher.configuration.orders import read_order
from hollowusher.coordination.controller.controller import Controller
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.operator_orders import ChangeConfiguration, OperatorResponse, ReadConfiguration
from tests.support.controller_cluster import ControllerCluster, document

CALL_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 12.0
PAUSE_S = 0.1


@attrs.define(eq=False)
class SentOrder:
    """One order, and what its callers were told."""

    method: str
    if_match: int
    body: bytes
    acknowledged_at: float | None = None
    refusals: list[OperatorResponse] = attrs.Factory(list)

    @property
    def digest(self) -> bytes:
        """What the order is known by in the history."""
        return read_order(self.method, self.if_match, self.body).ok.digest

    @property
    def content(self) -> dict[str, Any]:
        """What it asks for."""
        content: dict[str, Any] = orjson.loads(self.body)
        return content

    @property
    def generation(self) -> int:
        """The number that it gives to its version."""
        return int(self.content["generation"])


@attrs.frozen
class ObservedRead:
    """One answer to `GET /config`."""

    started_at: float
    generation: int


class OrderHistoryModel:
    """The orders taken, as a list; the document is made anew from all of them."""

    def __init__(self) -> None:
        self.applied: list[SentOrder] = []

    @property
    def generation(self) -> int:
        """The version in force."""
        return self.applied[-1].generation if self.applied else 0

    def apply(self, order: SentOrder) -> None:
        """The order has been taken: it must build on the version in force."""
        assert order.if_match == self.generation, (order, self.generation)
        assert order.generation > self.generation
        self.applied.append(order)

    def document(self) -> dict[str, Any]:
        """The configuration in force."""
        made: dict[str, Any] = {}
        for order in self.applied:
            if order.method == "PUT":
                made = order.content
                continue
            altered = {route["name"]: route for route in order.content["upsert"]["routes"]}
            routes = [altered.pop(route["name"], route) for route in made["routes"]]
            made = {**made, "generation": order.generation, "routes": [*routes, *altered.values()]}
        return made


class RandomOperators:
    """Several operators at work on one cluster."""

    def __init__(
        self, cluster: ControllerCluster, random_source: random.Random, sizes: Sequence[int] = (0,)
    ) -> None:
        self.cluster = cluster
        self.random_source = random_source
        self.sizes = sizes  # what the documents are made longer by
        self.orders: list[SentOrder] = []
        self.reads: list[ObservedRead] = []
        self.is_running = True
        self._last_number = 0

    # -- single calls ----------------------------------------------------------------------------------

    def controllers(self) -> list[Controller]:
        """Those that run now."""
        return [node.controller for node in self.cluster.nodes.values() if node.controller is not None]

    async def request_any(self, message: Any) -> OperatorResponse | None:
        """Ask any controller; None where no answer came in time.  The call goes on all the same."""
        running = [node for node in self.cluster.nodes.values() if node.controller is not None]
        if not running:
            return None
        task = self.random_source.choice(running).ask(message)
        await asyncio.wait({task}, timeout=CALL_TIMEOUT_S * self.random_source.choice((0.05, 1.0, 3.0)))
        if not task.done() or task.cancelled():
            return None
        answer = task.result()
        assert isinstance(answer, OperatorResponse)
        return answer

    async def send(self, order: SentOrder) -> bool:
        """Send an order once; whether the answer was clear."""
        message = ChangeConfiguration(order.method, order.if_match, order.body)
        answer = await self.request_any(message)
        if answer is None or answer.status == 503:
            return False
        if answer.status == 200:
            assert orjson.loads(answer.body)["generation"] == order.generation
            if order.acknowledged_at is None:
                order.acknowledged_at = asyncio.get_running_loop().time()
        else:
            order.refusals.append(answer)
        return True

    async def read(self) -> int | None:
        """The version in force, None where nobody could say."""
        started_at = asyncio.get_running_loop().time()
        answer = await self.request_any(ReadConfiguration())
        if answer is None or answer.status not in (200, 404):
            return None
        generation = orjson.loads(answer.body)["generation"] if answer.status == 200 else 0
        self.reads.append(ObservedRead(started_at, generation))
        return int(generation)

    # -- an operator -----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Read the version in force, send a change of it until the answer is clear, and so on."""
        while self.is_running:
            base = await self.read()
            if base is not None:
                await self._send_until_clear(self._new_order(base))
                await self._send_an_old_one_again()
            await asyncio.sleep(self.random_source.uniform(0.0, PAUSE_S))

    def _new_order(self, base: int) -> SentOrder:
        self._last_number += 1
        generation = base + self.random_source.choice((1, 1, 2))
        content = document(generation)
        content["routes"][0]["comment"] = f"{self._last_number} " + "x" * self.random_source.choice(
            self.sizes
        )
        method = "PUT"
        if base and self.random_source.random() < 0.4:
            method = "PATCH"
            route = {
                **content["routes"][0],
                "name": f"r{self._last_number}",
                "pathPrefix": f"/{self._last_number}/",
            }
            content = {"generation": generation, "upsert": {"routes": [route]}}
        order = SentOrder(method, base, orjson.dumps(content))
        self.orders.append(order)
        return order

    async def _send_until_clear(self, order: SentOrder) -> None:
        started = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started < ORDER_TIMEOUT_S:
            copies = self.random_source.choice((1, 1, 2, 3))  # the same order at once, at several controllers
            if any(await asyncio.gather(*(self.send(order) for _ in range(copies)))):
                return
            await asyncio.sleep(self.random_source.uniform(0.0, PAUSE_S))

    async def _send_an_old_one_again(self) -> None:
        """Send an order again that was acknowledged at some time, or that nobody knows more about."""
        if self.orders and self.random_source.random() < 0.3:
            await self.send(self.random_source.choice(self.orders[-30:]))

    # -- the comparison --------------------------------------------------------------------------------

    def check(self, state: ControlState) -> OrderHistoryModel:
        """Compare all that was answered with the state at the end."""
        by_digest = {order.digest: order for order in self.orders}
        model = OrderHistoryModel()
        for generation, digest in state.history:
            assert by_digest[digest].generation == generation
            model.apply(by_digest[digest])
        assert model.document() == (orjson.loads(state.document) if state.document else {})
        in_force = set(map(id, model.applied))
        for order in self.orders:
            if order.acknowledged_at is not None:
                assert id(order) in in_force, f"acknowledged and not in force: {order}"
            if order.refusals:
                assert id(order) not in in_force, f"refused and in force: {order}"
        self._check_reads(model)
        return model

    def _check_reads(self, model: OrderHistoryModel) -> None:
        """No read is older than what had been acknowledged before it began."""
        known = {order.generation for order in model.applied} | {0}
        for read in self.reads:
            assert read.generation in known, f"read and not in force at any time: {read}"
            for order in model.applied:
                if order.acknowledged_at is not None and order.acknowledged_at < read.started_at:
                    assert read.generation >= order.generation, f"{read} after {order}"
