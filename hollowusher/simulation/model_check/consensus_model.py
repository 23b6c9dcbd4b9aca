"""The agreement on views message by message: every order of deliveries, losses, repeats, disk completions,
restarts and proposals, on the real `VoterStateMachine`.

The network only grows: a message may be delivered at any later time, any number of times, or never, so that
losses, repeats and reordering need no steps of their own.  A reply counts only for the life that asked.  What
an acceptor has accepted durably is noted in the network as well, where nobody reads it but the properties.

Folded, unless `fine`: a voter's save that only an answer waits for ends at once.  Before its end it differs
from a request that has not arrived yet only in memory, which a restart clears and which nobody is told of.
A proposer's own vote always has its save apart.  An answer reaches the proposer at once or never: a late one
has it ask for acceptances later, and these may be late by themselves.  A refusal without a newer view only
serves to find a higher round: it is lost.  Controllers are alike but for their names, and names are compared
in ballots only: so the proposals come from the first controllers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import cache
from typing import Any, NamedTuple

import attrs

from hollowusher.coordination.consensus import voter_instructions
from hollowusher.coordination.consensus.paxos import (
    Acceptor,
    decode_ballot,
    first_view,
    quorum_size,
    voter_id,
)
from hollowusher.coordination.consensus.voter_state_machine import VoterStateMachine
from hollowusher.protocol.codec import decode, encode, evolve
from hollowusher.protocol.consensus import Accept, Prepare
from hollowusher.protocol.view import View, Voter
from hollowusher.simulation.model_check.interning import Interner, clone, fingerprint, set_bits

MakeMachine = Callable[[str, str, bytes | None], VoterStateMachine]
NAMES = "abcdefgh"
_REPLACEMENT = 1  # the plan that replaces a voter; 0: the voters stay
NOW = 0.0  # time plays no part: a proposal may be given up at any moment


@attrs.frozen
class ConsensusBounds:
    """How much may happen."""

    controllers: int = 3
    proposals: int = 2
    restarts: int = 1  # a kill or a loss of power, with the disk kept
    wipes: int = 0  # a restart with an empty disk
    failures: int = 0  # saves that fail
    replaces: bool = False  # proposals may also put a further controller in the last voter's place
    epochs: int = 1  # views decided one after the other
    fine: bool = False  # every save has an end of its own


@attrs.frozen
class ConsensusRequest:
    """A vote asked for."""

    incarnation: int  # of the asker
    ask: voter_instructions.SendRequest

    @property
    def receiver(self) -> str:
        return self.ask.voter.name

    @property
    def sender(self) -> str:
        return self.ask.ballot[1]


@attrs.frozen
class ConsensusReply:
    """A voter's answer."""

    request: ConsensusRequest
    message: Any

    @property
    def receiver(self) -> str:
        return self.request.sender


@attrs.frozen
class DecidedNotice:
    """A view that its proposer takes for decided, told to one controller."""

    receiver: str
    view: View


@attrs.frozen
class DurableVote:
    """For the properties: this disk holds an acceptance."""

    voter: str  # name and disk
    ballot: tuple[int, str]
    encoded: bytes  # the view

    receiver = ""

    @property
    def view(self) -> View:
        view: View = decode(self.encoded)
        return view


Message = ConsensusRequest | ConsensusReply | DecidedNotice | DurableVote


@attrs.define
class ConsensusNode:
    """One controller: its process and its disk."""

    voter: Voter
    machine: VoterStateMachine
    disk: bytes | None
    incarnation: int = 1
    attempts: int = 0  # proposals made
    saving: bytes | None = None  # a save is under way
    unanswered: frozenset[int] = frozenset()  # requests taken, whose answers wait for the disk
    votes: frozenset[DurableVote] = frozenset()  # acceptances in memory, not yet on disk


class NodeInput(NamedTuple):
    """What a process meets."""

    kind: str
    message: int = -1
    kept: bool = True  # what was being saved got to the disk
    plan: int = -1


class ConsensusState(NamedTuple):
    """Numbers of the processes' states and the messages ever sent (one bit each), and what has happened."""

    nodes: tuple[int, ...]
    network: int
    proposals: int = 0
    restarts: int = 0
    wipes: int = 0
    failures: int = 0


class ConsensusStep(NamedTuple):
    """For the trace."""

    node: str
    input: NodeInput
    answered: bool = False  # its answer has reached the proposer


