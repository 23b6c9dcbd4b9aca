"""Runs the control chain over the network: saves each state, then passes it on to the next member."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.coordination.chain import ChainMember, dump_write
from hollowusher.coordination.view import find_voter
from hollowusher.protocol.control import ChainWrite, ChainWritten, ControlState, View
from hollowusher.storage.interface import Slot, StorageError
from hollowusher.transport.interface import PeerError, Transport

HOP_TIMEOUT_S = 0.4
STALLED_AFTER_S = 0.8
FAILED_COUNTS_S = 2.0  # after a save that failed, the others do without this member for so long
BYTES_PER_S = 4_000_000  # slowest link and disk that a large state is to get through


class Replicator:
    """One controller's place in the chain.  `on_state` is called with each newly committed state."""

    def __init__(
        self, member: ChainMember, transport: Transport, slot: Slot, on_state: Callable[[ControlState], None]
    ) -> None:
        self.member = member
        self._transport = transport
        self._slot = slot
        self._on_state = on_state
        self._lock = asyncio.Lock()
        self._saving_since: float | None = None
        self._failed_at: float | None = None

    def install(self, view: View) -> None:
        """Use a decided view from now on."""
        known = self.member.committed
        self.member.install(view)
        committed = self.member.committed
        if committed is not None and committed is not known:
            self._on_state(committed)

    async def push(self, state: ControlState | None = None) -> ChainWritten:
        """Head: keep a new state, or the present one, and have the whole chain keep it."""
        async with self._lock:
            if not (self.member.is_head and self.member.complete):
                return ChainWritten(False, self.member.epoch)
            write = self.member.begin(state)
            if not await self._save(write):
                return ChainWritten(False, self.member.epoch, self.member.name)
        return await self._pass_on(write)

    async def receive(self, write: ChainWrite) -> ChainWritten:
        """Take a state from the member before."""
        async with self._lock:
            if not self.member.accepts(write):
                return ChainWritten(False, self.member.epoch)
            if not await self._save(write):
                return ChainWritten(False, self.member.epoch, self.member.name)
        return await self._pass_on(write)

    async def _pass_on(self, write: ChainWrite) -> ChainWritten:
        if self.member.epoch != write.epoch:
            return ChainWritten(False, self.member.epoch)
        following = self.member.next_name()
        if following is not None:
            answer = await self._call(following, write)
            if not answer.ok:
                return answer
        committed = self.member.commit(write)
        if committed is not None:
            self._on_state(committed)
        return ChainWritten(True, write.epoch)

    async def _call(self, name: str, write: ChainWrite) -> ChainWritten:
        view = self.member.view
        voter = find_voter(view, name) if view is not None else None
        if view is None or voter is None:
            return ChainWritten(False, self.member.epoch)
        hops = len(view.chain) - view.chain.index(name)
        timeout = hops * (HOP_TIMEOUT_S + len(write.state.document) / BYTES_PER_S)
        try:
            answer = await self._transport.call(voter.address, write, timeout)
        except PeerError:
            return ChainWritten(False, self.member.epoch, name)
        return answer if isinstance(answer, ChainWritten) else ChainWritten(False, self.member.epoch)

    def stalled(self, now: float) -> bool:
        """Whether the disk has been busy with one state for too long, or has just failed to take one."""
        if self._failed_at is not None and now - self._failed_at < FAILED_COUNTS_S:
            return True
        return self._saving_since is not None and now - self._saving_since > STALLED_AFTER_S

    async def _save(self, write: ChainWrite) -> bool:
        self._saving_since = asyncio.get_running_loop().time()
        try:
            await self._slot.save(dump_write(write))
        except StorageError:
            self._failed_at = asyncio.get_running_loop().time()
            return False
        finally:
            self._saving_since = None
        self.member.keep(write)
        return True
