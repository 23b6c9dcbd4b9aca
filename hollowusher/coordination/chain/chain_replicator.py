"""Runs the control chain over the network: saves each state, then forwards it to the next member.

The document and the history that the next member already holds are not sent again.  If they are small, the
`ChainWrite` contains them.  Otherwise the next member fetches them (`RecordFetcher`), and the head retries
the write.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

import attrs

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.chain.pending_change import PendingChange
from hollowusher.coordination.chain.record_fetcher import RecordFetcher, Spawn, read_chunk
from hollowusher.coordination.chain.state_record import MAX_INLINE_BYTES, strip_record
from hollowusher.coordination.chain.state_store import MIN_THROUGHPUT_BYTES_PER_S, StateStore
from hollowusher.coordination.consensus.paxos import find_voter
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import (
    ChainWrite,
    ChainWritten,
    ControlState,
    ReadStateRecord,
    StateRecordChunk,
)
from hollowusher.protocol.view import View, Voter
from hollowusher.storage.interface import StorageError
from hollowusher.transport.fenced_transport import FencedError
from hollowusher.transport.interface import PeerError, Transport

HOP_TIMEOUT_S = 0.8
# The response to a write of another cluster has epoch 0, because epochs of two clusters are not comparable.
FOREIGN_CLUSTER = "write: another cluster"


@attrs.frozen(eq=False)
class NewState:
    """A state that the head wants to commit, the state that it is based on, and its pending change."""

    state: ControlState
    base: ControlState
    change: PendingChange


class ChainReplicator:
    """Replicates the control state between one controller and its neighbours in the chain.

    The replicator calls `on_state` with each newly committed state.  `spawn` runs a coroutine until the
    controller stops.  `rejections` counts the rejected messages by reason.
    """

    def __init__(
        self,
        member: ChainMember,
        transport: Transport,
        store: StateStore,
        on_state: Callable[[ControlState], None],
        spawn: Spawn,
    ) -> None:
        self.member = member
        self.rejections: Counter[str] = Counter()
        self._transport = transport
        self._store = store
        self._on_state = on_state
        self._lock = asyncio.Lock()
        self._fetch = RecordFetcher(transport, store, spawn, self.rejections)
        self._records_at_successor: dict[str, bytes] = {}  # successor -> digest of its saved record

    def install(self, view: View) -> None:
        """Install a decided view."""
        known = self.member.committed
        self.member.install(view)
        self._records_at_successor.clear()
        committed = self.member.committed
        if committed is not None and committed is not known:
            self._on_state(committed)

    # -- states ----------------------------------------------------------------------------------------

    async def replicate(self, new_state: NewState | None = None) -> ChainWritten:
        """Save a new state, or the current one, and replicate it down the chain; only the head calls this.

        A new state is rejected if its base is no longer the newest state.
        """
        async with self._lock:
            outdated = new_state is not None and new_state.base is not self.member.state
            if outdated or not self.member.may_write:
                return ChainWritten(ok=False, epoch=self.member.epoch)
            write = self.member.make_write(new_state.state if new_state is not None else None)
            if not await self._save(write):
                return ChainWritten(ok=False, epoch=self.member.epoch, unreachable=self.member.name)
            if new_state is not None:
                new_state.change.on_saved(write)
        return await self._forward_to_successor(write)

    async def receive(self, write: ChainWrite) -> ChainWritten:
        """Handle a write from the predecessor: save it, forward it and return the response."""
        async with self._lock:
            reason = self._rejection_reason(write)
            if reason:
                self.rejections[reason] += 1
                return ChainWritten(ok=False, epoch=0 if reason == FOREIGN_CLUSTER else self.member.epoch)
            filled_write = self._fill_record(write)
            if filled_write is None:
                return ChainWritten(ok=False, epoch=self.member.epoch, lacking=self.member.name)
            if not await self._save(filled_write):
                return ChainWritten(ok=False, epoch=self.member.epoch, unreachable=self.member.name)
        return await self._forward_to_successor(filled_write)

    def _rejection_reason(self, write: ChainWrite) -> str:
        """Return the reason to reject a write, empty if it is accepted."""
        view = self.member.view
        if view is None or _conflict(write.cluster, view.cluster):
            return FOREIGN_CLUSTER
        if _conflict(write.receiver_disk, self.member.disk_id):
            return "write: another disk"
        if write.epoch != self.member.epoch:
            return "write: another epoch"
        predecessor_name = self.member.predecessor()
        if predecessor_name is None or _conflict(write.sender, predecessor_name):
            return "write: not from the member before"
        return "" if self.member.accepts(write) else "write: older than the state held"

    def _fill_record(self, write: ChainWrite) -> ChainWrite | None:
        """Return the write with document and history.

        If they are not held here, start to fetch them from the predecessor and return None.
        """
        if not write.record:
            return write
        record = self._store.record(write.record)
        if record is not None:
            return evolve(write, state=record.attach_to(write.state), record=b"")
        predecessor_voter = self._voter(self.member.predecessor())
        if predecessor_voter is not None and self.member.view is not None:
            self._fetch.fetch(write.record, predecessor_voter.address, self.member.view.cluster)
        return None

    async def _forward_to_successor(self, write: ChainWrite) -> ChainWritten:
        if self.member.epoch != write.epoch:
            return ChainWritten(ok=False, epoch=self.member.epoch)
        successor_name = self.member.successor()
        if successor_name is not None:
            answer = await self._call(successor_name, write)
            if not answer.ok:
                return answer
        committed = self.member.commit(write)
        if committed is not None:
            self._on_state(committed)
        return ChainWritten(ok=True, epoch=write.epoch)

    async def _call(self, name: str, write: ChainWrite) -> ChainWritten:
        """Send a write to the next member and return its response."""
        view, voter = self.member.view, self._voter(name)
        if view is None or voter is None:
            return ChainWritten(ok=False, epoch=self.member.epoch)
        message, digest = self._make_message(write, voter, view)
        sent_bytes = len(message.state.document)
        hops = len(view.chain) - view.chain.index(name)
        timeout = hops * (HOP_TIMEOUT_S + sent_bytes / MIN_THROUGHPUT_BYTES_PER_S)
        self._records_at_successor.pop(name, None)
        try:
            answer = await self._transport.call(voter.address, message, timeout)
        except FencedError as error:
            return ChainWritten(ok=False, epoch=error.token.epoch)
        except PeerError:
            return ChainWritten(ok=False, epoch=self.member.epoch, unreachable=name)
        if not isinstance(answer, ChainWritten):
            return ChainWritten(ok=False, epoch=self.member.epoch)
        if answer.ok and self.member.epoch == write.epoch:
            self._records_at_successor[name] = digest
        return answer

    def _make_message(self, write: ChainWrite, voter: Voter, view: View) -> tuple[ChainWrite, bytes]:
        """Return the message to the next member and the digest of the state's record."""
        record = self._store.record_of(write.state)
        addressed = evolve(write, cluster=view.cluster, sender=self.member.name, receiver_disk=voter.disk_id)
        if (
            len(record.encoded) <= MAX_INLINE_BYTES
            and self._records_at_successor.get(voter.name) != record.digest
        ):
            return addressed, record.digest
        return evolve(addressed, state=strip_record(write.state), record=record.digest), record.digest

    def _voter(self, name: str | None) -> Voter | None:
        view = self.member.view
        return find_voter(view, name) if view is not None and name is not None else None

    # -- records ---------------------------------------------------------------------------------------

    def read_record(self, message: ReadStateRecord) -> StateRecordChunk:
        """Return a chunk of a record that is held here, of the newest one if the request has no digest."""
        view = self.member.view
        if view is None or _conflict(message.cluster, view.cluster):
            self.rejections["record: another cluster"] += 1
            return read_chunk(None, message.offset)
        if message.digest:
            return read_chunk(self._store.record(message.digest), message.offset)
        return read_chunk(self._store.record_of(self.member.state), message.offset)

    # -- local disk ------------------------------------------------------------------------------------

    def stalled(self, now: float) -> bool:
        """Return whether a save has taken too long or has failed recently."""
        return self._store.stalled(now)

    async def _save(self, write: ChainWrite) -> bool:
        """Save the state of a write unless it is on disk already; return whether it is on disk."""
        if self.member.has_saved(write):
            return True
        try:
            await self._store.save(write.epoch, write.state)
        except StorageError:
            return False
        self.member.record_saved(write)
        return True


def _conflict(received: str, known: str) -> bool:
    """Return whether two names or ids differ; an empty one matches everything."""
    return bool(received) and bool(known) and received != known
