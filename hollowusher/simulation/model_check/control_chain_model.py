"""The control chain across changes of the view: states, saves, losses, replacements and reads in any order.

Real are `VoterStateMachine`, `ChainMember` and the planning functions of `coordination.reconfiguration`; the
order in which a member saves, passes on and answers is that of `coordination.replicator`.  One ballot is one
step: any majority promises, any of them are reached by the acceptances, and the proposer learns of it.
What ballots do to each other message by message is the matter of `agreement_model`.

The network only grows, as there.  A disk may be lost while no other voter's disk is lost and the newest view
is in force on its whole chain: the tolerance of one machine, up to the moment at which it counts again.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Iterator
from functools import cache, partial
from itertools import combinations
from typing import Any, NamedTuple

import attrs

from hollowusher.coordination.chain.chain_member import ChainMember, encode_write
from hollowusher.coordination.chain.pending_change import PendingChange
from hollowusher.coordination.consensus import voter_instructions
from hollowusher.coordination.consensus.liveness_snapshot import LivenessSnapshot
from hollowusher.coordination.consensus.paxos import (
    Acceptor,
    find_voter,
    first_view,
    is_voter,
    quorum_size,
    voter_id,
)
from hollowusher.coordination.consensus.reconfiguration import plan_chain, plan_voters, proposal_rank
from hollowusher.coordination.consensus.voter_state_machine import VoterStateMachine
from hollowusher.protocol.codec import decode, encode, evolve
from hollowusher.protocol.consensus import Accept, ConfirmEpoch, Prepare
from hollowusher.protocol.control_chain import ChainWrite, ControlState
from hollowusher.protocol.view import View, Voter
from hollowusher.simulation.model_check.interning import Interner, clone, fingerprint, set_bits

MakeChange = Callable[[], PendingChange]
MakeMember = Callable[[str, str, bytes | None], ChainMember]
NAMES = "abcdefgh"
NOW = 0.0


@attrs.frozen
class ChainBounds:
    """How much may happen."""

    controllers: int = 3
    views: int = 2  # ballots
    orders: int = 1
    restarts: int = 0
    wipes: int = 0
    newcomers: int = 0  # further controllers that may become voters
    settled: bool = True  # begin with the first view in force
    partial_ballots: bool = True  # also ballots whose acceptances reach only a part of the promising quorum


class StateWrite(NamedTuple):
    """A state on its way to the next member of the chain."""

    receiver: str
    sender: str
    incarnation: int
    encoded: bytes


class StateWriteAck(NamedTuple):
    """The answer to a write: the tail has it."""

    receiver: str
    incarnation: int
    encoded: bytes


class ViewNotice(NamedTuple):
    """A decided view; to nobody: a note for the properties."""

    receiver: str
    encoded: bytes


class CommittedState(NamedTuple):
    """Note: the tail has saved this state."""

    epoch: int
    encoded: bytes
    receiver: str = ""


class AcknowledgedOrder(NamedTuple):
    """Note: an operator was told that this order, made on the version `base`, is taken."""

    generation: int
    base: int
    receiver: str = ""


class CompletenessClaim(NamedTuple):
    """Note: this voter has said that it holds every committed state in this epoch."""

    voter: str
    epoch: int
    receiver: str = ""


Message = StateWrite | StateWriteAck | ViewNotice | CommittedState | AcknowledgedOrder | CompletenessClaim


@attrs.define
class PendingOrder:
    """An operator's order at a head that has not answered it yet."""

    generation: int
    base: int
    change: PendingChange
    is_answered: bool = False  # the chain has answered the write, or the time for that is over


@attrs.define
class ChainNode:
    """One controller: its process and its disk."""

    voter: Voter
    machine: VoterStateMachine
    member: ChainMember
    vote_disk: bytes | None
    state_disk: bytes | None
    incarnation: int = 1
    saving: ChainWrite | None = None
    askers: frozenset[StateWrite] = frozenset()  # writes taken in this life that are not answered yet
    passed_on: bytes = b""  # the newest write sent on in this life
    order: PendingOrder | None = None  # the order that is being brought into force


class PendingRead(NamedTuple):
    """A read of an old state that waits for a majority to confirm the epoch."""

    place: int
    incarnation: int
    view: bytes  # in which it was begun
    confirmed: frozenset[str] = frozenset()
    done: bool = False


