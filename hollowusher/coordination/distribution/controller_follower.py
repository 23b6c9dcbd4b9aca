"""Update client of an ordinary process, which follows one controller at a time.

The process prefers a controller in its own zone and switches to another one after a failure.
"""

from __future__ import annotations

from functools import partial

from hollowusher.coordination.backoff import Backoff
from hollowusher.coordination.distribution.client_context import ClientContext
from hollowusher.coordination.distribution.own_registration import OwnRegistration
from hollowusher.coordination.distribution.update_puller import UpdatePuller
from hollowusher.protocol.distribution import ReadRepair, UpdatesResponse
from hollowusher.transport.interface import PeerError


class ControllerFollower:
    """Registers with the preferred controller, pulls updates, and sends missing items back (read repair)."""

    def __init__(self, context: ClientContext, registration: OwnRegistration, puller: UpdatePuller) -> None:
        self._context = context
        self._registration = registration
        self._puller = puller

    async def run(self) -> None:
        """Pull updates from the preferred controller and switch after failures; run until cancelled."""
        context = self._context
        backoff = Backoff(context.random_source)
        while True:
            voters = context.ranked_voters()
            if not voters:
                await context.discovery.discover()
                continue
            address = voters[0].address
            is_last_choice = len(voters) == 1 or context.selector.health(address).is_avoided(context.now())
            try:
                connected = await self._pull_from(address)
                backoff.reset()
            except PeerError:
                self._registration.forget(address)
                context.selector.health(address).record_failure(context.now())
                if not is_last_choice:
                    continue
                await backoff.wait()
                connected = False
            if not connected:
                await context.discovery.query()

    async def _pull_from(self, address: str) -> bool:
        await self._registration.register_at(address)
        version_vector = dict(self._context.state.version_vector)
        return await self._puller.pull(address, version_vector, partial(self._apply_updates, address))

    def _apply_updates(self, address: str, updates: UpdatesResponse) -> list[str]:
        changed = self._context.state.apply(updates.items, updates.have)
        missing = self._context.state.items_missing_from(updates.have)
        if missing:
            self._context.transport.send(address, ReadRepair(missing))
        return changed
