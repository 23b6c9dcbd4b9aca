"""A receiver of call-backs."""

from __future__ import annotations

import asyncio

import orjson

from hollowusher.simulation.actor_context import ActorContext
from hollowusher.simulation.addresses import host_of
from hollowusher.simulation.http_network import HttpExchange, HttpResponse
from hollowusher.simulation.observations import ReceivedCallback


class SimulatedCallbackReceiver:
    """A receiver of call-backs: few at a time, sometimes slow or failing."""

    process = None

    def __init__(self, context: ActorContext, address: str, most: int = 4) -> None:
        self.context = context
        self.address = address
        self.failing = False
        self._most = most
        self._busy = 0

    def start(self) -> None:
        """Listen."""
        self.context.http.network.power_on(host_of(self.address))
        self.context.http.listen(self.address, self)

    async def serve(self, exchange: HttpExchange) -> HttpResponse | None:
        """Take a call-back."""
        request, random_source = exchange.request, self.context.random_source
        if self._busy >= self._most:
            return None
        self._busy += 1
        try:
            await asyncio.sleep(random_source.uniform(0.002, 0.05))
        finally:
            self._busy -= 1
        callback = orjson.loads(request.body)
        status = 503 if self.failing or random_source.random() < 0.05 else 200
        url = f"http://{self.address}{request.target}"
        call = ReceivedCallback(
            callback.get("id", ""),
            url,
            callback.get("state", ""),
            callback.get("signature", ""),
            self.context.now(),
            status,
        )
        self.context.observations.callbacks.append(call)
        if random_source.random() < 0.02:
            return None
        return HttpResponse(status)
