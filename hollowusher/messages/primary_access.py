"""Access of request handlers to the primaries of one store.

Handlers wait here for a primary to serve, for a proposal to commit, or for a quorum to confirm a primary.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from hollowusher.messages.partition.partition_primary import PartitionPrimary
from hollowusher.messages.partition.proposal import Proposal
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.messages.replication.partition_replicator import PartitionReplicator

SERVING_WAIT_S = 1.0  # maximum time that a request waits for a takeover to finish
# The store extends a lease or reports an unfinished message only if a quorum has confirmed the primary within
# this time.
CONFIRMATION_MAX_AGE_S = 0.5


class PrimaryAccess:
    """Lets request handlers wait for the primaries of one store, for commits and for quorums.

    `process_effects` must be called after each transition of a primary; it replicates the new proposals.
    """

    def __init__(
        self, replicator: PartitionReplicator, process_effects: Callable[[PartitionReplica], None]
    ) -> None:
        self.resumed_at = 0.0  # monotonic time when the last pause of this process ended
        self.process_effects = process_effects
        self._replicator = replicator
        self._serving_changed = asyncio.Event()

    def announce_serving(self) -> None:
        """Wake the requests that wait for a primary, because one has begun to serve."""
        self._serving_changed.set()
        self._serving_changed = asyncio.Event()

    async def wait_for_commit(self, proposal: Proposal) -> bool:
        """Wait for a proposal and return whether it committed.

        False means that the outcome is unknown: the wait timed out, or this store is no longer the primary.
        """
        if proposal.is_committed:
            return True
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        proposal.add_waiter(partial(_resolve, future))
        return await future

    async def wait_for_primary(self, partition: int) -> PartitionPrimary | None:
        """Return the primary of a partition, or None if there is none here.

        During a takeover this method waits up to `SERVING_WAIT_S` for the primary to serve.
        """
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
        """Return the status of responses while this store has no serving primary for the partition."""
        replica = self._replicator.replicas.get(partition)
        taking_over = replica is not None and replica.is_placed_primary and replica.epoch > 0
        return "unavailable" if taking_over else "not_primary"

    async def has_quorum(
        self, replica: PartitionReplica, primary: PartitionPrimary, *, from_now: bool = False
    ) -> bool:
        """Return whether a quorum confirms that it still follows this primary.

        A confirmation counts if it is younger than `CONFIRMATION_MAX_AGE_S` and was made after the last pause
        of this process.  With `from_now`, only a confirmation that starts with this call counts.
        """
        now = self._replicator.now()
        within_s = min(CONFIRMATION_MAX_AGE_S, now - self.resumed_at)
        if not from_now and replica.has_recent_quorum(now, within_s):
            return True
        confirmation = primary.propose_confirmation(now)
        self.process_effects(replica)
        return await self.wait_for_commit(confirmation)


def _resolve(future: asyncio.Future[bool], committed: bool) -> None:  # noqa: FBT001  # signature of waiters
    if not future.done():
        future.set_result(committed)
