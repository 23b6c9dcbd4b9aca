"""One voter's share in the agreement as a state machine: what is on disk before what leaves.

The owner passes in messages, the time, and what became of a save; it carries out the outputs in their order.
Three rules make the agreement of `coordination.view` hold through any loss of power:

- An answer leaves once everything that it tells of the acceptor is on disk.
- A ballot is used once: the proposer's own promise for it is on disk before another voter hears of it.  A
  proposer whose promise did not get there takes a higher round after it has started again, or the same one
  that nobody has heard of.
- One save is under way at a time, and each holds the whole of the acceptor.  What a failed save held stays in
  memory and goes with the next one; the answers that waited for it are not given.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from hollowusher.coordination.consensus.paxos import Acceptor, Ballot, Proposer
from hollowusher.protocol.consensus import (
    Accept,
    Accepted,
    FirstViewResponse,
    Prepare,
    Promise,
    ProposeFirstView,
)
from hollowusher.protocol.view import View, Voter

PHASE_TIMEOUT_S = 1.1  # for each of: the own promise on disk, a majority's promises, its acceptances

PlanView = Callable[[View], View | None]


@attrs.frozen
class SaveAcceptor:
    """To be saved durably; `VoterStateMachine.saved` is called with the result."""

    value: bytes


@attrs.frozen
class SendResponse:
    """The answer to the request `request_id`; None where the disk has not taken it: no answer is given."""

    request_id: int
    message: Promise | Accepted | FirstViewResponse | None


@attrs.frozen
class SendRequest:
    """To be asked of another voter; `VoterStateMachine.answered` is called with this and with its answer."""

    voter: Voter
    message: Prepare | Accept
    ballot: Ballot


@attrs.frozen
class InstallView:
    """A newer decided view is to be used."""

    view: View


@attrs.frozen
class BroadcastDecision:
    """The voters of a decided view and of the one before are to be told of it."""

    view: View
    base: View


@attrs.frozen
class EndProposal:
    """The proposal under way has ended; `newer`: a newer view than its base is known."""

    newer: bool


Instruction = SaveAcceptor | SendResponse | SendRequest | InstallView | BroadcastDecision | EndProposal


@attrs.frozen
class _OwnVote:
    """The proposer's own promise or acceptance."""

    ballot: Ballot
    message: Promise | Accepted


_Deferred = SendResponse | InstallView | _OwnVote  # what leaves once the acceptor is on disk


@attrs.define
class _Proposal:
    """One ballot under way."""

    proposer: Proposer
    deadline: float
    phase: type = Prepare  # what the others are being asked
    unanswered: set[str] = attrs.Factory(set)  # the voters asked in this phase
    own_vote: bool = True  # the own vote of this phase waits for the disk


