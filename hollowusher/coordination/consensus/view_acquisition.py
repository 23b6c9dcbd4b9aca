"""How a controller that is no voter comes to a view, and to a vote in it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from hollowusher.coordination.consensus.agreement import Agreement
from hollowusher.coordination.consensus.bootstrap import SeedService, call_all, propose_first
from hollowusher.protocol.view import Announce, ReadView, View, ViewAnswer, Voter
from hollowusher.transport.interface import Transport

SEEK_INTERVAL_S = 0.3
ANNOUNCE_INTERVAL_S = 1.0
COMPLETE_AFTER_S = 0.5  # a first view held for this long without a decision is brought to its end here
CALL_TIMEOUT_S = 0.6


class ViewSeeker:
    """Asks the seeds and the known voters, on the first start with the wish to be in the first view."""

    def __init__(
        self,
        me: Voter,
        bootstrap: bool,
        seeds: Callable[[], list[str]],
        transport: Transport,
        agreement: Agreement,
        seed: SeedService,
    ) -> None:
        self._me = me
        self._bootstrap = bootstrap
        self._seeds = seeds
        self._transport = transport
        self._agreement = agreement
        self._seed = seed
        self._next_contact = 0.0
        self._held_since: float | None = None

    async def seek(self) -> None:
        """No decided view is known yet."""
        if not self._due(SEEK_INTERVAL_S):
            return
        held = self._agreement.acceptor.accepted
        if held is not None and await self._complete(held):
            return
        message: Any = ReadView()
        if self._bootstrap:
            message = Announce(self._me, bootstrap=True)
            await self._seed.handle(message)
        await self._ask(message, held.voters if held is not None else ())

    async def ask_to_vote(self, view: View) -> None:
        """This controller, or its new disk, is no voter: ask the voters to make it one."""
        if self._due(ANNOUNCE_INTERVAL_S):
            await self._ask(Announce(self._me, cluster=view.cluster), view.voters)

    async def _complete(self, held: View) -> bool:
        """Bring a first view to its end whose proposer has gone silent; whether it is decided."""
        if self._held_since is None:
            self._held_since = _now()
        if _now() - self._held_since < COMPLETE_AFTER_S:
            return False
        decided = (await propose_first(self._transport, held)).decided
        if decided is None:
            return False
        await self._agreement.learn(decided)
        self._agreement.announce(decided)
        return True

    async def _ask(self, message: Any, voters: Iterable[Voter]) -> None:
        addresses = {voter.address for voter in voters} | set(self._seeds())
        addresses.discard(self._me.address)
        for answer in await call_all(self._transport, sorted(addresses), message, CALL_TIMEOUT_S):
            if isinstance(answer, ViewAnswer) and answer.view is not None:
                await self._agreement.learn(answer.view)

    def _due(self, interval: float) -> bool:
        if _now() < self._next_contact:
            return False
        self._next_contact = _now() + interval
        return True


def _now() -> float:
    return asyncio.get_running_loop().time()
