"""Client of a controller without a vote: it queries for a decided view, then asks to become a voter."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from hollowusher.coordination.consensus.seed_service import SeedService
from hollowusher.coordination.consensus.view_consensus import ViewConsensus
from hollowusher.coordination.consensus.view_queries import call_all
from hollowusher.protocol.view import AnnounceController, ReadView, View, ViewResponse, Voter
from hollowusher.transport.interface import Transport

VIEW_QUERY_INTERVAL_S = 0.3
ANNOUNCE_INTERVAL_S = 1.0
COMPLETE_FIRST_VIEW_AFTER_S = 0.5  # a controller waits this long for the decision on an accepted first view
CALL_TIMEOUT_S = 0.6


class JoinClient:
    """Sends one controller's queries to the seeds and the known voters.

    `seeds` returns the current addresses of the seeds.  `bootstrap_seed` is the seed service of this process
    on the first start of the cluster and None on every later start.
    """

    def __init__(
        self,
        me: Voter,
        seeds: Callable[[], list[str]],
        transport: Transport,
        consensus: ViewConsensus,
        bootstrap_seed: SeedService | None,
    ) -> None:
        self._me = me
        self._seeds = seeds
        self._transport = transport
        self._consensus = consensus
        self._bootstrap_seed = bootstrap_seed
        self._next_query_s = 0.0
        self._first_view_accepted_s: float | None = None

    async def acquire_view(self) -> None:
        """Query for a decided view, unless the last query was less than `VIEW_QUERY_INTERVAL_S` ago.

        On the first start of the cluster the query also announces this controller for the first view.
        """
        if not self._is_due(VIEW_QUERY_INTERVAL_S):
            return
        accepted = self._consensus.acceptor.accepted
        if accepted is not None and await self._complete_first_view(accepted):
            return
        message: ReadView | AnnounceController = ReadView()
        if self._bootstrap_seed is not None:
            message = AnnounceController(self._me, bootstrap=True)
            await self._bootstrap_seed.handle(message)
        await self._query(message, accepted.voters if accepted is not None else ())

    async def request_voter_role(self, view: View) -> None:
        """Ask the voters to add this controller, or to replace its lost disk by its current one.

        Do nothing if the last request was less than `ANNOUNCE_INTERVAL_S` ago.
        """
        if self._is_due(ANNOUNCE_INTERVAL_S):
            await self._query(AnnounceController(self._me, cluster=view.cluster), view.voters)

    async def _complete_first_view(self, accepted: View) -> bool:
        """Complete an accepted first view whose proposer has stopped; return whether a view is decided."""
        if self._first_view_accepted_s is None:
            self._first_view_accepted_s = _now_s()
        if _now_s() - self._first_view_accepted_s < COMPLETE_FIRST_VIEW_AFTER_S:
            return False
        decided = await self._consensus.complete_first_view(accepted)
        if decided is None:
            return False
        await self._consensus.learn(decided)
        self._consensus.broadcast_decision(decided)
        return True

    async def _query(self, message: ReadView | AnnounceController, voters: Iterable[Voter]) -> None:
        addresses = {voter.address for voter in voters} | set(self._seeds())
        addresses.discard(self._me.address)
        for answer in await call_all(self._transport, sorted(addresses), message, CALL_TIMEOUT_S):
            if isinstance(answer, ViewResponse) and answer.view is not None:
                await self._consensus.learn(answer.view)

    def _is_due(self, interval_s: float) -> bool:
        if _now_s() < self._next_query_s:
            return False
        self._next_query_s = _now_s() + interval_s
        return True


def _now_s() -> float:
    return asyncio.get_running_loop().time()
