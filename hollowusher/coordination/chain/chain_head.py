"""The head of the control chain: serializes changes and replicates each of them down to the tail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.chain.chain_replicator import ChainReplicator, NewState
from hollowusher.coordination.chain.pending_change import PendingChange
from hollowusher.coordination.consensus.paxos import min_chain_length
from hollowusher.protocol.control_chain import ControlState

UPDATE_TIMEOUT_S = 2.5
UPDATE_RETRY_S = 0.1
MAX_RECORD_FETCH_S = 1.0  # a member that needs longer for a record is removed from the chain

StateTransition = Callable[[ControlState], ControlState | None]


def _keep_state(_state: ControlState) -> None:
    """Return None, which leaves the state unchanged."""


class ChainHead:
    """Commits changes while `is_leader` returns True, that is while this controller is the head.

    `ChainHead` calls `on_unreachable` with the name of a chain member that does not respond.
    """

    def __init__(
        self,
        member: ChainMember,
        replicator: ChainReplicator,
        is_leader: Callable[[], bool],
        on_unreachable: Callable[[str], None],
    ) -> None:
        self._member = member
        self._replicator = replicator
        self._is_leader = is_leader
        self._on_unreachable = on_unreachable
        self._lock = asyncio.Lock()
        self._repropagating = False
        # The member that delays the current state because it fetches the record; empty for none.
        self._fetching_member = ""
        self._fetching_since = 0.0

    @property
    def needs_repropagation(self) -> bool:
        """Whether the head still has to commit its state in the current epoch."""
        return self._member.is_head and not self._member.is_committed and not self._repropagating

    async def repropagate(self) -> None:
        """Commit the current state again, in the current epoch."""
        self._repropagating = True
        try:
            await self.change(_keep_state)
        finally:
            self._repropagating = False

    async def change(self, update: StateTransition) -> bool:
        """Commit the state that `update` returns for the newest state; None leaves the state unchanged.

        Return whether the result is committed.  False means that this controller is not the head, or that
        the outcome is unknown after `UPDATE_TIMEOUT_S`.
        """
        deadline = asyncio.get_running_loop().time() + UPDATE_TIMEOUT_S
        try:
            async with asyncio.timeout_at(deadline):
                await self._lock.acquire()
        except TimeoutError:
            return False
        try:
            return await self._change(update, deadline)
        finally:
            self._lock.release()

    async def _change(self, update: StateTransition, deadline: float) -> bool:
        if not self._is_leader() or not await self._commit_newest(deadline):
            return False
        if asyncio.get_running_loop().time() >= deadline:
            return False  # this process was paused, and its caller has given up meanwhile
        if not self._member.may_write:
            return False  # deposed meanwhile: the current state may be a commit of another head
        before = self._member.state
        updated = update(before)
        if updated is None:
            return True
        change = PendingChange()
        await self._replicate(NewState(updated, before, change))
        change.on_answer(self._member)
        if change.is_in_progress(self._member):
            await self._commit_newest(deadline)
        return change.is_committed(self._member)

    async def _commit_newest(self, deadline: float) -> bool:
        """Replicate the newest state until it is committed; retry while this is the head and time is left."""
        while not self._member.is_committed:
            if asyncio.get_running_loop().time() >= deadline or not self._is_leader():
                return False
            if not await self._replicate(None):
                await asyncio.sleep(UPDATE_RETRY_S)
        return True

    async def _replicate(self, new_state: NewState | None) -> bool:
        answer = await self._replicator.replicate(new_state)
        if answer.unreachable:
            self._on_unreachable(answer.unreachable)
        self._watch_record_fetch(answer.lacking)
        return answer.ok

    def _watch_record_fetch(self, name: str) -> None:
        """Report a member as unreachable if it fetches a record for too long.

        Keep waiting for it if the chain already lacks a voter or has its minimum length.
        """
        now = asyncio.get_running_loop().time()
        if name != self._fetching_member:
            self._fetching_member = name
            self._fetching_since = now
        view = self._member.view
        if not name or view is None or now - self._fetching_since < MAX_RECORD_FETCH_S:
            return
        if len(view.chain) == len(view.voters) > min_chain_length(view):
            self._on_unreachable(name)
