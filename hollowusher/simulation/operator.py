"""The operator: changes of the configuration, repeated until they are answered, and reading it back."""

from __future__ import annotations

import asyncio
import copy
import random
from collections.abc import Callable
from typing import Any

import orjson

from hollowusher.simulation import reference_model as model
from hollowusher.simulation.http_network import HttpExchangeError, HttpNetwork, HttpRequest, HttpResponse
from hollowusher.simulation.observations import ConfigurationOrder, ConfigurationRead, Observations
from hollowusher.simulation.route_moves import RouteMoves

CALL_TIMEOUT_S = 1.0
MOVE_SHARE = 0.7  # of the changes, where ordered routes are to move
INITIAL_DELAY_S = 0.1
MAX_DELAY_S = 1.0
FINAL_ANSWERS = (400, 409, 412, 413, 422)
MAX_OTHER_REJECTIONS = 3
MAX_REDIRECTS = 2
RETIRE_POLL_S = 0.3
LOST_ANSWER_PROBABILITY = 0.1  # usually; faults change it


class SimulatedOperator:
    """Sends orders to any scheduler that serves the control plane; answers may be lost on their way."""

    def __init__(
        self,
        http: HttpNetwork,
        observations: Observations,
        random_source: random.Random,
        host: str,
        admins: Callable[[], list[str]],
    ) -> None:
        self.http = http
        self.observations = observations
        self.host = host
        self.lost_answer_probability = LOST_ANSWER_PROBABILITY
        self._random_source = random_source
        self._admins = admins
        self._orders = 0
        http.network.power_on(host)

    def _now(self) -> float:
        return self.http.network.loop.time()

    async def _exchange(self, request: HttpRequest, asked: list[str]) -> tuple[HttpResponse | None, str]:
        """Make one call, with its redirects; None if no answer came or it was lost.

        Machines that were `asked` before are asked again only after all others.
        """
        admins = self._admins()
        address = self._random_source.choice([each for each in admins if each not in asked] or admins)
        for _ in range(MAX_REDIRECTS + 1):
            try:
                answer = await self.http.exchange(self.host, address, request, CALL_TIMEOUT_S)
            except HttpExchangeError:
                return None, address
            if answer.status != 307:
                break
            address = answer.header("Location").removeprefix("http://").partition("/")[0]
        lost = self._random_source.random() < self.lost_answer_probability
        return (None if lost else answer), address

    def order(self, if_match: int, document: dict[str, Any], *, valid: bool = True) -> ConfigurationOrder:
        """Note a change that is to be sent."""
        self._orders += 1
        made = ConfigurationOrder(self._orders, if_match, document["generation"], document, valid)
        self.observations.orders.append(made)
        return made

    async def send(
        self, order: ConfigurationOrder, request: HttpRequest, give_up_at: float, first: str = ""
    ) -> bool | None:
        """Send an order until it is answered, at first to the address `first`.

        Returns
        -------
        bool or None
            True if it was taken, False if it was rejected, None if that is unknown.
        """
        pause, refusals = INITIAL_DELAY_S, 0
        asked = [each for each in self._admins() if each != first] if first else []
        if not order.first_sent_at:
            order.first_sent_at = self._now()
        while self._now() < give_up_at:
            answer, address = await self._exchange(request, asked)
            asked = [address] if len(asked) + 1 >= len(self._admins()) else [*asked, address]
            status = None if answer is None else answer.status
            order.answers.append((self._now(), status))
            if status == 200:
                if order.acknowledged_at is None:
                    order.acknowledged_at = self._now()
                return True
            if status is not None and 400 <= status < 500 and status not in (408, 429):
                refusals += 1
                if status in FINAL_ANSWERS or refusals >= MAX_OTHER_REJECTIONS:
                    order.rejected_at = self._now()
                    return False
            await asyncio.sleep(pause)
            pause = min(pause * 2, MAX_DELAY_S)
        return None

    async def read(self, give_up_at: float, *, final: bool = False) -> dict[str, Any] | None:
        """Read the configuration back; None if no answer came in time."""
        pause = INITIAL_DELAY_S
        while self._now() < give_up_at:
            asked_at = self._now()
            answer, edge = await self._exchange(HttpRequest("GET", "/config"), [])
            if answer is not None and answer.status == 200:
                document: dict[str, Any] = orjson.loads(answer.body)
                self.observations.reads.append(
                    ConfigurationRead(self._now(), asked_at, edge, document, final)
                )
                return document
            await asyncio.sleep(pause)
            pause = min(pause * 2, MAX_DELAY_S)
        return None

    async def retire_store(self, name: str, duration_s: float, give_up_at: float) -> bool:
        """Order a store to be emptied and ask until that is done; whether it was done in time."""
        order = HttpRequest("POST", f"/retire/{name}", {}, orjson.dumps({"durationS": duration_s}))
        question = HttpRequest("GET", f"/retire/{name}")
        taken = False
        while self._now() < give_up_at:
            answer, _ = await self._exchange(question if taken else order, [])
            if answer is not None and answer.status == 200:
                taken = True
                if orjson.loads(answer.body)["state"] == "completed":
                    return True
            elif answer is not None and answer.status in (400, 404) and not taken:
                return False
            await asyncio.sleep(RETIRE_POLL_S)
        return False


