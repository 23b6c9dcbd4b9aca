"""Loans of rate-limit tokens between the stores of one service's messages.

The primary of a service's home partition enforces the rate limit of the service.  Messages of the service may
stand in other partitions, too: those that were accepted before the service had a rate limit, and those of a
service that the configuration does not contain any more.  Their primaries borrow a token for each lease, so
that all of them together keep the limit.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.rendezvous import rank_partitions
from hollowusher.messages.primary_access import PrimaryAccess
from hollowusher.messages.replication.partition_replicator import PartitionReplicator
from hollowusher.protocol.leases import BorrowedTokens, BorrowTokens
from hollowusher.protocol.placement import Placement
from hollowusher.transport.interface import PeerError, Transport

CALL_MARGIN_S = 0.3  # time added to the wait at the lender for the call's timeout
RETRY_PAUSE_S = 0.2  # of a request that has got no tokens
# After a failed call: a store of an older version ends the connection at a message that it does not know.
LENDER_PAUSE_S = 3.0

NO_TOKENS = BorrowedTokens(0)


class HomePartitions:
    """The home partition of each service, by the newest placement."""

    def __init__(self, state: ClusterState) -> None:
        self._state = state
        self._placement: Placement | None = None
        self._by_service: dict[str, int] = {}

    def __call__(self, service: str) -> int | None:
        """Return the home partition of a service, or None before the first placement."""
        if self._state.placement is not self._placement:
            self._placement = self._state.placement
            self._by_service.clear()
        home = self._by_service.get(service)
        if home is None:
            ranking = rank_partitions(service, self._state.partition_numbers())
            if not ranking:
                return None
            home = self._by_service[service] = ranking[0]
        return home


class RateLimitLoans:
    """Borrows tokens for this store's primaries, and lends those of its rate limits to other stores.

    `home_partition` returns the partition whose primary enforces the rate limit of a service.
    """

    def __init__(
        self,
        replicator: PartitionReplicator,
        access: PrimaryAccess,
        state: ClusterState,
        transport: Transport,
        home_partition: Callable[[str], int | None],
    ) -> None:
        self._replicator = replicator
        self._access = access
        self._state = state
        self._transport = transport
        self._home_partition = home_partition
        self._paused_until: dict[str, float] = {}  # by address of a lender whose call failed

    def needed_tokens(self, service: str) -> int:
        """Return the number of ready jobs of this store's primaries that need borrowed tokens."""
        return sum(
            replica.primary.jobs_without_tokens(service)
            for replica in self._replicator.serving_replicas()
            if replica.primary is not None
        )

    async def borrow(self, service: str, most: int, deadline: float) -> int:
        """Return the number of tokens that the home partition has lent, 0 if it lends none by `deadline`."""
        wait_s = max(0.0, deadline - self._replicator.now())
        request = BorrowTokens(service, most, round(wait_s * 1000))
        response = await self._call_home(request, wait_s + CALL_MARGIN_S)
        if not response.tokens:
            await asyncio.sleep(max(0.0, min(RETRY_PAUSE_S, deadline - self._replicator.now())))
        return response.tokens

    async def lend(self, request: BorrowTokens) -> BorrowedTokens:
        """Lend tokens, as soon as there is one and within the request's `wait_ms`."""
        home = self._home_partition(request.service)
        replica = None if home is None else self._replicator.replicas.get(home)
        deadline = self._replicator.now() + request.wait_ms / 1000
        while replica is not None and (primary := replica.primary) is not None:
            if not await self._access.has_quorum(replica, primary):
                break
            now = self._replicator.now()
            tokens = primary.take_tokens(request.service, request.most, now)
            token_at = primary.next_token_at(request.service, now)
            if tokens or token_at is None or token_at > deadline:
                return BorrowedTokens(tokens)
            await asyncio.sleep(token_at - now)
        return NO_TOKENS

    async def _call_home(self, request: BorrowTokens, timeout_s: float) -> BorrowedTokens:
        home = self._home_partition(request.service)
        if home is None:
            return NO_TOKENS
        replica = self._replicator.replicas.get(home)
        if replica is not None and replica.primary is not None:
            return await self.lend(request)
        address = self._state.primary_address(home)
        if address is None or self._replicator.now() < self._paused_until.get(address, 0.0):
            return NO_TOKENS
        try:
            response = await self._transport.call(address, request, timeout_s)
        except PeerError:
            self._paused_until[address] = self._replicator.now() + LENDER_PAUSE_S
            return NO_TOKENS
        return response if isinstance(response, BorrowedTokens) else NO_TOKENS
