"""Older and wrong behaviour, planted to see that the model checks find it."""

from __future__ import annotations

from collections.abc import Callable

from hollowusher.coordination.chain.chain_member import ChainMember
from hollowusher.coordination.consensus.voter_state_machine import SendResponse, VoterStateMachine
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.consensus import Accepted, Prepare, Promise
from hollowusher.protocol.view import View


class AsksBeforeItsOwnPromise(VoterStateMachine):
    """A proposer that asks the others while its own promise is still on the way to its disk."""

    def propose(self, now: float, plan: Callable[[View], View | None]) -> bool:
        if not super().propose(now, plan):
            return False
        assert self._proposal is not None
        self._ask_others(self._proposal, self._proposal.proposer.prepare)
        return True


class AnswersBeforeSaving(VoterStateMachine):
    """A voter that answers while its vote is still on the way to its disk."""

    def _respond(self, asker: int, message: Promise | Accepted, granted: bool) -> None:
        super()._respond(asker, message, granted)
        if granted:
            self._outputs.append(SendResponse(asker, message))


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
