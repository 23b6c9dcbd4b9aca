"""Older and wrong behaviour, planted to see that the model checks find it."""

from __future__ import annotations

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.chain.pending_change import PendingChange
from hollowusher.coordination.consensus.first_view import FirstViewProposer
from hollowusher.coordination.consensus.paxos import quorum_size
from hollowusher.coordination.consensus.voter_instructions import SendResponse
from hollowusher.coordination.consensus.voter_state_machine import PlanView, VoterStateMachine
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.consensus import Accepted, Prepare, Promise
from hollowusher.protocol.control_chain import ChainWrite
from hollowusher.protocol.view import View, Voter


class AsksBeforeItsOwnPromise(VoterStateMachine):
    """A proposer that asks the others while its own promise is still on the way to its disk."""

    def propose(self, now_s: float, plan: PlanView) -> bool:
        if not super().propose(now_s, plan):
            return False
        assert self._proposal is not None
        self._request_votes(self._proposal, self._proposal.proposer.prepare)
        return True


class AnswersBeforeSaving(VoterStateMachine):
    """A voter that answers while its vote is still on the way to its disk."""

    def _respond(self, request_id: int, message: Promise | Accepted) -> None:
        super()._respond(request_id, message)
        if message.granted:
            self._instructions.append(SendResponse(request_id, message))


class ForgetsWhatItAccepted(VoterStateMachine):
    """A voter that does not tell the next proposer what it has accepted."""

    def _handle_prepare(self, message: Prepare) -> Promise:
        return evolve(super()._handle_prepare(message), accepted=None, accepted_ballot=None)


class VotesWithAnyDisk(VoterStateMachine):
    """A voter that is known by its name alone: with a new, empty disk it votes on."""

    def __init__(self, name: str, disk_id: str, saved: bytes | None = None) -> None:
        super().__init__(name, disk_id.rstrip("'"), saved)


class CommitsAlone(ChainMember):
    """A head that takes a state for committed which it alone has saved."""

    def successor(self) -> str | None:
        return None


class StartsEmpty(ChainMember):
    """A chain member that forgets its saved state at a restart, and is taken for one that holds it."""

    def __init__(self, name: str, disk_id: str, saved: bytes | None = None) -> None:
        super().__init__(name, disk_id)


class TakesTheStateHeldForItsOwn(PendingChange):
    """A head that takes what it holds when its write has ended for the state that it wrote."""

    def on_saved(self, write: ChainWrite) -> None:
        pass

    def on_answer(self, member: ChainMember) -> None:
        self.saved_state = member.state


class DecidesByAQuorumOfItsOwnVoters(FirstViewProposer):
    """A proposer of the first view that asks nobody before, and whom a quorum of its own voters is enough."""

    def choose_value(self) -> bool:
        self.value = self._plan(list(self.candidates.values()))
        return self.value is not None

    def on_accepted(self, voter: Voter, answer: Accepted) -> None:
        super().on_accepted(voter, answer)
        if self.value is not None and len(self._acceptances) >= quorum_size(self.value):
            self.decided = self.value


class TakesTheHighestBallotAlone(FirstViewProposer):
    """A proposer of the first view that forgets what its voters have accepted."""

    def _possibly_decided_view(self) -> View | None:
        return None


FIRST_VIEW_FAULTS: dict[str, type[FirstViewProposer]] = {
    "first-view-by-a-quorum-of-its-own": DecidesByAQuorumOfItsOwnVoters,
    "first-view-forgets-accepted-ones": TakesTheHighestBallotAlone,
}

CHANGE_FAULTS: dict[str, type[PendingChange]] = {
    "takes-the-state-held-for-its-own": TakesTheStateHeldForItsOwn,
}

CHAIN_FAULTS: dict[str, type[ChainMember]] = {
    "commits-alone": CommitsAlone,
    "starts-empty": StartsEmpty,
}

CONSENSUS_FAULTS: dict[str, type[VoterStateMachine]] = {
    "asks-before-its-own-promise": AsksBeforeItsOwnPromise,
    "answers-before-saving": AnswersBeforeSaving,
    "forgets-what-it-accepted": ForgetsWhatItAccepted,
    "votes-with-any-disk": VotesWithAnyDisk,
}