class VoterStateMachine:
    """The acceptor of one controller, its disk, and its proposals.  No I/O, no clock."""

    def __init__(self, name: str, disk_id: str, saved: bytes | None = None) -> None:
        self.acceptor = Acceptor(name, disk_id, saved)
        self._name = name
        self._has_unsaved_vote = (
            False  # the acceptor has changed since the last save began, or that save has failed
        )
        self._saving: list[_Deferred] | None = None  # what leaves with the end of the save under way
        self._next: list[_Deferred] = []  # what leaves with the end of the save after it
        self._outputs: list[Instruction] = []
        self._now = 0.0
        self._highest_round = 0
        self._proposal: _Proposal | None = None

    @property
    def proposing(self) -> bool:
        """Whether a proposal is under way."""
        return self._proposal is not None

    @property
    def has_unsaved_own_vote(self) -> bool:
        """Whether an own promise or acceptance waits for the disk."""
        return any(isinstance(held, _OwnVote) for held in [*(self._saving or ()), *self._next])

    @property
    def deadline(self) -> float | None:
        """When the present phase of the proposal under way ends without success."""
        return self._proposal.deadline if self._proposal is not None else None

    def take_instructions(self) -> list[Instruction]:
        """What is to be done now, in this order."""
        outputs, self._outputs = self._outputs, []
        return outputs

    # -- the acceptor --------------------------------------------------------------------------------------

    def learn(self, view: View) -> bool:
        """Take a decided view; whether it is a newer one.  It is used as soon as the disk has answered, also
        if it has refused: a decided view can be learned again, only votes must not be forgotten."""
        if not self.acceptor.learn(view):
            return False
        self._has_unsaved_vote = True
        self._send_when_durable(InstallView(view))
        return True

    def accept_first_view(self, asker: int, message: ProposeFirstView) -> None:
        """Hold the first proposed view 1."""
        held = self.acceptor.accepted
        taken = self.acceptor.accept_first_view(message.view)
        if taken is not held:
            self._has_unsaved_vote = True
        self._send_when_durable(SendResponse(asker, FirstViewResponse(taken, self.acceptor.decided)))

    def prepare(self, asker: int, message: Prepare) -> None:
        """Vote in the first phase."""
        promise = self._handle_prepare(message)
        self._respond(asker, promise, promise.granted)

    def accept(self, asker: int, message: Accept) -> None:
        """Vote in the second phase."""
        accepted = self._handle_accept(message)
        self._respond(asker, accepted, accepted.granted)

    def _handle_prepare(self, message: Prepare) -> Promise:
        if message.base is not None:
            self.learn(message.base)
        before = self.acceptor.vote
        promise = self.acceptor.prepare(message)
        self._has_unsaved_vote = self._has_unsaved_vote or self.acceptor.vote != before
        return promise

    def _handle_accept(self, message: Accept) -> Accepted:
        before = self.acceptor.vote
        accepted = self.acceptor.accept(message)
        self._has_unsaved_vote = self._has_unsaved_vote or self.acceptor.vote != before
        return accepted

    def _respond(self, asker: int, message: Promise | Accepted, granted: bool) -> None:
        """A refusal tells of nothing that must not be forgotten: it need not wait for the disk."""
        if granted:
            self._send_when_durable(SendResponse(asker, message))
        else:
            self._outputs.append(SendResponse(asker, message))

    # -- the disk ------------------------------------------------------------------------------------------

    def saved(self, taken: bool, now: float) -> None:
        """The save under way has ended; whether the disk has taken it."""
        assert self._saving is not None
        self._now = now
        held, self._saving = self._saving, None
        if not taken:
            self._has_unsaved_vote = True
        for output in held:
            self._release(output, taken)
        if self._next and self._saving is None:
            self._start_save()

    def _send_when_durable(self, output: _Deferred) -> None:
        """Let this leave once the acceptor, as it is now, is on disk."""
        if self._has_unsaved_vote:
            self._next.append(output)
            if self._saving is None:
                self._start_save()
        elif self._saving is not None:
            self._saving.append(output)
        else:
            self._release(output, taken=True)

    def _start_save(self) -> None:
        self._saving, self._next = self._next, []
        self._has_unsaved_vote = False
        self._outputs.append(SaveAcceptor(self.acceptor.dump()))

    def _release(self, output: _Deferred, taken: bool) -> None:
        if isinstance(output, InstallView):
            self._outputs.append(output)
        elif isinstance(output, SendResponse):
            self._outputs.append(output if taken else SendResponse(output.request_id, None))
        else:
            self._on_own_vote_saved(output, taken)

    # -- proposals -----------------------------------------------------------------------------------------

    def propose(self, now: float, plan: PlanView) -> bool:
        """Begin to have the view decided that `plan` makes of the present one; False where nothing begins,
        else `EndProposal` follows."""
        base = self.acceptor.decided
        wanted = plan(base) if base is not None and not self.proposing else None
        if base is None or wanted is None:
            return False
        self._highest_round = max(self._highest_round, self.acceptor.promised[0]) + 1
        proposer = Proposer(base, wanted, (self._highest_round, self._name))
        own = self.acceptor.prepare(proposer.prepare())
        if not own.granted:  # no voter of this view, or none with this disk
            return False
        self._now = now
        self._proposal = _Proposal(proposer, now + PHASE_TIMEOUT_S)
        self._has_unsaved_vote = True
        self._send_when_durable(_OwnVote(proposer.ballot, own))
        return True

    def answered(self, ask: SendRequest, message: Any, now: float) -> None:
        """An asked voter's answer; anything else than a vote stands for silence."""
        proposal = self._proposal
        if proposal is None or proposal.proposer.ballot != ask.ballot:
            return
        self._now = now
        if isinstance(ask.message, proposal.phase):
            proposal.unanswered.discard(ask.voter.name)
        self._count(proposal, ask.voter.name, message)

    def tick(self, now: float) -> None:
        """Give a proposal up that has got no majority in time."""
        if self._proposal is not None and now >= self._proposal.deadline:
            self._finish(newer=False)

    def abandon(self) -> None:
        """Give up the proposal under way."""
        if self._proposal is not None:
            self._finish(newer=False)

    def _on_own_vote_saved(self, vote: _OwnVote, taken: bool) -> None:
        """The disk has answered: others hear of a ballot only once the own promise for it is durable."""
        proposal = self._proposal
        if proposal is None or proposal.proposer.ballot != vote.ballot:
            return
        proposal.own_vote = False
        if isinstance(vote.message, Promise):
            if not taken:
                self._finish(newer=False)
                return
            proposal.deadline = self._now + PHASE_TIMEOUT_S
            self._ask_others(proposal, proposal.proposer.prepare)
        self._count(proposal, self._name, vote.message if taken else None)

    def _count(self, proposal: _Proposal, voter: str, message: Any) -> None:
        """Count a vote."""
        proposer = proposal.proposer
        majority_promised = False
        if isinstance(message, Promise):
            majority_promised = proposer.on_promise(voter, message)
        elif isinstance(message, Accepted):
            proposer.on_accepted(voter, message)
        if proposer.decided is not None:
            self._decided(proposer)
        elif majority_promised:
            self._ask_to_accept(proposal)
        elif not proposal.unanswered and not proposal.own_vote:
            self._finish(newer=False)

    def _ask_to_accept(self, proposal: _Proposal) -> None:
        """A majority has promised: the value is settled, and this ballot never proposes another one."""
        proposer = proposal.proposer
        proposal.deadline = self._now + PHASE_TIMEOUT_S
        proposal.phase = Accept
        proposal.unanswered.clear()
        self._ask_others(proposal, proposer.accept)
        own = self._handle_accept(proposer.accept())
        proposal.own_vote = own.granted
        if own.granted:
            self._send_when_durable(_OwnVote(proposer.ballot, own))

    def _ask_others(self, proposal: _Proposal, request: Callable[[Voter], Prepare | Accept]) -> None:
        for voter in proposal.proposer.base.voters:
            if voter.name != self._name:
                proposal.unanswered.add(voter.name)
                self._outputs.append(SendRequest(voter, request(voter), proposal.proposer.ballot))

    def _decided(self, proposer: Proposer) -> None:
        assert proposer.decided is not None
        self.learn(proposer.decided)
        self._outputs.append(BroadcastDecision(proposer.decided, proposer.base))
        self._finish(newer=True)

    def _finish(self, newer: bool) -> None:
        assert self._proposal is not None
        self._highest_round = max(self._highest_round, self._proposal.proposer.highest_round)
        self._proposal = None
        self._outputs.append(EndProposal(newer))