class ChainState(NamedTuple):
    """Numbers of the processes' states, the messages ever sent (one bit each), and what has happened."""

    nodes: tuple[int, ...]
    network: int
    views: int = 0
    orders: int = 0
    restarts: int = 0
    wipes: int = 0
    read: PendingRead | None = None


class ControlChainModel:
    """See `explorer.Model`."""

    def __init__(
        self,
        bounds: ChainBounds,
        make_member: MakeMember = ChainMember,
        make_change: MakeChange = PendingChange,
    ) -> None:
        self._bounds = bounds
        self._make_member = make_member
        self._make_change = make_change
        names = NAMES[: bounds.controllers + bounds.newcomers]
        self._controllers = [Voter(name, f"disk-{name}", f"{name}:1") for name in names]
        self._base = first_view(self._controllers[: bounds.controllers], "cluster")
        self._places = {voter.name: place for place, voter in enumerate(self._controllers)}
        self._nodes: Interner[ChainNode] = Interner(fingerprint)
        self._messages: Interner[Message] = Interner(_message_key)
        self._known: dict[tuple[int, str, int], tuple[int, int]] = {}
        self._played: dict[Hashable, tuple[tuple[int, ...], int] | None] = {}
        self._going_on: dict[tuple[tuple[int, ...], int], bool] = {}
        self._judge = cache(self._judged)
        self._noted = 0
        self._sent = 0  # by the step under way

    def initial(self) -> ChainState:
        self._sent = 0
        nodes = [self._first(voter) for voter in self._controllers]
        for node in nodes:
            self._after(node)
        self._note(ViewNotice("", encode(self._base)))
        state = ChainState(tuple(self._nodes.number(node) for node in nodes), self._sent)
        return self._in_force(state) if self._bounds.settled else state

    def _in_force(self, state: ChainState) -> ChainState:
        """The state once the first view is in force on the whole chain."""
        bounds, self._bounds = (
            self._bounds,
            attrs.evolve(self._bounds, views=0, orders=0, restarts=0, wipes=0),
        )
        while not self._nodes[state.nodes[0]].member.is_committed:
            *_, (_, state) = self.steps(state)
        self._bounds = bounds
        return state

    def _first(self, voter: Voter) -> ChainNode:
        acceptor = Acceptor(voter.name, voter.disk_id)
        acceptor.learn(self._base)
        disk = acceptor.dump()
        node = ChainNode(
            voter,
            VoterStateMachine(voter.name, voter.disk_id, disk),
            self._make_member(voter.name, voter.disk_id, None),
            disk,
            None,
        )
        node.member.install(self._base)
        return node

    # -- what can happen -----------------------------------------------------------------------------------

    def steps(self, state: ChainState) -> Iterator[tuple[str, ChainState]]:
        if state.read is not None:
            yield from self._read_steps(state, state.read)
        for number in set_bits(state.network & ~self._noted):
            message = self._messages[number]
            place = self._places[message.receiver]
            label = f"{message.receiver} takes {_describe_message(message)}"
            yield from self._step(state, place, label, partial(self._take, message), number)
        for place, number in enumerate(state.nodes):
            yield from self._own_steps(state, place, self._nodes[number])

    def _own_steps(self, state: ChainState, place: int, node: ChainNode) -> Iterator[tuple[str, ChainState]]:
        name, member = node.voter.name, node.member
        if node.saving is not None:
            yield from self._step(state, place, f"{name}: state saved", self._state_saved)
        elif member.may_write:
            if not member.is_committed:
                yield from self._step(state, place, f"{name} brings its state into force", self._flush)
            elif state.orders < self._bounds.orders and node.order is None:
                counted = state._replace(orders=state.orders + 1)
                label = f"{name} takes order {counted.orders}"
                yield from self._step(counted, place, label, partial(self._order, counted.orders))
        if node.order is not None and not node.order.is_answered and node.saving is None:
            yield from self._step(state, place, f"{name}: its write ends", self._write_ended)
        if state.restarts < self._bounds.restarts:
            counted = state._replace(restarts=state.restarts + 1)
            for kept in (True, False) if node.saving is not None else (False,):
                label = f"{name} restarts, the state under way {'kept' if kept else 'lost'}"
                yield from self._step(counted, place, label, partial(self._restart, kept))
        if state.wipes < self._bounds.wipes and self._may_lose(state, place):
            counted = state._replace(wipes=state.wipes + 1)
            yield from self._step(counted, place, f"{name} loses its disk", self._wipe)
        if state.views < self._bounds.views and not node.machine.is_proposing:
            yield from self._ballots(state, place, node)
        if state.read is None and member.is_readable and self._old(state, node):
            yield (
                f"{name} begins a read of an old state",
                state._replace(read=PendingRead(place, node.incarnation, encode(member.view))),
            )

    def _step(
        self,
        state: ChainState,
        place: int,
        label: str,
        change: Callable[[ChainNode], object],
        message: int = -1,
    ) -> Iterator[tuple[str, ChainState]]:
        before = state.nodes[place]
        known = self._known.get((before, label, message))
        if known is None:
            node = clone(self._nodes[before])
            self._sent = 0
            change(node)
            self._after(node)
            known = self._known[before, label, message] = (self._nodes.number(node), self._sent)
        after, sent = known
        if after != before or state.network | sent != state.network:
            nodes = (*state.nodes[:place], after, *state.nodes[place + 1 :])
            yield label, state._replace(nodes=nodes, network=state.network | sent)

    def _take(self, message: Message, node: ChainNode) -> None:
        if isinstance(message, ViewNotice):
            node.machine.learn(_decoded(message.encoded))
        elif isinstance(message, StateWrite) and node.saving is None:
            write: ChainWrite = _decoded(message.encoded)
            if node.member.accepts(write):
                node.askers |= {message}
                node.saving = write
        elif isinstance(message, StateWriteAck) and message.incarnation == node.incarnation:
            self._have_committed(node, _decoded(message.encoded))

    def _state_saved(self, node: ChainNode) -> None:
        write = node.saving
        assert write is not None
        node.state_disk = encode_write(write)
        node.saving = None
        node.member.record_saved(write)
        if node.order is not None and node.order.generation == write.state.generation:
            node.order.change.on_saved(write)
        if node.member.epoch != write.epoch:
            return
        node.passed_on = encode(write)
        following = node.member.successor()
        if following is not None:
            self._send(StateWrite(following, node.voter.name, node.incarnation, encode(write)))
        else:
            self._note(CommittedState(write.epoch, encode(write.state)))
            self._have_committed(node, write)

    def _have_committed(self, node: ChainNode, write: ChainWrite) -> None:
        node.member.commit(write)
        for asker in node.askers:
            if asker.encoded == encode(write):
                self._send(StateWriteAck(asker.sender, asker.incarnation, asker.encoded))

    def _flush(self, node: ChainNode) -> None:
        write = node.member.make_write()
        if encode(write) != node.passed_on:  # else it is under way, and may arrive at any time
            node.saving = write

    def _order(self, generation: int, node: ChainNode) -> None:
        state = node.member.state
        wanted = evolve(state, generation=generation, history=[*state.history, [generation, ""]])
        node.saving = node.member.make_write(wanted)
        node.order = PendingOrder(generation, state.generation, self._make_change())

    @staticmethod
    def _write_ended(node: ChainNode) -> None:
        assert node.order is not None
        node.order.is_answered = True
        node.order.change.on_answer(node.member)

    def _restart(self, kept: bool, node: ChainNode) -> None:
        if kept:
            assert node.saving is not None
            node.state_disk = encode_write(node.saving)
        node.saving = None
        node.askers = frozenset()
        node.passed_on = b""
        node.order = None
        node.incarnation += 1
        name, disk = node.voter.name, node.voter.disk_id
        node.machine = VoterStateMachine(name, disk, node.vote_disk)
        node.member = self._make_member(name, disk, node.state_disk)
        view = node.machine.acceptor.decided
        if view is not None:
            node.member.install(view)

    def _wipe(self, node: ChainNode) -> None:
        node.voter = evolve(node.voter, disk_id=node.voter.disk_id + "'")
        node.vote_disk = node.state_disk = None
        self._restart(False, node)

    def _after(self, node: ChainNode) -> None:
        """Carry out what the voting machine says, and note what the step has brought."""
        self._perform(node)
        node.machine.acceptor.foreign_rejections = 0
        member = node.member
        order = node.order
        if order is not None and order.is_answered and order.change.is_committed(member):
            self._note(AcknowledgedOrder(order.generation, order.base))
        if order is not None and order.is_answered and not order.change.is_in_progress(member):
            node.order = None  # the operator gets 503
        elif order is not None and order.is_answered and member.is_committed:
            node.order = None
        if member.complete:
            self._note(CompletenessClaim(voter_id(node.voter), member.epoch))

    def _perform(self, node: ChainNode) -> list[voter_instructions.Instruction]:
        """Save and learn; the outputs for others."""
        others: list[voter_instructions.Instruction] = []
        while outputs := node.machine.pop_instructions():
            for output in outputs:
                if isinstance(output, voter_instructions.SaveAcceptor):
                    node.vote_disk = output.encoded
                    node.machine.on_saved(NOW, durable=True)
                elif isinstance(output, voter_instructions.InstallView):
                    node.member.install(output.view)
                elif isinstance(output, voter_instructions.BroadcastDecision):
                    self._note(ViewNotice("", encode(output.view)))
                    for controller in self._controllers:
                        self._send(ViewNotice(controller.name, encode(output.view)))
                else:
                    others.append(output)
        return others

    # -- ballots -------------------------------------------------------------------------------------------

    def _ballots(self, state: ChainState, place: int, node: ChainNode) -> Iterator[tuple[str, ChainState]]:
        base = node.machine.acceptor.decided
        if base is None or not is_voter(base, node.voter.name, node.voter.disk_id):
            return
        names = [voter.name for voter in base.voters if voter.name != node.voter.name]
        for planned in self._plans(state, node, base):
            for quorum in combinations(names, quorum_size(base) - 1):
                for count in range(0 if self._bounds.partial_ballots else len(quorum), len(quorum) + 1):
                    for reached in combinations(quorum, count):
                        yield from self._ballot(state, place, planned, quorum, reached)

    def _plans(self, state: ChainState, node: ChainNode, base: View) -> list[View]:
        """The views that this controller may propose, whatever it has heard from the others."""
        claims = {
            message.voter
            for message in map(self._messages.__getitem__, set_bits(state.network & self._noted))
            if isinstance(message, CompletenessClaim) and message.epoch == base.epoch
        }
        names = [voter.name for voter in base.voters]
        complete = {voter.name for voter in base.voters if voter_id(voter) in claims}
        plans = [
            plan_chain(base, present)
            for present in _presences(names, complete, node.voter.name)
            if proposal_rank(base, present, node.voter.name) is not None
        ]
        if node.member.is_head and node.member.has_committed_in_epoch:
            controllers = [self._nodes[number].voter for number in state.nodes]
            spares = [one for one in controllers if not is_voter(base, one.name, one.disk_id)]
            for spare in spares:
                leaving = [None, *(name for name in names if name != base.head)]
                plans += [plan_voters(base, spare, name) for name in leaving]
        unique = {encode(plan): plan for plan in plans if plan is not None}
        return list(unique.values())

    def _ballot(
        self, state: ChainState, place: int, planned: View, quorum: Iterable[str], reached: tuple[str, ...]
    ) -> Iterator[tuple[str, ChainState]]:
        """One ballot: promises of the quorum, acceptances of those reached."""
        places = [place, *(self._places[name] for name in quorum)]
        before = tuple(state.nodes[one] for one in places)
        key = (before, encode(planned), tuple(reached))
        if key not in self._played:
            self._played[key] = self._play(before, planned, reached)
        played = self._played[key]
        if played is None:
            return
        nodes = list(state.nodes)
        for one, number in zip(places, played[0], strict=True):
            nodes[one] = number
        label = (
            f"{self._controllers[place].name} proposes view {planned.epoch}: voters "
            f"{_names(voter.name for voter in planned.voters)}, chain {_names(planned.chain)}; "
            f"promised by {_names(quorum)}, accepted by {_names(reached)}"
        )
        network = state.network | played[1]
        yield label, state._replace(nodes=tuple(nodes), network=network, views=state.views + 1)

    def _play(
        self, numbers: tuple[int, ...], planned: View, reached: Iterable[str]
    ) -> tuple[tuple[int, ...], int] | None:
        """What a ballot makes of the proposer, which comes first, and its quorum; None where none begins."""
        proposer, *others = (clone(self._nodes[number]) for number in numbers)
        self._sent = 0
        if not proposer.machine.propose(NOW, lambda base: planned):
            return None
        asks = self._asks(proposer)
        for voter in others:
            asks += self._ask(proposer, voter, asks, Prepare)
        for voter in others:
            if voter.voter.name in reached:
                self._ask(proposer, voter, asks, Accept)
        proposer.machine.abandon()
        for node in (proposer, *others):
            self._after(node)
        return tuple(self._nodes.number(node) for node in (proposer, *others)), self._sent

    def _asks(self, proposer: ChainNode) -> list[voter_instructions.SendRequest]:
        return [
            output for output in self._perform(proposer) if isinstance(output, voter_instructions.SendRequest)
        ]

    def _ask(
        self, proposer: ChainNode, voter: ChainNode, asks: list[voter_instructions.SendRequest], kind: type
    ) -> list[voter_instructions.SendRequest]:
        """Have one voter answer the request of this kind; what the proposer asks then."""
        for ask in asks:
            if ask.voter.name != voter.voter.name or not isinstance(ask.message, kind):
                continue
            if isinstance(ask.message, Prepare):
                voter.machine.prepare(0, ask.message)
            else:
                voter.machine.accept(0, ask.message)
            for output in self._perform(voter):
                if isinstance(output, voter_instructions.SendResponse):
                    proposer.machine.on_response(ask, output.message, NOW)
            return self._asks(proposer)
        return []

    # -- reads ---------------------------------------------------------------------------------------------

    def _old(self, state: ChainState, node: ChainNode) -> bool:
        """Whether an order was acknowledged that the tail's committed state does not hold."""
        held = node.member.committed
        kept = {generation for generation, _ in held.history} if held is not None else set()
        return bool(self._acknowledged(state) - kept)

    def _acknowledged(self, state: ChainState) -> set[int]:
        messages = map(self._messages.__getitem__, set_bits(state.network & self._noted))
        return {message.generation for message in messages if isinstance(message, AcknowledgedOrder)}

    def _read_steps(self, state: ChainState, read: PendingRead) -> Iterator[tuple[str, ChainState]]:
        reader = self._nodes[state.nodes[read.place]]
        view: View = _decoded(read.view)
        if reader.incarnation != read.incarnation or read.done:
            return
        for voter in view.voters:
            node = self._nodes[state.nodes[self._places[voter.name]]]
            question = ConfirmEpoch(view.epoch, view.cluster, voter_id(voter))
            if voter.name not in read.confirmed and clone(node.machine.acceptor).confirm(question):
                confirmed = read.confirmed | {voter.name}
                done = len(confirmed) >= quorum_size(view)
                after = read._replace(confirmed=confirmed, done=done)
                yield f"{voter.name} confirms the epoch", state._replace(read=after)

    # -- losses --------------------------------------------------------------------------------------------

    def _newest(self, state: ChainState) -> View:
        messages = map(self._messages.__getitem__, set_bits(state.network & self._noted))
        views: list[View] = [_decoded(one.encoded) for one in messages if isinstance(one, ViewNotice)]
        return max(views, key=lambda view: view.epoch)

    def _intact(self, state: ChainState, view: View) -> list[ChainNode]:
        nodes = [self._nodes[number] for number in state.nodes]
        return [node for node in nodes if is_voter(view, node.voter.name, node.voter.disk_id)]

    def _may_lose(self, state: ChainState, place: int) -> bool:
        view = self._newest(state)
        intact = self._intact(state, view)
        in_force = all(
            node.member.epoch == view.epoch and (node.member.state_epoch == view.epoch or view.epoch == 1)
            for node in intact
            if node.voter.name in view.chain
        )
        voter = self._nodes[state.nodes[place]].voter
        return len(intact) == len(view.voters) and in_force and find_voter(view, voter.name) is not None

    def _can_go_on(self, state: ChainState) -> bool:
        """Whether the disks that are left can decide the next view and hold every committed state."""
        view = self._newest(state)
        known = self._going_on.get((state.nodes, view.epoch))
        if known is None:
            known = self._going_on[state.nodes, view.epoch] = self._survives(state, view)
        return known

    def _survives(self, state: ChainState, view: View) -> bool:
        intact = self._intact(state, view)
        if len(intact) < quorum_size(view):
            return False
        alive = [node.voter.name for node in intact]
        complete = {node.voter.name for node in intact if _holds_all(node, view)}
        present = _present(alive, complete)
        whole = set(view.chain) <= set(alive) and view.head in complete
        return whole or plan_chain(view, present) is not None

    # -- properties ----------------------------------------------------------------------------------------

    def violation(self, state: ChainState) -> str:
        if state.read is not None and state.read.done:
            return "a confirmed read gave a state older than an acknowledged one"
        reason = self._judge(state.network & self._noted)
        if reason or not state.wipes or self._can_go_on(state):
            return reason
        return "what is left after one loss cannot go on"

    def _judged(self, notes: int) -> str:
        messages = [self._messages[number] for number in set_bits(notes)]
        epochs = [_decoded(one.encoded).epoch for one in messages if isinstance(one, ViewNotice)]
        if len(epochs) != len(set(epochs)):
            return "two views were decided for one epoch"
        committed = [one for one in messages if isinstance(one, CommittedState)]
        orders = [one for one in messages if isinstance(one, AcknowledgedOrder)]
        return _history_broken(committed) or _acknowledgement_broken(orders, committed)

    def describe_step(self, label: str) -> str:
        return label

    def _send(self, message: Message) -> None:
        self._sent |= 1 << self._messages.number(message)

    def _note(self, message: Message) -> None:
        bit = 1 << self._messages.number(message)
        self._sent |= bit
        self._noted |= bit


