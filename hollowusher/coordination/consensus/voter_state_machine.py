"""State machine of one voter, which orders its saves, responses and requests.  No I/O, no clock.

`VoterStateMachine` owns the acceptor of one controller and its proposal in progress.  The owner of the state
machine passes in messages, the time and the outcome of each save, and executes the instructions in order.

Three rules keep the consensus of `paxos` safe across power losses:

- A response is sent only after the acceptor state that it depends on is on disk.
- A ballot is used only once: the proposer's own promise for it is on disk before the proposer sends the
  ballot to another voter.  If the promise did not reach the disk, no other voter has received the ballot; so
  after a restart the proposer may use this round again, or a higher one.
- One save is in progress at a time, and each save contains the complete acceptor.  After a failed save the
  unsaved state stays in memory and becomes part of the next save; the requests that waited for the failed
  save fail.

Source: Lamport, "Paxos made simple" (2001), section 2.2 (an acceptor must remember its promise and its
accepted proposal across a failure and restart).
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from hollowusher.coordination.consensus.paxos import Acceptor, Ballot, Proposer
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
from hollowusher.protocol.consensus import (
    Accept,
    Accepted,
    Prepare,
    Promise,
)
from hollowusher.protocol.view import View, Voter

# Timeout of each phase: saving the proposer's own promise, collecting promises, collecting acceptances.
PHASE_TIMEOUT_S = 1.1

PlanView = Callable[[View], View | None]


@attrs.frozen
class _OwnVote:
    """The proposer's own promise or acceptance."""

    ballot: Ballot
    message: Promise | Accepted


_Deferred = SendResponse | InstallView | _OwnVote  # an effect that waits until the acceptor is on disk


@attrs.define
class _Proposal:
    """The ballot in progress."""

    proposer: Proposer
    deadline_s: float
    phase: type[Prepare] | type[Accept] = Prepare  # request type of the current phase
    unanswered: set[str] = attrs.Factory(set)  # voters whose response is outstanding in this phase
    own_vote_is_unsaved: bool = True  # whether the proposer's own vote of this phase waits for a save


