"""Runs the agreement on views over the network: saves the acceptor's state, asks the other voters.

Every change of the acceptor is saved before its answer leaves.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

from hollowusher.coordination.view import Acceptor, Ballot, Proposer, majority
from hollowusher.protocol.control import (
    Accept,
    Accepted,
    ConfirmEpoch,
    Decided,
    EpochConfirmed,
    FirstTaken,
    Prepare,
    Promise,
    ProposeFirst,
    View,
    Voter,
)
from hollowusher.storage.interface import Slot, StorageError
from hollowusher.transport.interface import PeerError, Transport

VOTE_TIMEOUT_S = 0.5
CONFIRM_TIMEOUT_S = 0.4
MOST_BACKOFF_S = 0.2
LOCAL_MARGIN_S = 0.05  # beyond the peers' time-out; the own disk may take longer than that


class Agreement:
    """One controller's share in deciding views.  `on_view` is called with each newer decided view."""

    def __init__(
        self,
        me: Voter,
        transport: Transport,
        slot: Slot,
        chance: random.Random,
        on_view: Callable[[View], None],
    ) -> None:
        self._me = me
        self._transport = transport
        self._slot = slot
        self._chance = chance
        self._on_view = on_view
        self._lock = asyncio.Lock()
        self._proposing = False
        self._round = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self.acceptor = Acceptor(me.name, me.disk_id, slot.load())

    @property
    def view(self) -> View | None:
        """The newest decided view known."""
        return self.acceptor.decided

    async def learn(self, view: View) -> bool:
        """Take a decided view; whether it was a newer one."""
        async with self._lock:
            if not self.acceptor.learn(view):
                return False
            with suppress(StorageError):  # it can be learned again: only votes must not be forgotten
                await self._save()
            self._on_view(view)
            return True

    async def take_first(self, message: ProposeFirst) -> FirstTaken:
        """Hold the first proposed view 1."""
        async with self._lock:
            held = self.acceptor.accepted
            taken = self.acceptor.take_first(message.view)
            if taken is not held:
                await self._save()
            return FirstTaken(taken, self.view)

    async def prepare(self, message: Prepare) -> Promise:
        """Vote in the first phase."""
        if message.base is not None:
            await self.learn(message.base)
        async with self._lock:
            answer = self.acceptor.prepare(message)
            if answer.granted:
                await self._save()
            return answer

    async def accept(self, message: Accept) -> Accepted:
        """Vote in the second phase."""
        async with self._lock:
            answer = self.acceptor.accept(message)
            if answer.granted:
                await self._save()
            return answer

    def confirm(self, message: ConfirmEpoch) -> EpochConfirmed:
        """Whether this voter knows of no later view."""
        return EpochConfirmed(self.acceptor.confirms(message.epoch), self.acceptor.epoch)

    async def majority_confirms(self, epoch: int) -> bool:
        """Whether a majority of the voters of the view `epoch` has accepted no later one."""
        view = self.view
        if view is None or view.epoch != epoch:
            return False
        confirmed: set[str] = set()

        def take(voter: str, answer: Any) -> bool:
            if isinstance(answer, EpochConfirmed) and answer.ok:
                confirmed.add(voter)
            return len(confirmed) >= majority(view)

        return await self._ask(view, ConfirmEpoch(epoch), take, CONFIRM_TIMEOUT_S)

    async def propose(self, wanted: Callable[[View], View | None]) -> bool:
        """Try once to have the view `wanted` makes of the present one decided; whether a newer view than
        the present one is known afterwards (it may be another's)."""
        if self._proposing or self.view is None:
            return False
        self._proposing = True
        try:
            return await self._propose(self.view, wanted)
        finally:
            self._proposing = False

    async def _propose(self, base: View, wanted: Callable[[View], View | None]) -> bool:
        value = wanted(base)
        if value is None:
            return False
        self._round = max(self._round, self.acceptor.promised[0]) + 1
        ballot: Ballot = (self._round, self._me.name)
        proposer = Proposer(base, value, ballot)
        promised = await self._ask(base, proposer.prepare(), proposer.on_promise, VOTE_TIMEOUT_S)
        if promised:
            await self._ask(base, proposer.accept(), proposer.on_accepted, VOTE_TIMEOUT_S)
        self._round = proposer.highest_round
        if proposer.decided is None:
            await asyncio.sleep(self._chance.uniform(0.0, MOST_BACKOFF_S))
            return False
        await self.learn(proposer.decided)
        self.announce(proposer.decided, base.voters)
        return True

    def announce(self, view: View, further: Iterable[Voter] = ()) -> None:
        """Tell the voters of a decided view, and some others, about it."""
        addresses = {voter.address for voter in [*view.voters, *further]} - {self._me.address}
        for address in sorted(addresses):
            self._transport.send(address, Decided(view))

    async def _ask(self, view: View, message: Any, take: Callable[[str, Any], bool], timeout: float) -> bool:
        """Ask all voters at once; True as soon as `take` returns True for an answer."""
        pending = set()
        for voter in view.voters:
            task = asyncio.get_running_loop().create_task(self._ask_one(voter, message, timeout))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            pending.add(task)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout + LOCAL_MARGIN_S
        while pending and loop.time() < deadline:
            done, pending = await asyncio.wait(
                pending, timeout=deadline - loop.time(), return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                name, answer = task.result()
                if answer is not None and take(name, answer):
                    return True
        return False

    async def _ask_one(self, voter: Voter, message: Any, timeout: float) -> tuple[str, Any]:
        """A voter's answer, None where there is none."""
        try:
            if voter.name == self._me.name:
                return voter.name, await self._answer(message)
            return voter.name, await self._transport.call(voter.address, message, timeout)
        except (PeerError, StorageError):
            return voter.name, None

    async def _answer(self, message: Any) -> Any:
        """This controller's own vote."""
        if isinstance(message, Prepare):
            return await self.prepare(message)
        if isinstance(message, Accept):
            return await self.accept(message)
        return self.confirm(message)

    async def _save(self) -> None:
        await self._slot.save(self.acceptor.dump())