class ConsensusModel:
    """See `explorer.Model`."""

    def __init__(self, bounds: ConsensusBounds, make_machine: MakeMachine = VoterStateMachine) -> None:
        self._bounds = bounds
        self._make_machine = make_machine
        names = NAMES[: bounds.controllers + bounds.replaces]
        self._controllers = [Voter(name, f"disk-{name}", f"{name}:1") for name in names]
        self._base = first_view(self._controllers[: bounds.controllers], "cluster")
        self._places = {voter.name: place for place, voter in enumerate(self._controllers)}
        self._nodes: Interner[ConsensusNode] = Interner(fingerprint)
        self._messages: Interner[Message] = Interner(fingerprint)
        self._noted = 0  # the bits of messages that only the properties read
        self._replies = 0  # the bits of answers
        self._votes = 0  # accepted durably in the step under way
        self._known: dict[tuple[int, NodeInput], tuple[int, int]] = {}
        self._judge = cache(self._judged)

    def initial(self) -> ConsensusState:
        return ConsensusState(tuple(self._nodes.number(self._first(voter)) for voter in self._controllers), 0)

    def _first(self, voter: Voter) -> ConsensusNode:
        acceptor = Acceptor(voter.name, voter.disk_id)
        acceptor.learn(self._base)
        disk = acceptor.dump()
        return ConsensusNode(voter, self._make_machine(voter.name, voter.disk_id, disk), disk)

    # -- what can happen -----------------------------------------------------------------------------------

    def steps(self, state: ConsensusState) -> Iterator[tuple[ConsensusStep, ConsensusState]]:
        for number in set_bits(state.network & ~self._noted):
            place = self._places[self._messages[number].receiver]
            for step, after in self._step(state, place, NodeInput("deliver", number), state[2:]):
                if self._bounds.fine:
                    yield step, after
                else:
                    yield from self._answered(step, after)
        for place, node in enumerate(state.nodes):
            yield from self._own_steps(state, place, self._nodes[node])

    def _answered(
        self, step: ConsensusStep, state: ConsensusState
    ) -> Iterator[tuple[ConsensusStep, ConsensusState]]:
        """The answers that a step has given are lost, or reach the proposer at once."""
        replies = state.network & self._replies
        state = state._replace(network=state.network & ~replies)
        yield step, state
        for number in set_bits(replies):
            place = self._places[self._messages[number].receiver]
            for _, after in self._step(state, place, NodeInput("deliver", number), state[2:]):
                yield step._replace(answered=True), after

    def _own_steps(
        self, state: ConsensusState, place: int, node: ConsensusNode
    ) -> Iterator[tuple[ConsensusStep, ConsensusState]]:
        bounds = self._bounds
        proposals, restarts, wipes, failures = state[2:]
        if node.saving is not None:
            yield from self._step(state, place, NodeInput("saved"), state[2:])
            if failures < bounds.failures:
                counts = (proposals, restarts, wipes, failures + 1)
                for kept in (True, False):
                    yield from self._step(state, place, NodeInput("save failed", kept=kept), counts)
        epoch = node.machine.acceptor.epoch
        if proposals < bounds.proposals and place < bounds.proposals and epoch <= bounds.epochs:
            yield from self._proposals(state, place, node)
        if restarts < bounds.restarts:
            counts = (proposals, restarts + 1, wipes, failures)
            for kept in (True, False) if node.saving is not None else (False,):
                yield from self._step(state, place, NodeInput("restart", kept=kept), counts)
        if wipes < bounds.wipes:
            counts = (proposals, restarts, wipes + 1, failures)
            yield from self._step(state, place, NodeInput("wipe"), counts)

    def _proposals(
        self, state: ConsensusState, place: int, node: ConsensusNode
    ) -> Iterator[tuple[ConsensusStep, ConsensusState]]:
        if node.machine.is_proposing:
            yield from self._step(state, place, NodeInput("abandon"), state[2:])
            return
        counts = (state.proposals + 1, *state[3:])
        for plan in range(1 + self._bounds.replaces):
            yield from self._step(state, place, NodeInput("propose", plan=plan), counts)

    def _step(
        self, state: ConsensusState, place: int, what: NodeInput, counts: tuple[int, ...]
    ) -> Iterator[tuple[ConsensusStep, ConsensusState]]:
        before = state.nodes[place]
        after, sent = self._local(before, what)
        network = state.network | sent
        if after == before and network == state.network:
            return
        nodes = (*state.nodes[:place], after, *state.nodes[place + 1 :])
        yield ConsensusStep(self._controllers[place].name, what), ConsensusState(nodes, network, *counts)

    def _local(self, number: int, what: NodeInput) -> tuple[int, int]:
        """One process's step: its state after it, and what it sends."""
        found = self._known.get((number, what))
        if found is None:
            found = self._known[number, what] = self._play(number, what)
        return found

    def _play(self, number: int, what: NodeInput) -> tuple[int, int]:
        node = clone(self._nodes[number])
        self._votes = 0
        if what.kind == "deliver":
            self._deliver(node, what.message)
        elif what.kind == "saved":
            self._end_save(node, True, True)
        elif what.kind == "save failed":
            self._end_save(node, what.kept, False)
        elif what.kind == "propose":
            node.attempts += 1
            node.machine.propose(NOW, self._plan(node, what.plan))
        elif what.kind == "abandon":
            node.machine.abandon()
        elif what.kind == "restart":
            self._restart(node, what.kept)
        else:
            self._wipe(node)
        sent = self._collect(node) | self._votes
        node.machine.acceptor.foreign_rejections = 0  # a count for operators
        self._noted |= self._votes
        return self._nodes.number(node), sent

    def _deliver(self, node: ConsensusNode, number: int) -> None:
        message = self._messages[number]
        if isinstance(message, DecidedNotice):
            node.machine.learn(message.view)
        elif isinstance(message, ConsensusReply):
            if message.request.incarnation == node.incarnation:
                node.machine.on_response(message.request.ask, message.message, NOW)
        elif isinstance(message, ConsensusRequest) and number not in node.unanswered:
            node.unanswered |= {number}
            asked = message.ask.message
            if isinstance(asked, Prepare):
                node.machine.prepare(number, asked)
            else:
                node.machine.accept(number, asked)

    def _end_save(self, node: ConsensusNode, kept: bool, taken: bool) -> None:
        if kept:
            self._keep(node)
        node.saving = None
        node.machine.on_saved(NOW, durable=taken)

    def _keep(self, node: ConsensusNode) -> None:
        """What is being saved is on disk, and with it all that has been accepted up to it."""
        node.disk = node.saving
        held = Acceptor(node.voter.name, node.voter.disk_id, node.disk)
        kept = {vote for vote in node.votes if _covers(held, vote)}
        node.votes -= kept
        for vote in kept:
            self._votes |= self._bit(vote)

    @staticmethod
    def _note_vote(node: ConsensusNode) -> None:
        """Remember an acceptance until it is on disk."""
        acceptor = node.machine.acceptor
        held = Acceptor(node.voter.name, node.voter.disk_id, node.disk)
        if acceptor.accepted is not None and (held.epoch, held.vote) != (acceptor.epoch, acceptor.vote):
            vote = DurableVote(voter_id(node.voter), acceptor.accepted_ballot, encode(acceptor.accepted))
            node.votes |= {vote}

    def _restart(self, node: ConsensusNode, kept: bool) -> None:
        if kept:
            self._keep(node)
        node.saving = None
        node.votes = frozenset()
        node.unanswered = frozenset()
        node.incarnation += 1
        node.machine = self._make_machine(node.voter.name, node.voter.disk_id, node.disk)

    def _wipe(self, node: ConsensusNode) -> None:
        node.disk = None
        node.voter = evolve(node.voter, disk_id=node.voter.disk_id + "'")
        self._restart(node, kept=False)

    def _plan(self, node: ConsensusNode, number: int) -> Callable[[View], View]:
        """A view that no other proposal makes."""
        mark = {f"{node.voter.name}{node.attempts}": number}

        def plan(base: View) -> View:
            voters = base.voters
            if number == _REPLACEMENT:
                voters = [*base.voters[: self._bounds.controllers - 1], self._controllers[-1]]
            return evolve(base, epoch=base.epoch + 1, voters=voters, since=mark)

        return plan

    def _collect(self, node: ConsensusNode) -> int:
        """Carry out the machine's outputs; the bits of what has been sent and noted."""
        sent = 0
        while outputs := node.machine.pop_instructions():
            self._note_vote(node)
            for output in outputs:
                sent |= self._carry_out(node, output)
            if node.saving is not None and not self._bounds.fine and not node.machine.has_unsaved_own_vote:
                self._end_save(node, True, True)
        return sent

    def _carry_out(self, node: ConsensusNode, output: voter_instructions.Instruction) -> int:
        if isinstance(output, voter_instructions.SaveAcceptor):
            node.saving = output.encoded
        elif isinstance(output, voter_instructions.SendRequest):
            return self._bit(ConsensusRequest(node.incarnation, output))
        elif isinstance(output, voter_instructions.FailRequest):
            node.unanswered -= {output.request_id}
        elif isinstance(output, voter_instructions.SendResponse):
            node.unanswered -= {output.request_id}
            request = self._messages[output.request_id]
            assert isinstance(request, ConsensusRequest)
            if not output.message.granted and output.message.decided is None and not self._bounds.fine:
                return 0
            reply = self._bit(ConsensusReply(request, output.message))
            self._replies |= reply
            return reply
        elif isinstance(output, voter_instructions.BroadcastDecision):
            notice = self._bit(DecidedNotice("", output.view))
            self._noted |= notice
            proposers = self._controllers[: self._bounds.proposals]
            for controller in proposers if output.view.epoch <= self._bounds.epochs else ():
                notice |= self._bit(DecidedNotice(controller.name, output.view))
            return notice
        return 0

    def _bit(self, message: Message) -> int:
        return 1 << self._messages.number(message)

    # -- properties ----------------------------------------------------------------------------------------

    def violation(self, state: ConsensusState) -> str:
        return self._judge(state.network & self._noted)

    def _judged(self, network: int) -> str:
        messages = [self._messages[number] for number in set_bits(network)]
        views = [message.view for message in messages if isinstance(message, DecidedNotice)]
        votes = [message for message in messages if isinstance(message, DurableVote)]
        base = self._base
        while True:
            chosen = _chosen(base, votes)
            if len(chosen) > 1:
                return f"two views were chosen for epoch {base.epoch + 1}"
            for view in views:
                if view.epoch == base.epoch + 1 and view not in chosen:
                    return f"view {view.epoch} was told as decided without a majority of view {base.epoch}"
            if not chosen:
                return ""
            base = chosen[0]

    # -- traces --------------------------------------------------------------------------------------------

    def describe_step(self, label: ConsensusStep) -> str:
        what = label.input
        if what.kind == "deliver":
            answered = ", and is answered" if label.answered else ""
            return f"{label.node} takes {_describe_message(self._messages[what.message])}{answered}"
        if what.kind == "propose":
            return f"{label.node} proposes {'a replacement' if what.plan == _REPLACEMENT else 'a chain'}"
        if what.kind in ("restart", "save failed"):
            return f"{label.node}: {what.kind}, the save under way {'kept' if what.kept else 'lost'}"
        return f"{label.node}: {what.kind}"


