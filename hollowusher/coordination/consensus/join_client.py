"""How a controller that is no voter comes to a view, and to a vote in it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from hollowusher.coordination.consensus.bootstrap import SeedService, call_all, propose_first_view
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.protocol.view import AnnounceController, ReadView, View, ViewResponse, Voter
from hollowusher.transport.interface import Transport

VIEW_QUERY_INTERVAL_S = 0.3
ANNOUNCE_INTERVAL_S = 1.0
COMPLETE_FIRST_VIEW_AFTER_S = (
    0.5  # a first view held for this long without a decision is brought to its end here
)
CALL_TIMEOUT_S = 0.6


class JoinClient:
    """Asks the seeds and the known voters, on the first start with the wish to be in the first view."""

    def __init__(
        self,
        me: Voter,
        bootstrap: bool,
        seeds: Callable[[], list[str]],
        transport: Transport,
        consensus: ViewConsensus,
        seed: SeedService,
    ) -> None:
        self._me = me
        self._bootstrap = bootstrap
        self._seeds = seeds
        self._transport = transport
        self._consensus = consensus
        self._seed = seed
        self._next_query_at = 0.0
        self._first_view_accepted_since: float | None = None

    async def acquire_view(self) -> None:
        """No decided view is known yet."""
        if not self._is_due(VIEW_QUERY_INTERVAL_S):
            return
        held = self._consensus.acceptor.accepted
        if held is not None and await self._complete_first_view(held):
            return
        message: Any = ReadView()
        if self._bootstrap:
            message = AnnounceController(self._me, bootstrap=True)
            await self._seed.handle(message)
        await self._query(message, held.voters if held is not None else ())

    async def request_voter_role(self, view: View) -> None:
        """This controller, or its new disk, is no voter: ask the voters to make it one."""
        if self._is_due(ANNOUNCE_INTERVAL_S):
            await self._query(AnnounceController(self._me, cluster=view.cluster), view.voters)

    async def _complete_first_view(self, held: View) -> bool:
        """Bring a first view to its end whose proposer has gone silent; whether it is decided."""
        if self._first_view_accepted_since is None:
            self._first_view_accepted_since = _now()
        if _now() - self._first_view_accepted_since < COMPLETE_FIRST_VIEW_AFTER_S:
            return False
        decided = (await propose_first_view(self._transport, held)).decided
        if decided is None:
            return False
        await self._consensus.learn(decided)
        self._consensus.announce(decided)
        return True

    async def _query(self, message: Any, voters: Iterable[Voter]) -> None:
        addresses = {voter.address for voter in voters} | set(self._seeds())
        addresses.discard(self._me.address)
        for answer in await call_all(self._transport, sorted(addresses), message, CALL_TIMEOUT_S):
            if isinstance(answer, ViewResponse) and answer.view is not None:
                await self._consensus.learn(answer.view)

    def _is_due(self, interval: float) -> bool:
        if _now() < self._next_query_at:
            return False
        self._next_query_at = _now() + interval
        return True


def _now() -> float:
    return asyncio.get_running_loop().time()
