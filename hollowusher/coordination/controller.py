"""A controller: an edge process with a disk that takes part in agreeing on views and in the control chain."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from hollowusher.configuration.boot import BootSettings
from hollowusher.configuration.orders import OrderOutcome, apply_order, read_order
from hollowusher.coordination.agreement import Agreement
from hollowusher.coordination.bootstrap import SeedService, call_all, propose_first, read_view
from hollowusher.coordination.chain import EMPTY_STATE, ChainMember
from hollowusher.coordination.reconfiguration import (
    PROPOSAL_STAGGER_S,
    VoterHealth,
    choose_candidate,
    lost_member,
    plan_chain,
    plan_voters,
    presence,
    proposal_rank,
)
from hollowusher.coordination.replicator import Replicator
from hollowusher.coordination.view import find_voter, is_voter
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control import (
    Announce,
    ChainWrite,
    ChangeConfiguration,
    ConfirmEpoch,
    ControlState,
    Decided,
    Member,
    OperatorAnswer,
    Ping,
    Pong,
    ReadConfiguration,
    ReadState,
    ReadView,
    StateAnswer,
    View,
    ViewAnswer,
    Voter,
)
from hollowusher.storage.interface import Slot
from hollowusher.transport.interface import PeerError, Transport

TICK_S = 0.1
PING_INTERVAL_S = 0.2
PING_TIMEOUT_S = 0.6
SEEK_INTERVAL_S = 0.3
ANNOUNCE_INTERVAL_S = 1.0
CANDIDATE_LIFE_S = 2.5
REJOIN_INTERVAL_S = 1.0  # least time between a view and the next one that only lets voters join
FINISH_AFTER_S = 0.5  # an accepted view that is not decided by then is proposed again
AVOID_S = 3.0
CHANGE_DEADLINE_S = 2.5
CHANGE_RETRY_S = 0.1
FORWARD_CHANGE_TIMEOUT_S = 2.8
FORWARD_READ_TIMEOUT_S = 0.7
STOP_TIMEOUT_S = 1.5
HAND_OVER_TIMEOUT_S = 0.3

Update = Callable[[ControlState], ControlState | None]
UNAVAILABLE = OperatorAnswer(503, b'{"error":"no majority of the controllers can be reached"}')
NOT_CONFIGURED = OperatorAnswer(404, b'{"error":"there is no configuration yet"}')


class Controller:
    """The whole controller of one process.  `on_view` is called with each newer decided view, `on_state`
    with each state that becomes known to be committed."""

    def __init__(self, me: Member, transport: Transport, settings: BootSettings, view_slot: Slot,
                 state_slot: Slot, chance: random.Random, on_view: Callable[[View], None],
                 on_state: Callable[[ControlState], None]) -> None:
        self._me = Voter(me.name, me.disk_id, me.address)
        self._transport = transport
        self._settings = settings
        self._chance = chance
        self._on_view = on_view
        self._seed = SeedService(settings, transport)
        self._agreement = Agreement(self._me, transport, view_slot, chance, self._install)
        self._member = ChainMember(me.name, me.disk_id, state_slot.load())
        self._replicator = Replicator(self._member, transport, state_slot, on_state)
        self._health = VoterHealth(me.name, 0.0)
        self._change_lock = asyncio.Lock()
        self._candidates: dict[str, tuple[Voter, float]] = {}
        self._pinging: set[str] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._running = False
        self._leaving = False
        self._view_since = 0.0
        self._loss_since: float | None = None
        self._accepted_since: float | None = None
        self._next_ping = 0.0
        self._next_contact = 0.0
        self._flushing = False

    # -- what the others ask ---------------------------------------------------------------------------

    @property
    def view(self) -> View | None:
        """The newest decided view known."""
        return self._agreement.view

    @property
    def state(self) -> ControlState:
        """The newest state known to be committed; an empty one before the first is known."""
        return self._member.committed or EMPTY_STATE

    @property
    def is_head(self) -> bool:
        """Whether this is the chain's head, has brought its epoch into force and hears a majority."""
        return self._leads and self._member.synchronised and self._member.committed is not None

    @property
    def _leads(self) -> bool:
        member = self._member
        return (self._running and member.is_head and member.complete and member.view is not None
                and self._health.hears_majority(member.view, self._now()))

    # -- life ------------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Continue with the stored view, or look for one; the transport already listens."""
        self._running = True
        self._health = VoterHealth(self._me.name, self._now())
        stored = self._agreement.view
        if stored is not None:
            self._install(stored)
        await self._seed.start()
        self._spawn(self._run())

    async def stop(self) -> None:
        """Leave the chain by a view without this controller, if the others can do without it; then end."""
        self._leaving = True
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while self._member.in_chain and not await self._propose_leaving():
                    await asyncio.sleep(TICK_S)
        except TimeoutError:
            pass
        self._running = False
        await self._seed.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def learn(self, view: View) -> None:
        """Take a decided view that became known in another way."""
        await self._agreement.learn(view)

    async def _propose_leaving(self) -> bool:
        """Whether the chain is without this controller now, or cannot be."""
        def wanted(base: View) -> View | None:
            present = presence(self._health, base, self._member.complete, self._now())
            return plan_chain(base, present, leave=self._me.name)

        view = self.view
        if view is None or wanted(view) is None:
            return True
        await self._agreement.propose(wanted)
        if self._member.in_chain:
            return False
        await self._hand_over()
        return True

    async def _hand_over(self) -> None:
        """Be sure, before this process ends, that the others know the view without it."""
        view = self.view
        if view is not None:
            others = [voter.address for voter in view.voters if voter.name != self._me.name]
            await call_all(self._transport, others, Decided(view), HAND_OVER_TIMEOUT_S)

    async def _run(self) -> None:
        while self._running:
            await self._step()
            await asyncio.sleep(TICK_S)

    async def _step(self) -> None:
        view = self.view
        if view is None:
            await self._seek_view()
        elif not is_voter(view, self._me.name, self._me.disk_id):
            await self._ask_to_vote(view)
        else:
            self._ping_voters(view)
            await self._maintain(view)

    # -- finding a view --------------------------------------------------------------------------------

    async def _seek_view(self) -> None:
        """No decided view is known: announce this controller on the first start, else ask around."""
        if not self._due(SEEK_INTERVAL_S):
            return
        held = self._agreement.acceptor.accepted
        if held is not None and self._settled_on(held):
            outcome = await propose_first(self._transport, held)
            if outcome.decided is not None:
                await self._agreement.learn(outcome.decided)
                self._agreement.announce(outcome.decided)
                return
        addresses = set(self._settings.seed_addresses())
        if held is not None:
            addresses.update(voter.address for voter in held.voters)
        addresses.discard(self._me.address)
        if self._settings.bootstrap:
            await self._seed.handle(Announce(self._me, True))
            message: Any = Announce(self._me, True)
            answers = await call_all(self._transport, sorted(addresses), message, PING_TIMEOUT_S)
            found = [answer.view for answer in answers if isinstance(answer, ViewAnswer) and answer.view]
            newest = max(found, key=lambda known: known.epoch, default=None)
        else:
            newest = await read_view(self._transport, sorted(addresses))
        if newest is not None:
            await self._agreement.learn(newest)

    def _settled_on(self, held: View) -> bool:
        """Whether a first view has been held long enough for its proposer to have decided it."""
        if self._accepted_since is None:
            self._accepted_since = self._now()
        return self._now() - self._accepted_since > FINISH_AFTER_S

    async def _ask_to_vote(self, view: View) -> None:
        """This controller, or its new disk, is no voter: ask the voters to make it one."""
        if not self._due(ANNOUNCE_INTERVAL_S):
            return
        addresses = {voter.address for voter in view.voters} | set(self._settings.seed_addresses())
        addresses.discard(self._me.address)
        answers = await call_all(self._transport, sorted(addresses), Announce(self._me), PING_TIMEOUT_S)
        for answer in answers:
            if isinstance(answer, ViewAnswer) and answer.view is not None:
                await self._agreement.learn(answer.view)

    def _due(self, interval: float) -> bool:
        if self._now() < self._next_contact:
            return False
        self._next_contact = self._now() + interval
        return True

    # -- views -----------------------------------------------------------------------------------------

    def _install(self, view: View) -> None:
        """A newer view has been decided."""
        self._view_since = self._now()
        self._loss_since = None
        self._accepted_since = None
        self._health.track([voter.name for voter in view.voters], self._now())
        self._seed.learn(view)
        self._replicator.install(view)
        self._on_view(view)
        if self._running:
            self._flush()

    def _ping_voters(self, view: View) -> None:
        if self._now() < self._next_ping:
            return
        self._next_ping = self._now() + PING_INTERVAL_S
        for voter in view.voters:
            if voter.name != self._me.name and voter.name not in self._pinging:
                self._pinging.add(voter.name)
                self._spawn(self._ping(voter, view.epoch))

    async def _ping(self, voter: Voter, epoch: int) -> None:
        try:
            answer = await self._transport.call(voter.address, Ping(self._me.name, epoch), PING_TIMEOUT_S)
        except PeerError as error:
            if _refused(error):
                self._health.refused(voter.name)
            return
        finally:
            self._pinging.discard(voter.name)
        if isinstance(answer, Pong):
            await self._take_pong(voter, answer)

    async def _take_pong(self, voter: Voter, pong: Pong) -> None:
        if pong.name != voter.name or pong.disk_id != voter.disk_id:
            self._health.refused(voter.name)
            return
        self._health.answered(pong, self._now())
        view = self.view
        if view is not None and pong.epoch < view.epoch:
            self._transport.send(voter.address, Decided(view))
        elif view is None or pong.epoch > view.epoch:
            await self._catch_up(voter.address)

    async def _catch_up(self, address: str) -> None:
        newest = await read_view(self._transport, [address])
        if newest is not None:
            await self._agreement.learn(newest)

    async def _maintain(self, view: View) -> None:
        """Keep the chain of those that are there."""
        now = self._now()
        if not self._health.hears_majority(view, now) or self._leaving:
            return
        self._flush()
        if lost_member(view, self._health, now):
            await self._replace_lost(view, now)
            return
        self._loss_since = None
        if await self._finish_accepted(now):
            return
        if self._member.is_head and now - self._view_since > REJOIN_INTERVAL_S:
            await self._admit(view, now)

    async def _replace_lost(self, view: View, now: float) -> None:
        """Propose a chain without the dead, after those that come earlier in the chain."""
        present = presence(self._health, view, self._member.complete, now)
        rank = proposal_rank(view, present, self._me.name)
        if rank is None:
            return
        if self._loss_since is None:
            self._loss_since = now
        if now - self._loss_since >= rank * PROPOSAL_STAGGER_S:
            await self._agreement.propose(lambda base: plan_chain(base, present) if base == view else None)

    async def _finish_accepted(self, now: float) -> bool:
        """Bring a view to its end that was accepted here but not heard of since; whether there is one."""
        accepted = self._agreement.acceptor.accepted
        if accepted is None:
            self._accepted_since = None
            return False
        if self._accepted_since is None:
            self._accepted_since = now + self._chance.uniform(0.0, FINISH_AFTER_S)
        if now - self._accepted_since > FINISH_AFTER_S:
            self._accepted_since = None
            await self._agreement.propose(lambda base: accepted if accepted.epoch == base.epoch + 1 else None)
        return True

    async def _admit(self, view: View, now: float) -> None:
        """Let voters that came back join the chain, and controllers that ask become voters."""
        present = presence(self._health, view, self._member.complete, now)
        if plan_chain(view, present) is not None:
            await self._agreement.propose(lambda base: plan_chain(base, present) if base == view else None)
            return
        recent = [voter for voter, heard in self._candidates.values() if now - heard < CANDIDATE_LIFE_S]
        chosen = choose_candidate(view, recent, self._health, now)
        if chosen is not None:
            await self.propose_voters(*chosen)

    async def propose_voters(self, add: Voter, remove: str | None) -> bool:
        """Head: propose a view with a further voter, and without another one."""
        return await self._agreement.propose(lambda base: plan_voters(base, add, remove))

    # -- the chain -------------------------------------------------------------------------------------

    def _flush(self) -> None:
        """Head: bring the state held into force in this epoch."""
        if self._member.is_head and not self._member.settled and not self._flushing:
            self._flushing = True
            self._spawn(self._flush_now())

    async def _flush_now(self) -> None:
        try:
            await self.change(lambda state: None)
        finally:
            self._flushing = False

    async def change(self, update: Update) -> bool:
        """Head: commit what `update` makes of the newest state (None: leave it).  True once the result is
        committed; False where that is not known in time, or this is not the head."""
        deadline = self._now() + CHANGE_DEADLINE_S
        try:
            async with asyncio.timeout_at(deadline):
                await self._change_lock.acquire()
        except TimeoutError:
            return False
        try:
            return await self._change(update, deadline)
        finally:
            self._change_lock.release()

    async def _change(self, update: Update, deadline: float) -> bool:
        if not self._leads or not await self._settle(deadline):
            return False
        wanted = update(self._member.state)
        if wanted is None:
            return True
        await self._push(wanted)
        written = self._member.state
        settled = await self._settle(deadline)
        return settled and self._member.state is written

    async def _settle(self, deadline: float) -> bool:
        """Have the chain keep the newest state, trying again while this is the head."""
        while not self._member.settled:
            if self._now() >= deadline or not self._leads:
                return False
            if not await self._push(None):
                await asyncio.sleep(CHANGE_RETRY_S)
        return True

    async def _push(self, state: ControlState | None) -> bool:
        answer = await self._replicator.push(state)
        if answer.unreachable:
            self._health.avoid(answer.unreachable, self._now() + AVOID_S)
        return answer.ok

    # -- messages --------------------------------------------------------------------------------------

    async def handle(self, message: Any) -> Any:
        """Answer a message of the controllers or the operator; None for one-way messages and others."""
        work = self._agreement.handler(message)
        if work is not None:
            answer = await work
            return None if isinstance(message, Decided) else answer
        if isinstance(message, ChainWrite):
            return await self._receive(message)
        if isinstance(message, Ping):
            return self._pong(message)
        if isinstance(message, ConfirmEpoch):
            return self._agreement.confirm(message)
        if isinstance(message, ReadView):
            return ViewAnswer(self.view)
        if isinstance(message, Announce):
            return await self._note_candidate(message)
        if isinstance(message, ChangeConfiguration):
            return await self._change_configuration(message)
        if isinstance(message, ReadConfiguration):
            return await self._read_configuration(message)
        if isinstance(message, ReadState):
            return await self._read_state(message)
        return None

    async def _receive(self, write: ChainWrite) -> Any:
        view = self.view
        if view is not None and write.epoch > view.epoch:
            newest = await read_view(self._transport, [voter.address for voter in view.voters
                                                       if voter.name != self._me.name])
            if newest is not None:
                await self._agreement.learn(newest)
        return await self._replicator.receive(write)

    def _pong(self, ping: Ping) -> Pong:
        view = self.view
        sender = find_voter(view, ping.name) if view is not None else None
        if view is not None and sender is not None and ping.epoch > view.epoch:
            self._spawn(self._catch_up(sender.address))
        epoch = view.epoch if view is not None else 0
        return Pong(self._me.name, self._me.disk_id, epoch, self._member.complete,
                    self._health.heard(self._now()), self._leaving)

    async def _note_candidate(self, message: Announce) -> ViewAnswer:
        if not message.bootstrap:
            self._candidates[message.voter.name] = (message.voter, self._now())
        await self._seed.handle(message)
        return ViewAnswer(self.view)

    async def _change_configuration(self, message: ChangeConfiguration) -> OperatorAnswer:
        view = self.view
        if view is None:
            return UNAVAILABLE
        if not self._member.is_head:
            answer = await self._forward(view.head, message, FORWARD_CHANGE_TIMEOUT_S)
            return answer if isinstance(answer, OperatorAnswer) else UNAVAILABLE
        if not self._leads:
            return UNAVAILABLE
        return await self._take_order(message)

    async def _take_order(self, message: ChangeConfiguration) -> OperatorAnswer:
        """Head: check an order against the newest state and commit what it asks for."""
        read = read_order(message.method, message.if_match, message.body)
        if read.is_error():
            return read.error.answer()
        order = read.ok
        outcomes: list[OrderOutcome] = []

        def update(state: ControlState) -> ControlState | None:
            outcome = apply_order(state, order)
            outcomes.append(outcome)
            return outcome.state

        committed = await self.change(update)
        if not committed or not outcomes:
            return UNAVAILABLE
        answer = outcomes[0].answer
        if answer.status != 200 and not await self._agreement.majority_confirms(self._member.epoch):
            return UNAVAILABLE
        return answer

    async def _read_configuration(self, message: ReadConfiguration) -> OperatorAnswer:
        if not self._member.is_tail:
            answer = await self._forward_read(message)
            return answer if isinstance(answer, OperatorAnswer) else UNAVAILABLE
        state = await self._confirmed_state()
        if state is None:
            return UNAVAILABLE
        return OperatorAnswer(200, state.document) if state.generation else NOT_CONFIGURED

    async def _read_state(self, message: ReadState) -> StateAnswer:
        if not self._member.is_tail:
            answer = await self._forward_read(message)
            return answer if isinstance(answer, StateAnswer) else StateAnswer(None)
        state = await self._confirmed_state()
        return StateAnswer(state, self._member.epoch)

    async def _confirmed_state(self) -> ControlState | None:
        """Tail: the newest committed state, once a majority says that the view is still the newest."""
        view = self._member.view
        if view is None or not self._member.synchronised:
            return None
        if not self._health.hears_majority(view, self._now()):
            return None
        state = self._member.state
        return state if await self._agreement.majority_confirms(view.epoch) else None

    async def _forward_read(self, message: ReadConfiguration | ReadState) -> Any:
        view = self.view
        return None if view is None else await self._forward(view.tail, message, FORWARD_READ_TIMEOUT_S)

    async def _forward(self, name: str, message: Any, timeout: float) -> Any:
        """Pass an order or a question on to another member of the chain; None where that does not help."""
        view = self.view
        voter = find_voter(view, name) if view is not None else None
        if view is None or voter is None or message.forwarded or name == self._me.name:
            return None
        votes = is_voter(view, self._me.name, self._me.disk_id)
        if votes and not self._health.hears(name, self._now()):
            return None
        try:
            return await self._transport.call(voter.address, evolve(message, forwarded=True), timeout)
        except PeerError:
            return None

    # -- small helpers ---------------------------------------------------------------------------------

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _refused(error: PeerError) -> bool:
    """Whether nothing listens at the peer's address (a silent peer runs into a timeout instead)."""
    return not error.sent and "in time" not in error.reason
