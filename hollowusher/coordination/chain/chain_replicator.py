"""Runs the control chain over the network: saves each state, then passes it on to the next member.

A document and history that the next member holds are not sent again.  Where they are small they travel inside
the `ChainWrite`; otherwise the next member fetches them (`RecordFetcher`) and the head sends the write again.
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
FOREIGN_CLUSTER = "write: another cluster"  # its epochs mean nothing to the sender


@attrs.frozen(eq=False)
class NewState:
    """A state that a head wants to commit, the state that it was made from, and the change that it is for."""

    state: ControlState
    base: ControlState
    change: PendingChange


class ChainReplicator:
    """One controller's place in the chain.

    `on_state` is called with each newly committed state; `spawn` runs a coroutine for as long as the
    controller lives; `rejections` counts messages by why they were not accepted.
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
        self._records_at_successor: dict[
            str, bytes
        ] = {}  # member after this one -> digest of the record it has saved

    def install(self, view: View) -> None:
        """Use a decided view from now on."""
        known = self.member.committed
        self.member.install(view)
        self._records_at_successor.clear()
        committed = self.member.committed
        if committed is not None and committed is not known:
            self._on_state(committed)

    # -- states ----------------------------------------------------------------------------------------

    async def replicate(self, new_state: NewState | None = None) -> ChainWritten:
        """Head: save a new state, or the present one, and have the whole chain save it.

        A new state is rejected where its base is not the newest state any more.
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
        """Receive a state from the member before."""
        async with self._lock:
            reason = self._rejection_reason(write)
            if reason:
                self.rejections[reason] += 1
                return ChainWritten(ok=False, epoch=0 if reason == FOREIGN_CLUSTER else self.member.epoch)
            whole = self._fill_record(write)
            if whole is None:
                return ChainWritten(ok=False, epoch=self.member.epoch, lacking=self.member.name)
            if not await self._save(whole):
                return ChainWritten(ok=False, epoch=self.member.epoch, unreachable=self.member.name)
        return await self._forward_to_successor(whole)

    def _rejection_reason(self, write: ChainWrite) -> str:
        """Return why a write is rejected, empty where it is accepted."""
        view = self.member.view
        if view is None or _conflict(write.cluster, view.cluster):
            return FOREIGN_CLUSTER
        if _conflict(write.receiver_disk, self.member.disk_id):
            return "write: another disk"
        if write.epoch != self.member.epoch:
            return "write: another epoch"
        before = self.member.predecessor()
        if before is None or _conflict(write.sender, before):
            return "write: not from the member before"
        return "" if self.member.accepts(write) else "write: older than the state held"

    def _fill_record(self, write: ChainWrite) -> ChainWrite | None:
        """Return the write with document and history; None where they are not held: then they are fetched."""
        if not write.record:
            return write
        record = self._store.record(write.record)
        if record is not None:
            return evolve(write, state=record.fill(write.state), record=b"")
        before = self._voter(self.member.predecessor())
        if before is not None and self.member.view is not None:
            self._fetch.fetch(write.record, before.address, self.member.view.cluster)
        return None

    async def _forward_to_successor(self, write: ChainWrite) -> ChainWritten:
        if self.member.epoch != write.epoch:
            return ChainWritten(ok=False, epoch=self.member.epoch)
        following = self.member.successor()
        if following is not None:
            answer = await self._call(following, write)
            if not answer.ok:
                return answer
        committed = self.member.commit(write)
        if committed is not None:
            self._on_state(committed)
        return ChainWritten(ok=True, epoch=write.epoch)

    async def _call(self, name: str, write: ChainWrite) -> ChainWritten:
        """Have the next member save a write."""
        view, voter = self.member.view, self._voter(name)
        if view is None or voter is None:
            return ChainWritten(ok=False, epoch=self.member.epoch)
        message, digest = self._for_member(write, voter, view)
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

    def _for_member(self, write: ChainWrite, voter: Voter, view: View) -> tuple[ChainWrite, bytes]:
        """Return the message to the next member, and the digest of the record that the state has."""
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
        """Return a chunk of a document and history that are held here."""
        view = self.member.view
        if view is None or _conflict(message.cluster, view.cluster):
            self.rejections["record: another cluster"] += 1
            return read_chunk(None, message.offset)
        if message.digest:
            return read_chunk(self._store.record(message.digest), message.offset)
        return read_chunk(self._store.record_of(self.member.state), message.offset)

    # -- the own disk ----------------------------------------------------------------------------------

    def stalled(self, now: float) -> bool:
        """Whether the disk has been busy with one state for too long, or has just failed to take one."""
        return self._store.stalled(now)

    async def _save(self, write: ChainWrite) -> bool:
        """Have a whole state on disk; it is not written again if it stands there already."""
        if self.member.has_saved(write):
            return True
        try:
            await self._store.save(write.epoch, write.state)
        except StorageError:
            return False
        self.member.record_saved(write)
        return True


def _conflict(said: str, known: str) -> bool:
    """Whether two marks contradict each other; an empty one says nothing."""
    return bool(said) and bool(known) and said != known
