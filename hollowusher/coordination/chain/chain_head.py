"""The head's side of the control chain: changes one after the other, each brought to the tail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.chain.chain_replicator import ChainReplicator, NewState
from hollowusher.coordination.chain.pending_change import PendingChange
from hollowusher.coordination.consensus.paxos import min_chain_length
from hollowusher.protocol.control_chain import ControlState

UPDATE_DEADLINE_S = 2.5
UPDATE_RETRY_S = 0.1
RECORD_FETCH_PATIENCE_S = 1.0  # a member that fetches a large document for longer does so outside the chain

StateTransition = Callable[[ControlState], ControlState | None]


def _keep_state(_state: ControlState) -> None:
    """Leave the state as it is."""


class ChainHead:
    """Commits changes while `leads` says that this controller is the head.

    `on_unreachable` is called with the name of a chain member that gives no answer.
    """

    def __init__(
        self,
        member: ChainMember,
        replicator: ChainReplicator,
        leads: Callable[[], bool],
        on_unreachable: Callable[[str], None],
    ) -> None:
        self._member = member
        self._replicator = replicator
        self._is_leader = leads
        self._on_unreachable = on_unreachable
        self._lock = asyncio.Lock()
        self._repropagating = False
        self._fetching_member = (
            ""  # the member that holds up the present state, because it fetches its document
        )
        self._fetching_since = 0.0

    @property
    def needs_repropagation(self) -> bool:
        """Whether the state held is still to be brought into force in this epoch."""
        return self._member.is_head and not self._member.is_committed and not self._repropagating

    async def repropagate(self) -> None:
        """Bring the state held into force in this epoch."""
        self._repropagating = True
        try:
            await self.change(_keep_state)
        finally:
            self._repropagating = False

    async def change(self, update: StateTransition) -> bool:
        """Commit what `update` makes of the newest state; None from `update` leaves it.

        Return True once the result is committed; False where that is not known in time, or this is not the
        head.
        """
        deadline = asyncio.get_running_loop().time() + UPDATE_DEADLINE_S
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
            return False  # this process has stood still: whoever asked has gone on since
        if not self._member.may_write:
            return False  # deposed meanwhile: what is held was committed by another head
        before = self._member.state
        wanted = update(before)
        if wanted is None:
            return True
        change = PendingChange()
        await self._replicate(NewState(wanted, before, change))
        change.on_answer(self._member)
        if change.is_in_progress(self._member):
            await self._commit_newest(deadline)
        return change.is_committed(self._member)

    async def _commit_newest(self, deadline: float) -> bool:
        """Have the chain keep the newest state, trying again while this is the head."""
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
        """Go on without a member that takes long to fetch the document, as long as nobody else is out."""
        now = asyncio.get_running_loop().time()
        if name != self._fetching_member:
            self._fetching_member = name
            self._fetching_since = now
        view = self._member.view
        if not name or view is None or now - self._fetching_since < RECORD_FETCH_PATIENCE_S:
            return
        if len(view.chain) == len(view.voters) > min_chain_length(view):
            self._on_unreachable(name)
