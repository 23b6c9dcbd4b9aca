"""Access of request handlers to the primaries of one store: waiting for them, for commits, for quorums."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from hollowusher.messages.partition.partition_primary import PartitionPrimary
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.messages.replication.partition_replicator import PartitionReplicator

SERVING_WAIT_S = 1.0  # how long a call waits for a takeover to finish
# A lease is extended, and a state reported, only if a quorum has followed the primary within so long.
CONFIRMATION_MAX_AGE_S = 0.5


class PrimaryAccess:
    """The primaries of one store, as the handlers of requests use them.

    `process_effects` is called after each transition of a primary.
    """

    def __init__(
        self, replicator: PartitionReplicator, process_effects: Callable[[PartitionReplica], None]
    ) -> None:
        self.resumed_at = 0.0  # monotonic clock; the end of the last pause of this process
        self.process_effects = process_effects
        self._replicator = replicator
        self._serving_changed = asyncio.Event()

    def announce_serving(self) -> None:
        """Wake the calls that wait for a primary: one has begun to serve."""
        self._serving_changed.set()
        self._serving_changed = asyncio.Event()

    async def wait_for_commit(self, proposal: Proposal) -> bool:
        """Wait for the commit of a proposal; False if it is unknown in time."""
        if proposal.is_committed:
            return True
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        proposal.add_waiter(partial(_resolve, future))
        return await future

    async def wait_for_primary(self, partition: int) -> PartitionPrimary | None:
        """Return the primary of a partition; wait a short time for a takeover to finish."""
        replica = self._replicator.replicas.get(partition)
        if replica is not None and replica.primary is not None:
            return replica.primary
        deadline = self._replicator.now() + SERVING_WAIT_S
        while replica is not None and replica.is_placed_primary and replica.epoch:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._serving_changed.wait()
            except TimeoutError:
                return None
            if replica.primary is not None:
                return replica.primary
        return None

    def unavailable_status(self, partition: int) -> str:
        """Return the status to answer with while no primary serves here."""
        replica = self._replicator.replicas.get(partition)
        taking_over = replica is not None and replica.is_placed_primary and replica.epoch > 0
        return "unavailable" if taking_over else "not_primary"

    async def has_quorum(
        self, replica: PartitionReplica, primary: PartitionPrimary, *, from_now: bool = False
    ) -> bool:
        """Return whether a quorum still follows this primary.

        It must have done so within `CONFIRMATION_MAX_AGE_S` and since the last pause of this process; with
        `from_now`, after this call.
        """
        now = self._replicator.now()
        within_s = min(CONFIRMATION_MAX_AGE_S, now - self.resumed_at)
        if not from_now and replica.has_recent_quorum(now, within_s):
            return True
        confirmation = primary.propose_confirmation(now)
        self.process_effects(replica)
        return await self.wait_for_commit(confirmation)


def _resolve(future: asyncio.Future[bool], committed: bool) -> None:  # noqa: FBT001  # as waiters are called
    if not future.done():
        future.set_result(committed)