def _covers(held: Acceptor, vote: DurableVote) -> bool:
    """Whether what is on disk was made after an acceptance."""
    return held.epoch >= vote.view.epoch or held.accepted_ballot >= vote.ballot


def _chosen(base: View, votes: list[DurableVote]) -> list[View]:
    """The views that a majority of the voters of `base` has accepted durably under one ballot."""
    voters = {voter_id(voter) for voter in base.voters}
    chosen: list[View] = []
    for vote in votes:
        alike = [other for other in votes if other.ballot == vote.ballot and other.encoded == vote.encoded]
        count = len({other.voter for other in alike} & voters)
        if vote.view.epoch == base.epoch + 1 and count >= quorum_size(base) and vote.view not in chosen:
            chosen.append(vote.view)
    return chosen


def _describe_message(message: Message) -> str:
    if isinstance(message, DecidedNotice):
        return f"Decided(view {message.view.epoch} {_proposal_name(message.view)})"
    if isinstance(message, ConsensusRequest):
        asked = message.ask.message
        value = f", {_proposal_name(asked.view)}" if isinstance(asked, Accept) else ""
        return f"{type(asked).__name__}({decode_ballot(asked.ballot)}{value}) of {message.sender}"
    if isinstance(message, ConsensusReply):
        granted = "granted" if message.message.granted else "refused"
        kind = type(message.message).__name__
        return f"{kind}({decode_ballot(message.message.ballot)}, {granted}) of {message.request.receiver}"
    return "a note"


def _proposal_name(view: View) -> str:
    return ",".join(view.since)
