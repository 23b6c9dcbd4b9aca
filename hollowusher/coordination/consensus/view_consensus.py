"""Runs the agreement on views over the network: carries out what `VoterStateMachine` says, in its order."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine, Iterable
from contextlib import suppress
from typing import Any

from hollowusher.coordination.consensus import voter_state_machine
from hollowusher.coordination.consensus.paxos import Acceptor, quorum_size, voter_id
from hollowusher.coordination.consensus.voter_state_machine import VoterStateMachine
from hollowusher.protocol.consensus import (
    Accept,
    Accepted,
    ConfirmEpoch,
    EpochConfirmed,
    FirstViewResponse,
    Prepare,
    Promise,
    ProposeFirstView,
    ViewDecided,
)
from hollowusher.protocol.view import View, Voter
from hollowusher.storage.interface import Slot, StorageError
from hollowusher.transport.interface import PeerError, Transport

VOTE_TIMEOUT_S = 1.0
CONFIRM_TIMEOUT_S = 0.4
MAX_BACKOFF_S = 0.2


class ViewConsensus:
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
        self._machine = VoterStateMachine(me.name, me.disk_id, slot.load())
        self._request_ids = itertools.count()
        self._responses: dict[int, asyncio.Future[Any]] = {}
        self._used_epoch = self.acceptor.epoch  # of the newest view that `on_view` has been told of
        self._waiting_for_view: list[tuple[int, asyncio.Future[None]]] = []
        self._finished: asyncio.Future[bool] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def acceptor(self) -> Acceptor:
        """This controller's vote."""
        return self._machine.acceptor

    @property
    def view(self) -> View | None:
        """The newest decided view known."""
        return self.acceptor.decided

    async def learn(self, view: View) -> bool:
        """Take a decided view; whether it was a newer one.  It is in use when this returns."""
        newer = self._machine.learn(view)
        self._execute()
        if self._used_epoch < view.epoch <= self.acceptor.epoch:
            used: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting_for_view.append((view.epoch, used))
            await used
        return newer

    async def accept_first_view(self, message: ProposeFirstView) -> FirstViewResponse:
        """Hold the first proposed view 1."""
        answer: FirstViewResponse = await self._request(self._machine.accept_first_view, message)
        return answer

    async def prepare(self, message: Prepare) -> Promise:
        """Vote in the first phase."""
        answer: Promise = await self._request(self._machine.prepare, message)
        return answer

    async def accept(self, message: Accept) -> Accepted:
        """Vote in the second phase."""
        answer: Accepted = await self._request(self._machine.accept, message)
        return answer

    def confirm(self, message: ConfirmEpoch) -> EpochConfirmed:
        """Whether this voter knows of no later view."""
        return EpochConfirmed(self.acceptor.confirm(message), self.acceptor.epoch)

    async def majority_confirms(self, epoch: int) -> bool:
        """Whether a majority of the voters of the view `epoch` has accepted no later one."""
        view = self.view
        if view is None or view.epoch != epoch:
            return False
        confirmed = {self._me.name} if self.acceptor.confirms(epoch) else set()
        pending = {self._start_task(self._confirmed_by(voter, view)) for voter in view.voters}
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CONFIRM_TIMEOUT_S
        while len(confirmed) < quorum_size(view) and pending and loop.time() < deadline:
            done, pending = await asyncio.wait(
                pending, timeout=deadline - loop.time(), return_when=asyncio.FIRST_COMPLETED
            )
            confirmed |= {task.result() for task in done} - {""}
        return len(confirmed) >= quorum_size(view)

    async def propose(self, wanted: Callable[[View], View | None]) -> bool:
        """Try once to have the view `wanted` makes of the present one decided; whether a newer view than
        the present one is known afterwards (it may be another's)."""
        loop = asyncio.get_running_loop()
        if not self._machine.propose(loop.time(), wanted):
            return False
        finished: asyncio.Future[bool] = loop.create_future()
        self._finished = finished
        self._execute()
        try:
            while not finished.done():
                await asyncio.wait({finished}, timeout=self._seconds_left(loop.time()))
                self._machine.tick(loop.time())
                self._execute()
        finally:
            if not finished.done():  # whoever wanted it has gone
                self._machine.abandon()
                self._execute()
        if not finished.result():
            await asyncio.sleep(self._chance.uniform(0.0, MAX_BACKOFF_S))
        return finished.result()

    def announce(self, view: View, further: Iterable[Voter] = ()) -> None:
        """Tell the voters of a decided view, and some others, about it."""
        addresses = {voter.address for voter in [*view.voters, *further]} - {self._me.address}
        for address in sorted(addresses):
            self._transport.send(address, ViewDecided(view))

    def _seconds_left(self, now: float) -> float:
        deadline = self._machine.deadline
        return max(0.0, deadline - now) if deadline is not None else 0.0

    async def _request(self, take: Callable[[int, Any], None], message: Any) -> Any:
        """Have the machine answer a request; `StorageError` where the disk does not take the vote."""
        asker = next(self._request_ids)
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._responses[asker] = answer
        take(asker, message)
        self._execute()
        return await answer

    # -- the machine's outputs ---------------------------------------------------------------------------

    def _execute(self) -> None:
        """Carry out what the machine says, in its order."""
        for output in self._machine.take_instructions():
            if isinstance(output, voter_state_machine.SaveAcceptor):
                self._start_task(self._save(output.value))
            elif isinstance(output, voter_state_machine.SendResponse):
                self._deliver_response(output)
            elif isinstance(output, voter_state_machine.SendRequest):
                self._start_task(self._query(output))
            elif isinstance(output, voter_state_machine.InstallView):
                self._install_view(output.view)
            elif isinstance(output, voter_state_machine.BroadcastDecision):
                self.announce(output.view, output.base.voters)
            elif self._finished is not None and not self._finished.done():
                self._finished.set_result(output.newer)

    def _deliver_response(self, answer: voter_state_machine.SendResponse) -> None:
        future = self._responses.pop(answer.request_id)
        if future.done():  # whoever asked has gone
            return
        if answer.message is None:
            future.set_exception(StorageError("save", "the vote", "the disk has not taken it"))
        else:
            future.set_result(answer.message)

    def _install_view(self, view: View) -> None:
        self._used_epoch = view.epoch
        self._on_view(view)
        used = [future for epoch, future in self._waiting_for_view if epoch <= view.epoch]
        self._waiting_for_view = [entry for entry in self._waiting_for_view if entry[0] > view.epoch]
        for future in used:
            if not future.done():
                future.set_result(None)

    async def _save(self, value: bytes) -> None:
        try:
            await self._slot.save(value)
            taken = True
        except StorageError:
            taken = False
        self._machine.saved(taken, asyncio.get_running_loop().time())
        self._execute()

    async def _query(self, ask: voter_state_machine.SendRequest) -> None:
        """Ask another voter; None stands for no answer."""
        answer = None
        with suppress(PeerError):
            answer = await self._transport.call(ask.voter.address, ask.message, VOTE_TIMEOUT_S)
        self._machine.answered(ask, answer, asyncio.get_running_loop().time())
        self._execute()

    async def _confirmed_by(self, voter: Voter, view: View) -> str:
        """The voter's name if it confirms the epoch, else nothing."""
        if voter.name == self._me.name:
            return ""
        message = ConfirmEpoch(view.epoch, view.cluster, voter_id(voter))
        try:
            answer = await self._transport.call(voter.address, message, CONFIRM_TIMEOUT_S)
        except PeerError:
            return ""
        return voter.name if isinstance(answer, EpochConfirmed) and answer.ok else ""

    def _start_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