def put_request(order: ConfigurationOrder) -> HttpRequest:
    """Create the request that puts a complete configuration."""
    headers = {"If-Match": str(order.if_match), "Content-Type": "application/json"}
    return HttpRequest("PUT", "/config", headers, orjson.dumps(order.document))


def patch_request(order: ConfigurationOrder, patch: dict[str, Any]) -> HttpRequest:
    """Create the request that changes some items."""
    headers = {"If-Match": str(order.if_match), "Content-Type": "application/json"}
    return HttpRequest("PATCH", "/config", headers, orjson.dumps(patch))


class ChangeGenerator:
    """Random changes: extra routes come and go, latency targets alter, ordered routes move if wanted."""

    def __init__(
        self,
        random_source: random.Random,
        base: dict[str, Any],
        extra_service: str,
        moves: RouteMoves | None = None,
    ) -> None:
        self._random_source = random_source
        self._moves = moves
        self._extra_service = extra_service
        self._extra = 0
        self.base = base
        self.route_rules: dict[str, model.RouteRules] = {}

    def next_patch(self, generation: int) -> tuple[dict[str, Any], dict[str, Any]]:
        """Draw a PATCH; return it and the complete configuration that results."""
        next_generation = generation + self._random_source.randint(1, 3)
        if self._moves is not None and self._random_source.random() < MOVE_SHARE:
            return self._moves.next_patch(self.base, next_generation)
        patch: dict[str, Any] = {"generation": next_generation}
        extras = [route["name"] for route in self.base["routes"] if route["name"].startswith("extra-")]
        if extras and self._random_source.random() < 0.4:
            patch["delete"] = {"routes": [self._random_source.choice(extras)]}
        elif self._random_source.random() < 0.3:
            route = copy.deepcopy(self._random_source.choice(self.base["routes"]))
            route["targetLatencyMs"] = self._random_source.randint(50, 300)
            patch["upsert"] = {"routes": [route]}
        else:
            patch["upsert"] = {"routes": [self._new_route()]}
        return patch, model.effective_document(self.base, patch)

    def _new_route(self) -> dict[str, Any]:
        self._extra += 1
        route = copy.deepcopy(self.base["routes"][0])
        route.update(
            name=f"extra-{self._extra}",
            pathPrefix=f"/extra/{self._extra}/",
            upstream=self._extra_service,
            ordered=False,
            callbackUrl=False,
        )
        return dict(route)

    def invalid(self, generation: int) -> dict[str, Any]:
        """Draw a configuration that must be rejected."""
        document = copy.deepcopy(self.base)
        document["generation"] = generation + 1
        kind = self._random_source.randrange(4)
        if kind == 0:
            document["routes"][0]["upstream"] = "no-such-service"
        elif kind == 1:
            document["routes"][0]["timeoutMs"] = 0
        elif kind == 2:
            twin = copy.deepcopy(document["routes"][0])
            twin["name"] = "twin"
            document["routes"].append(twin)
        else:
            document["generation"] = max(generation - 1, 0)
        return document
