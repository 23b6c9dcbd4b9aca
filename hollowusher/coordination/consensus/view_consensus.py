"""Consensus on the view over the network: executes the instructions of `VoterStateMachine` in order.

`ViewConsensus` owns the state machine, the slot on disk with the state of the acceptor, and the tasks that
save this state and send requests.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine, Iterable
from contextlib import suppress
from typing import TypeVar, assert_never

from hollowusher.coordination.consensus.bootstrap import FirstViewBallots
from hollowusher.coordination.consensus.paxos import Acceptor, is_same_cluster, quorum_size, voter_id
from hollowusher.coordination.consensus.proposal_backoff import ProposalBackoff
from hollowusher.coordination.consensus.voter_instructions import (
    BroadcastDecision,
    EndProposal,
    FailRequest,
    InstallView,
    Instruction,
    SaveAcceptor,
    SendRequest,
    SendResponse,
)
from hollowusher.coordination.consensus.voter_state_machine import PlanView, VoterStateMachine
from hollowusher.protocol.consensus import (
    Accept,
    Accepted,
    ConfirmEpoch,
    EpochConfirmed,
    Prepare,
    Promise,
    ViewDecided,
)
from hollowusher.protocol.view import View, Voter
from hollowusher.storage.interface import Slot, StorageError
from hollowusher.transport.interface import PeerError, Transport

VOTE_TIMEOUT_S = 1.0
CONFIRM_TIMEOUT_S = 0.4

Result = TypeVar("Result")
Response = Promise | Accepted


class ViewConsensus:
    """The consensus participant of one controller.

    It calls `on_view` with each newer decided view.
    """

    def __init__(
        self,
        me: Voter,
        transport: Transport,
        slot: Slot,
        random_source: random.Random,
        on_view: Callable[[View], None],
    ) -> None:
        self._me = me
        self._transport = transport
        self._slot = slot
        self._backoff = ProposalBackoff(random_source)
        self._first_view_ballots = FirstViewBallots(transport, random_source)
        self._on_view = on_view
        self._machine = VoterStateMachine(me.name, me.disk_id, slot.load())
        self._request_ids = itertools.count()
        self._responses: dict[int, asyncio.Future[Response]] = {}  # by id of the pending request
        self._installed_epoch = self.acceptor.epoch  # epoch of the view last passed to `on_view`
        self._waiting_for_view: list[tuple[int, asyncio.Future[None]]] = []  # epoch, its waiter
        self._proposal_result: asyncio.Future[bool] | None = None
        self._tasks: set[asyncio.Task[object]] = set()
        self._save_failure = ""  # reason of the last failed save of the acceptor

    @property
    def acceptor(self) -> Acceptor:
        """The acceptor of this controller."""
        return self._machine.acceptor

    @property
    def view(self) -> View | None:
        """The newest known decided view."""
        return self.acceptor.decided

    async def learn(self, view: View) -> bool:
        """Adopt a decided view if it is newer than the known one; return whether it is.

        If the view is adopted, `on_view` has been called with it or with a later one on return.
        """
        is_newer = self._machine.learn(view)
        self._execute_instructions()
        if self._installed_epoch < view.epoch <= self.acceptor.epoch:
            installed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting_for_view.append((view.epoch, installed))
            await installed
        return is_newer

    async def stop(self) -> None:
        """Cancel the requests and saves in progress: a stopped voter sends nothing.

        A cancelled save leaves the slot unchanged, and no response has been sent that depends on it.
        """
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # -- requests of other voters --------------------------------------------------------------------------

    async def prepare(self, message: Prepare) -> Promise:
        """Vote in phase 1; raise `StorageError` if the vote cannot be saved."""
        request_id, response = self._new_request()
        self._machine.prepare(request_id, message)
        answer = await self._answer(response)
        assert isinstance(answer, Promise)
        return answer

    async def accept(self, message: Accept) -> Accepted:
        """Vote in phase 2; raise `StorageError` if the vote cannot be saved."""
        request_id, response = self._new_request()
        self._machine.accept(request_id, message)
        answer = await self._answer(response)
        assert isinstance(answer, Accepted)
        return answer

    def confirm(self, message: ConfirmEpoch) -> EpochConfirmed:
        """Return the response to a request to confirm that this voter knows no later view."""
        confirmed = self.acceptor.confirm(message)
        own = self.view
        is_foreign = own is not None and not is_same_cluster(own.cluster, message.cluster)
        return EpochConfirmed(confirmed, 0 if is_foreign else self.acceptor.epoch)

    def _new_request(self) -> tuple[int, asyncio.Future[Response]]:
        request_id = next(self._request_ids)
        response: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        self._responses[request_id] = response
        return request_id, response

    async def _answer(self, response: asyncio.Future[Response]) -> Response:
        self._execute_instructions()
        return await response

    # -- proposals and confirmations -----------------------------------------------------------------------

    async def propose(self, plan: PlanView) -> bool:
        """Propose the view that `plan` returns for the newest known view, in one ballot.

        Return whether a newer view is known afterwards; it may be the proposal of another voter.  After a
        failed proposal this waits for a random backoff, or until a newer view is installed.
        """
        loop = asyncio.get_running_loop()
        if not self._machine.propose(loop.time(), plan):
            return False
        result: asyncio.Future[bool] = loop.create_future()
        self._proposal_result = result
        self._execute_instructions()
        try:
            while not result.done():
                await asyncio.wait({result}, timeout=self._seconds_left(loop.time()))
                self._machine.tick(loop.time())
                self._execute_instructions()
        finally:
            if not result.done():  # the caller was cancelled
                self._machine.abandon()
                self._execute_instructions()
        if not result.result():
            epoch = self.acceptor.epoch + 1
            await self._wait_for_view(epoch, self._backoff.next_pause_s(epoch))
        return result.result()

    async def complete_first_view(self, accepted: View) -> View | None:
        """Run a ballot for a first view that this voter has accepted; return the decided view or None."""
        return await self._first_view_ballots.propose(accepted.voters, lambda _promised: accepted)

    async def _wait_for_view(self, epoch: int, longest_s: float) -> None:
        """Wait until a view of this epoch or a later one is installed, at most `longest_s` seconds."""
        installed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = (epoch, installed)
        self._waiting_for_view.append(waiting)
        try:
            await asyncio.wait({installed}, timeout=longest_s)
        finally:
            if waiting in self._waiting_for_view:
                self._waiting_for_view.remove(waiting)

    def _seconds_left(self, now_s: float) -> float:
        deadline_s = self._machine.deadline_s
        return max(0.0, deadline_s - now_s) if deadline_s is not None else 0.0

    async def quorum_confirms(self, epoch: int) -> bool:
        """Return whether a quorum of the voters of view `epoch` confirms that it has accepted no later view.

        Return False if `epoch` is not the newest view known here, or after `CONFIRM_TIMEOUT_S` without a
        quorum.
        """
        view = self.view
        if view is None or view.epoch != epoch:
            return False
        confirmed = {self._me.name} if self.acceptor.confirms(epoch) else set()
        pending = {self._start_task(self._ask_to_confirm(voter, view)) for voter in view.voters}
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + CONFIRM_TIMEOUT_S
        while len(confirmed) < quorum_size(view) and pending and loop.time() < deadline_s:
            done, pending = await asyncio.wait(
                pending, timeout=deadline_s - loop.time(), return_when=asyncio.FIRST_COMPLETED
            )
            confirmed |= {name for task in done if (name := task.result()) is not None}
        return len(confirmed) >= quorum_size(view)

    async def _ask_to_confirm(self, voter: Voter, view: View) -> str | None:
        """Return the voter's name if the voter confirms the epoch of the view, None otherwise."""
        if voter.name == self._me.name:
            return None
        message = ConfirmEpoch(view.epoch, view.cluster, voter_id(voter))
        try:
            answer = await self._transport.call(voter.address, message, CONFIRM_TIMEOUT_S)
        except PeerError:
            return None
        return voter.name if isinstance(answer, EpochConfirmed) and answer.ok else None

    def broadcast_decision(self, view: View, others: Iterable[Voter] = ()) -> None:
        """Send a decided view to its voters and to the `others`, without waiting for responses."""
        addresses = {voter.address for voter in [*view.voters, *others]} - {self._me.address}
        for address in sorted(addresses):
            self._transport.send(address, ViewDecided(view))

    # -- instructions of the state machine -----------------------------------------------------------------

    def _execute_instructions(self) -> None:
        for instruction in self._machine.pop_instructions():
            self._execute(instruction)

    def _execute(self, instruction: Instruction) -> None:
        match instruction:
            case SaveAcceptor():
                self._start_task(self._save(instruction.encoded))
            case SendResponse():
                self._send_response(instruction)
            case FailRequest():
                self._fail_request(instruction)
            case SendRequest():
                self._start_task(self._send_request(instruction))
            case InstallView():
                self._install(instruction.view)
            case BroadcastDecision():
                self.broadcast_decision(instruction.view, instruction.base.voters)
            case EndProposal():
                self._end_proposal(instruction)
            case _:
                assert_never(instruction)

    def _send_response(self, instruction: SendResponse) -> None:
        response = self._responses.pop(instruction.request_id)
        if not response.done():  # a done future belongs to a cancelled caller
            response.set_result(instruction.message)

    def _fail_request(self, instruction: FailRequest) -> None:
        response = self._responses.pop(instruction.request_id)
        if not response.done():
            response.set_exception(StorageError("save", "the vote", self._save_failure))

    def _install(self, view: View) -> None:
        self._installed_epoch = view.epoch
        self._on_view(view)
        installed = [future for epoch, future in self._waiting_for_view if epoch <= view.epoch]
        self._waiting_for_view = [waiting for waiting in self._waiting_for_view if waiting[0] > view.epoch]
        for future in installed:
            if not future.done():
                future.set_result(None)

    def _end_proposal(self, instruction: EndProposal) -> None:
        if self._proposal_result is not None and not self._proposal_result.done():
            self._proposal_result.set_result(instruction.newer_view_known)

    async def _save(self, encoded: bytes) -> None:
        try:
            await self._slot.save(encoded)
            durable = True
        except StorageError as error:
            self._save_failure = error.reason
            durable = False
        self._machine.on_saved(asyncio.get_running_loop().time(), durable=durable)
        self._execute_instructions()

    async def _send_request(self, request: SendRequest) -> None:
        answer: object = None
        with suppress(PeerError):
            answer = await self._transport.call(request.voter.address, request.message, VOTE_TIMEOUT_S)
        self._machine.on_response(request, answer, asyncio.get_running_loop().time())
        self._execute_instructions()

    def _start_task(self, work: Coroutine[object, object, Result]) -> asyncio.Task[Result]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