class VoterStateMachine:
    """The acceptor of one controller, with the order of its saves and with its proposals.

    Times are seconds of the owner's monotonic clock.
    """

    def __init__(self, name: str, disk_id: str, saved: bytes | None = None) -> None:
        self.acceptor = Acceptor(name, disk_id, saved)
        self._name = name
        self._is_dirty = False  # the acceptor changed after the last save started, or that save failed
        # Effects that wait for the save in progress; None if no save is in progress.
        self._after_save: list[_Deferred] | None = None
        self._after_next_save: list[_Deferred] = []
        self._instructions: list[Instruction] = []
        self._now_s = 0.0
        self._highest_round = 0
        self._proposal: _Proposal | None = None

    @property
    def is_proposing(self) -> bool:
        """Whether a proposal is in progress."""
        return self._proposal is not None

    @property
    def has_unsaved_own_vote(self) -> bool:
        """Whether one of the proposer's own votes waits for a save."""
        deferred = [*(self._after_save or ()), *self._after_next_save]
        return any(isinstance(effect, _OwnVote) for effect in deferred)

    @property
    def deadline_s(self) -> float | None:
        """The deadline of the current phase of the proposal in progress, None without a proposal."""
        return self._proposal.deadline_s if self._proposal is not None else None

    def pop_instructions(self) -> list[Instruction]:
        """Return and clear the pending instructions; the owner must execute them in this order."""
        instructions, self._instructions = self._instructions, []
        return instructions

    # -- the acceptor --------------------------------------------------------------------------------------

    def learn(self, view: View) -> bool:
        """Adopt a decided view if it is newer than the known one; return whether it is.

        The view is installed when the save ends, even if the save fails: the voter can learn a decided view
        again, whereas it must never lose a vote.
        """
        if not self.acceptor.learn(view):
            return False
        self._is_dirty = True
        self._run_when_durable(InstallView(view))
        return True

    def prepare(self, request_id: int, message: Prepare) -> None:
        """Vote in phase 1; the response follows as an instruction."""
        self._respond(request_id, self._handle_prepare(message))

    def accept(self, request_id: int, message: Accept) -> None:
        """Vote in phase 2; the response follows as an instruction."""
        self._respond(request_id, self._handle_accept(message))

    def _handle_prepare(self, message: Prepare) -> Promise:
        if message.base is not None:
            self.learn(message.base)
        before = self.acceptor.vote
        promise = self.acceptor.prepare(message)
        self._is_dirty = self._is_dirty or self.acceptor.vote != before
        return promise

    def _handle_accept(self, message: Accept) -> Accepted:
        before = self.acceptor.vote
        accepted = self.acceptor.accept(message)
        self._is_dirty = self._is_dirty or self.acceptor.vote != before
        return accepted

    def _respond(self, request_id: int, message: Promise | Accepted) -> None:
        """Respond to a request; a rejection commits this voter to nothing, so it does not wait for a save."""
        if message.granted:
            self._run_when_durable(SendResponse(request_id, message))
        else:
            self._instructions.append(SendResponse(request_id, message))

    # -- saves ---------------------------------------------------------------------------------------------

    def on_saved(self, now_s: float, *, durable: bool) -> None:
        """Handle the end of the save in progress; `durable` is False if the save failed."""
        assert self._after_save is not None
        self._now_s = now_s
        deferred, self._after_save = self._after_save, None
        if not durable:
            self._is_dirty = True
        for effect in deferred:
            self._run(effect, durable=durable)
        if self._after_next_save and self._after_save is None:
            self._start_save()

    def _run_when_durable(self, effect: _Deferred) -> None:
        """Run the effect once the current state of the acceptor is on disk; start a save if necessary."""
        if self._is_dirty:
            self._after_next_save.append(effect)
            if self._after_save is None:
                self._start_save()
        elif self._after_save is not None:
            self._after_save.append(effect)
        else:
            self._run(effect, durable=True)

    def _start_save(self) -> None:
        self._after_save, self._after_next_save = self._after_next_save, []
        self._is_dirty = False
        self._instructions.append(SaveAcceptor(self.acceptor.dump()))

    def _run(self, effect: _Deferred, *, durable: bool) -> None:
        if isinstance(effect, _OwnVote):
            self._on_own_vote_saved(effect, durable=durable)
        elif isinstance(effect, SendResponse) and not durable:
            self._instructions.append(FailRequest(effect.request_id))
        else:
            self._instructions.append(effect)

    # -- proposals -----------------------------------------------------------------------------------------

    def propose(self, now_s: float, plan: PlanView) -> bool:
        """Start a proposal of the view that `plan` returns for the newest known view.

        Return whether a proposal has started; each started proposal ends with an `EndProposal` instruction.
        """
        base = self.acceptor.decided
        planned = plan(base) if base is not None and not self.is_proposing else None
        if base is None or planned is None:
            return False
        self._highest_round = max(self._highest_round, self.acceptor.promised[0]) + 1
        proposer = Proposer(base, planned, (self._highest_round, self._name))
        own_promise = self.acceptor.prepare(proposer.prepare())
        if not own_promise.granted:  # this controller is no voter of the view, or has another disk
            return False
        self._now_s = now_s
        self._proposal = _Proposal(proposer, now_s + PHASE_TIMEOUT_S)
        self._is_dirty = True
        self._run_when_durable(_OwnVote(proposer.ballot, own_promise))
        return True

    def on_response(self, request: SendRequest, response: object, now_s: float) -> None:
        """Handle the response to a request; anything but a vote counts as no response."""
        proposal = self._proposal
        if proposal is None or proposal.proposer.ballot != request.ballot:
            return
        self._now_s = now_s
        if isinstance(request.message, proposal.phase):
            proposal.unanswered.discard(request.voter.name)
        self._count_vote(proposal, request.voter.name, response)

    def tick(self, now_s: float) -> None:
        """End the proposal in progress if its current phase has reached its deadline without a quorum."""
        if self._proposal is not None and now_s >= self._proposal.deadline_s:
            self._end_proposal(newer_view_known=False)

    def abandon(self) -> None:
        """End the proposal in progress without a result."""
        if self._proposal is not None:
            self._end_proposal(newer_view_known=False)

    def _on_own_vote_saved(self, vote: _OwnVote, *, durable: bool) -> None:
        """Continue the proposal after the save of the proposer's own vote.

        Other voters receive the ballot only after the proposer's own promise for it is durable.
        """
        proposal = self._proposal
        if proposal is None or proposal.proposer.ballot != vote.ballot:
            return
        proposal.own_vote_is_unsaved = False
        if isinstance(vote.message, Promise):
            if not durable:
                self._end_proposal(newer_view_known=False)
                return
            proposal.deadline_s = self._now_s + PHASE_TIMEOUT_S
            self._request_votes(proposal, proposal.proposer.prepare)
        self._count_vote(proposal, self._name, vote.message if durable else None)

    def _count_vote(self, proposal: _Proposal, voter: str, vote: object) -> None:
        proposer = proposal.proposer
        quorum_promised = False
        if isinstance(vote, Promise):
            quorum_promised = proposer.on_promise(voter, vote)
        elif isinstance(vote, Accepted):
            proposer.on_accepted(voter, vote)
        if proposer.decided is not None:
            self._publish_decision(proposer.decided, proposer.base)
        elif quorum_promised:
            self._start_accept_phase(proposal)
        elif not proposal.unanswered and not proposal.own_vote_is_unsaved:
            self._end_proposal(newer_view_known=False)

    def _start_accept_phase(self, proposal: _Proposal) -> None:
        """Start phase 2 with the value, which is fixed for this ballot from now on."""
        proposer = proposal.proposer
        proposal.deadline_s = self._now_s + PHASE_TIMEOUT_S
        proposal.phase = Accept
        proposal.unanswered.clear()
        self._request_votes(proposal, proposer.accept)
        own_acceptance = self._handle_accept(proposer.accept())
        proposal.own_vote_is_unsaved = own_acceptance.granted
        if own_acceptance.granted:
            self._run_when_durable(_OwnVote(proposer.ballot, own_acceptance))

    def _request_votes(self, proposal: _Proposal, make_request: Callable[[Voter], Prepare | Accept]) -> None:
        for voter in proposal.proposer.base.voters:
            if voter.name == self._name:
                continue
            proposal.unanswered.add(voter.name)
            request = SendRequest(voter, make_request(voter), proposal.proposer.ballot)
            self._instructions.append(request)

    def _publish_decision(self, view: View, base: View) -> None:
        self.learn(view)
        self._instructions.append(BroadcastDecision(view, base))
        self._end_proposal(newer_view_known=True)

    def _end_proposal(self, *, newer_view_known: bool) -> None:
        assert self._proposal is not None
        self._highest_round = max(self._highest_round, self._proposal.proposer.highest_round)
        self._proposal = None
        self._instructions.append(EndProposal(newer_view_known))
