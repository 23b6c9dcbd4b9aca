"""The head's side of the control chain: changes one after the other, each brought to the tail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.chain.chain_replicator import Replicator
from hollowusher.coordination.consensus.paxos import shortest_chain
from hollowusher.protocol.control_chain import ControlState

CHANGE_DEADLINE_S = 2.5
CHANGE_RETRY_S = 0.1
LACKING_PATIENCE_S = 1.0  # a member that fetches a large document for longer does so outside the chain

Update = Callable[[ControlState], ControlState | None]


class ChainOwner:
    """Commits changes while `leads` says that this controller is the head.  `on_unreachable` is called with
    the name of a chain member that gives no answer."""

    def __init__(
        self,
        member: ChainMember,
        replicator: Replicator,
        leads: Callable[[], bool],
        on_unreachable: Callable[[str], None],
    ) -> None:
        self._member = member
        self._replicator = replicator
        self._leads = leads
        self._on_unreachable = on_unreachable
        self._lock = asyncio.Lock()
        self._flushing = False
        self._lacking = ""  # the member that holds up the present state, because it fetches its document
        self._lacking_since = 0.0

    @property
    def needs_flush(self) -> bool:
        """Whether the state held is still to be brought into force in this epoch."""
        return self._member.is_head and not self._member.settled and not self._flushing

    async def flush(self) -> None:
        """Bring the state held into force in this epoch."""
        self._flushing = True
        try:
            await self.change(lambda state: None)
        finally:
            self._flushing = False

    async def change(self, update: Update) -> bool:
        """Commit what `update` makes of the newest state (None: leave it).  True once the result is
        committed; False where that is not known in time, or this is not the head."""
        deadline = asyncio.get_running_loop().time() + CHANGE_DEADLINE_S
        try:
            async with asyncio.timeout_at(deadline):
                await self._lock.acquire()
        except TimeoutError:
            return False
        try:
            return await self._change(update, deadline)
        finally:
            self._lock.release()

    async def _change(self, update: Update, deadline: float) -> bool:
        if not self._leads() or not await self._settle(deadline):
            return False
        if asyncio.get_running_loop().time() >= deadline:
            return False  # this process has stood still: whoever asked has gone on since
        wanted = update(self._member.state)
        if wanted is None:
            return True
        before = self._member.state
        await self._push(wanted, before)
        written = self._member.state
        if written is before:
            return False  # the own disk has not taken it: what is in force is the state before
        settled = await self._settle(deadline)
        return settled and self._member.state is written

    async def _settle(self, deadline: float) -> bool:
        """Have the chain keep the newest state, trying again while this is the head."""
        while not self._member.settled:
            if asyncio.get_running_loop().time() >= deadline or not self._leads():
                return False
            if not await self._push(None):
                await asyncio.sleep(CHANGE_RETRY_S)
        return True

    async def _push(self, state: ControlState | None, base: ControlState | None = None) -> bool:
        answer = await self._replicator.push(state, base)
        if answer.unreachable:
            self._on_unreachable(answer.unreachable)
        self._note_lacking(answer.lacking)
        return answer.ok

    def _note_lacking(self, name: str) -> None:
        """Go on without a member that takes long to fetch the document, as long as nobody else is out."""
        now = asyncio.get_running_loop().time()
        if name != self._lacking:
            self._lacking = name
            self._lacking_since = now
        view = self._member.view
        if not name or view is None or now - self._lacking_since < LACKING_PATIENCE_S:
            return
        if len(view.chain) == len(view.voters) > shortest_chain(view):
            self._on_unreachable(name)
