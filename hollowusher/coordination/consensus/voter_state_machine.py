"""One voter as a state machine: the order of saves, answers and requests.  No I/O, no clock.

`VoterStateMachine` owns the acceptor of one controller and its proposal in progress.  Its owner passes in
messages, the time, and the outcome of each save, and carries out the instructions in their order.

Three rules keep the consensus of `paxos` safe through any loss of power:

- An answer is sent only after all that it tells of the acceptor is on disk.
- A ballot is used once: the proposer's own promise for it is on disk before another voter hears of it.  A
  proposer whose promise did not reach the disk uses, after a restart, a higher round, or the same round, of
  which nobody has heard.
- One save is in progress at a time, and each contains the complete acceptor.  What a failed save contained
  stays in memory and is part of the next one; the requests that waited for it fail.

Source: Lamport, "Paxos made simple" (2001), section 2.2 (an acceptor must remember what it promised and
accepted, also after a failure and restart).
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

PHASE_TIMEOUT_S = 1.1  # for each of: the own promise on disk, a quorum of promises, a quorum of acceptances

PlanView = Callable[[View], View | None]


@attrs.frozen
class _OwnVote:
    """The proposer's own promise or acceptance."""

    ballot: Ballot
    message: Promise | Accepted


_Deferred = SendResponse | InstallView | _OwnVote  # takes effect once the acceptor is on disk


@attrs.define
class _Proposal:
    """The ballot in progress."""

    proposer: Proposer
    deadline_s: float
    phase: type[Prepare] | type[Accept] = Prepare  # of the requests to the other voters
    unanswered: set[str] = attrs.Factory(set)  # voters that were sent a request in this phase
    own_vote_is_unsaved: bool = True  # the own vote of this phase waits for the disk


class VoterStateMachine:
    """The acceptor of one controller, the order of its saves, and its proposals.

    Times are seconds of the owner's monotonic clock.
    """

    def __init__(self, name: str, disk_id: str, saved: bytes | None = None) -> None:
        self.acceptor = Acceptor(name, disk_id, saved)
        self._name = name
        self._is_dirty = False  # the acceptor has changed since the last save began, or that save has failed
        self._after_save: list[_Deferred] | None = None  # waits for the save in progress; None: there is none
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
        """Whether an own promise or acceptance waits for the disk."""
        deferred = [*(self._after_save or ()), *self._after_next_save]
        return any(isinstance(effect, _OwnVote) for effect in deferred)

    @property
    def deadline_s(self) -> float | None:
        """When the current phase of the proposal in progress ends without success."""
        return self._proposal.deadline_s if self._proposal is not None else None

    def pop_instructions(self) -> list[Instruction]:
        """Return what is to be done now, in this order, and forget it."""
        instructions, self._instructions = self._instructions, []
        return instructions

    # -- the acceptor --------------------------------------------------------------------------------------

    def learn(self, view: View) -> bool:
        """Learn a decided view; return whether it is newer than the known one.

        It is installed as soon as the disk has answered, also with a failure: a decided view can be learned
        again, only votes must not be forgotten.
        """
        if not self.acceptor.learn(view):
            return False
        self._is_dirty = True
        self._run_when_durable(InstallView(view))
        return True

    def prepare(self, request_id: int, message: Prepare) -> None:
        """Vote in phase 1."""
        self._respond(request_id, self._handle_prepare(message))

    def accept(self, request_id: int, message: Accept) -> None:
        """Vote in phase 2."""
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
        """Answer a request.  A refusal holds nothing that must not be forgotten: it does not wait."""
        if message.granted:
            self._run_when_durable(SendResponse(request_id, message))
        else:
            self._instructions.append(SendResponse(request_id, message))

    # -- the disk ------------------------------------------------------------------------------------------

    def on_saved(self, now_s: float, *, durable: bool) -> None:
        """Handle the end of the save in progress; `durable` is False if the disk failed."""
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
        """Let this take effect once the acceptor, as it is now, is on disk."""
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
        """Start to propose the view that `plan` makes of the newest one.

        Return False if no proposal starts; otherwise `EndProposal` follows.
        """
        base = self.acceptor.decided
        wanted = plan(base) if base is not None and not self.is_proposing else None
        if base is None or wanted is None:
            return False
        self._highest_round = max(self._highest_round, self.acceptor.promised[0]) + 1
        proposer = Proposer(base, wanted, (self._highest_round, self._name))
        own_promise = self.acceptor.prepare(proposer.prepare())
        if not own_promise.granted:  # no voter of this view, or not with this disk
            return False
        self._now_s = now_s
        self._proposal = _Proposal(proposer, now_s + PHASE_TIMEOUT_S)
        self._is_dirty = True
        self._run_when_durable(_OwnVote(proposer.ballot, own_promise))
        return True

    def on_response(self, request: SendRequest, response: object, now_s: float) -> None:
        """Handle the answer to a request; anything but a vote, also None, counts as no answer."""
        proposal = self._proposal
        if proposal is None or proposal.proposer.ballot != request.ballot:
            return
        self._now_s = now_s
        if isinstance(request.message, proposal.phase):
            proposal.unanswered.discard(request.voter.name)
        self._count_vote(proposal, request.voter.name, response)

    def tick(self, now_s: float) -> None:
        """Give up a proposal that has found no quorum in time."""
        if self._proposal is not None and now_s >= self._proposal.deadline_s:
            self._end_proposal(newer_view_known=False)

    def abandon(self) -> None:
        """Give up the proposal in progress."""
        if self._proposal is not None:
            self._end_proposal(newer_view_known=False)

    def _on_own_vote_saved(self, vote: _OwnVote, *, durable: bool) -> None:
        """Continue the proposal: others hear of a ballot only once the own promise for it is durable."""
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
        """Start phase 2: the value is fixed, this ballot never proposes another one."""
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