def _history_broken(committed: list[CommittedState]) -> str:
    """Each committed state holds what was committed in earlier epochs, and one order follows the other."""
    states: list[tuple[int, ControlState]] = [(one.epoch, _decoded(one.encoded)) for one in committed]
    for epoch, state in states:
        for later, other in states:
            shorter = len(state.history) <= len(other.history)
            if shorter and other.history[: len(state.history)] != state.history:
                return "two histories were committed"
            if epoch < later and not shorter:
                return f"a state committed in epoch {epoch} was lost in epoch {later}"
            if state.sequence == other.sequence and state.history != other.history:
                return f"two states were committed as number {state.sequence}"
    return ""


def _acknowledgement_broken(orders: list[AcknowledgedOrder], committed: list[CommittedState]) -> str:
    """Each acknowledged order is part of a committed state, and no two were made on the same version."""
    taken = {generation for one in committed for generation, _ in _decoded(one.encoded).history}
    for order in orders:
        if order.generation not in taken:
            return f"order {order.generation} was acknowledged and never committed"
    if len({order.base for order in orders}) < len(orders):
        return "two orders on one version were acknowledged"
    return ""


def _holds_all(node: ChainNode, view: View) -> bool:
    """Whether this member may become head after `view`, once it has learnt it."""
    since = view.since.get(node.voter.name)
    return since is not None and (since == 1 or node.member.state_epoch >= since)


def _present(alive: Iterable[str], complete: Iterable[str]) -> LivenessSnapshot:
    names = frozenset(alive)
    return LivenessSnapshot(names, frozenset(complete) & names, dict.fromkeys(names, names))


def _presences(names: list[str], complete: set[str], own: str) -> Iterator[LivenessSnapshot]:
    """Whom the proposer may take for alive, itself included."""
    others = [name for name in names if name != own]
    for count in range(len(others) + 1):
        for alive in combinations(others, count):
            yield _present([own, *alive], complete)


def _message_key(message: Message) -> Hashable:
    return type(message), message


@cache
def _decoded(encoded: bytes) -> Any:
    """A message; equal ones are one object."""
    return decode(encoded)


def _names(names: Iterable[str]) -> str:
    return "".join(names) or "nobody"


def _describe_message(message: Message) -> str:
    if isinstance(message, ViewNotice):
        return f"view {_decoded(message.encoded).epoch}"
    if isinstance(message, StateWrite | StateWriteAck):
        write: ChainWrite = _decoded(message.encoded)
        kind = type(message).__name__.lower()
        return f"{kind} of epoch {write.epoch}, state {write.state.sequence}"
    return "a note"
