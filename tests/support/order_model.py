"""A reference model of the order history, and operators whose observations are compared with it.

The model is a list of the accepted orders.  The final state of the cluster has to correspond to such a list,
and each response that an operator received has to be consistent with it.  The model favours simplicity over
speed.
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
    """One order and the responses that its callers received."""

    method: str
    if_match: int
    body: bytes
    acknowledged_at: float | None = None
    refusals: list[OperatorResponse] = attrs.Factory(list)

    @property
    def digest(self) -> bytes:
        """The digest that identifies the order in the history."""
        return read_order(self.method, self.if_match, self.body).ok.digest

    @property
    def content(self) -> dict[str, Any]:
        """The requested configuration or patch."""
        content: dict[str, Any] = orjson.loads(self.body)
        return content

    @property
    def generation(self) -> int:
        """The generation that the order assigns to its configuration."""
        return int(self.content["generation"])


@attrs.frozen
class ObservedRead:
    """One response to a read of the configuration."""

    started_at: float
    generation: int


class OrderHistoryModel:
    """The accepted orders as a list, from which each call of `document` rebuilds the configuration."""

    def __init__(self) -> None:
        self.applied: list[SentOrder] = []

    @property
    def generation(self) -> int:
        """The generation of the current configuration."""
        return self.applied[-1].generation if self.applied else 0

    def apply(self, order: SentOrder) -> None:
        """Append an accepted order, which must be based on the current generation."""
        assert order.if_match == self.generation, (order, self.generation)
        assert order.generation > self.generation
        self.applied.append(order)

    def document(self) -> dict[str, Any]:
        """Return the current configuration."""
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
    """Several operators that send random orders to one cluster."""

    def __init__(
        self, cluster: ControllerCluster, random_source: random.Random, sizes: Sequence[int] = (0,)
    ) -> None:
        self.cluster = cluster
        self.random_source = random_source
        self.sizes = sizes  # numbers of bytes by which documents are padded
        self.orders: list[SentOrder] = []
        self.reads: list[ObservedRead] = []
        self.is_running = True
        self._last_number = 0

    # -- single calls ----------------------------------------------------------------------------------

    def controllers(self) -> list[Controller]:
        """Return the controllers that are running."""
        return [node.controller for node in self.cluster.nodes.values() if node.controller is not None]

    async def request_any(self, message: Any) -> OperatorResponse | None:
        """Send a message to a random controller; return the response, or None if there is none in time.

        A call that exceeds the timeout is not cancelled.
        """
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
        """Send an order once; return whether the response was definite (not a 503 or a timeout)."""
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
        """Return the generation of the current configuration, or None if no controller could report it."""
        started_at = asyncio.get_running_loop().time()
        answer = await self.request_any(ReadConfiguration())
        if answer is None or answer.status not in (200, 404):
            return None
        generation = orjson.loads(answer.body)["generation"] if answer.status == 200 else 0
        self.reads.append(ObservedRead(started_at, generation))
        return int(generation)

    # -- an operator -----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Read the configuration and send a change until the response is definite; repeat until stopped."""
        while self.is_running:
            base = await self.read()
            if base is not None:
                await self._send_until_definite(self._new_order(base))
                await self._resend_old_order()
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

    async def _send_until_definite(self, order: SentOrder) -> None:
        started = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started < ORDER_TIMEOUT_S:
            copies = self.random_source.choice((1, 1, 2, 3))  # duplicates sent concurrently
            if any(await asyncio.gather(*(self.send(order) for _ in range(copies)))):
                return
            await asyncio.sleep(self.random_source.uniform(0.0, PAUSE_S))

    async def _resend_old_order(self) -> None:
        """Sometimes resend one of the last 30 orders, whatever its outcome was."""
        if self.orders and self.random_source.random() < 0.3:
            await self.send(self.random_source.choice(self.orders[-30:]))

    # -- comparison with the model ---------------------------------------------------------------------

    def check(self, state: ControlState) -> OrderHistoryModel:
        """Compare all responses with the final control state; return the model of that state."""
        by_digest = {order.digest: order for order in self.orders}
        model = OrderHistoryModel()
        for generation, digest in state.history:
            assert by_digest[digest].generation == generation
            model.apply(by_digest[digest])
        assert model.document() == (orjson.loads(state.document) if state.document else {})
        in_force = set(map(id, model.applied))
        for order in self.orders:
            if order.acknowledged_at is not None:
                assert id(order) in in_force, f"acknowledged but not in the history: {order}"
            if order.refusals:
                assert id(order) not in in_force, f"rejected but in the history: {order}"
        self._check_reads(model)
        return model

    def _check_reads(self, model: OrderHistoryModel) -> None:
        """Assert that each read returned at least the newest generation acknowledged before it started."""
        known = {order.generation for order in model.applied} | {0}
        for read in self.reads:
            assert read.generation in known, f"read but never in the history: {read}"
            for order in model.applied:
                if order.acknowledged_at is not None and order.acknowledged_at < read.started_at:
                    assert read.generation >= order.generation, f"{read} after {order}"
