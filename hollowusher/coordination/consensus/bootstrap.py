"""Network side of the decision on the first view of a new cluster, and the name of that cluster.

`FirstViewBallots` sends the requests of each ballot; `first_view` implements the rules of the ballot.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable, Iterable

from hollowusher.coordination.consensus.first_view import FirstViewProposer, PlanFirstView
from hollowusher.coordination.consensus.paxos import FIRST_EPOCH, voter_id
from hollowusher.coordination.consensus.proposal_backoff import ProposalBackoff
from hollowusher.protocol.consensus import Accept, Accepted, Prepare, Promise
from hollowusher.protocol.view import View, Voter
from hollowusher.transport.interface import PeerError, Transport

CLUSTER_NAME_BYTES = 8
VOTE_TIMEOUT_S = 0.6
NONCE_BITS = 64


class FirstViewBallots:
    """The ballots of one proposer, from the start of its process to its end.

    The proposer stores nothing on disk.  Its name contains a random number, so a restarted process never uses
    the ballots of an earlier one.
    """

    def __init__(self, transport: Transport, random_source: random.Random) -> None:
        self._transport = transport
        self._name = f"{transport.address} {random_source.getrandbits(NONCE_BITS):016x}"
        self._backoff = ProposalBackoff(random_source)
        self._highest_round = 0
        self._known_voters: dict[str, Voter] = {}  # voters of the accepted views that promises contained

    async def propose(self, candidates: Iterable[Voter], plan: PlanFirstView) -> View | None:
        """Run one ballot among the candidates; return the decided view, None if the ballot found none.

        After a ballot without a decision this waits for a random backoff.
        """
        self._highest_round += 1
        all_candidates = {**self._known_voters, **{voter_id(voter): voter for voter in candidates}}
        proposer = FirstViewProposer((self._highest_round, self._name), all_candidates.values(), plan)
        await self._run(proposer)
        self._highest_round = max(self._highest_round, proposer.highest_round)
        self._known_voters.update({voter_id(voter): voter for voter in proposer.accepted_voters()})
        if proposer.decided is None:
            await asyncio.sleep(self._backoff.next_pause_s(FIRST_EPOCH))
        return proposer.decided

    async def _run(self, proposer: FirstViewProposer) -> None:
        for voter, answer in await self._call_voters(proposer.candidates.values(), proposer.prepare):
            if isinstance(answer, Promise):
                proposer.on_promise(voter, answer)
        if not proposer.choose_value() or proposer.value is None:
            return
        for voter, answer in await self._call_voters(proposer.value.voters, proposer.accept):
            if isinstance(answer, Accepted):
                proposer.on_accepted(voter, answer)

    async def _call_voters(
        self, voters: Iterable[Voter], make_request: Callable[[Voter], Prepare | Accept]
    ) -> list[tuple[Voter, object]]:
        voters = list(voters)
        answers = await asyncio.gather(*(self._call(voter, make_request(voter)) for voter in voters))
        return list(zip(voters, answers, strict=True))

    async def _call(self, voter: Voter, request: Prepare | Accept) -> object:
        try:
            return await self._transport.call(voter.address, request, VOTE_TIMEOUT_S)
        except PeerError:
            return None


def cluster_name(voters: Iterable[Voter]) -> str:
    """Return the name of the cluster that begins with these voters.

    Disk ids are random, so no other cluster gets the same name.  All seeds that propose the same voters
    propose the same name.
    """
    disks = "\n".join(sorted(voter_id(voter) for voter in voters))
    return hashlib.blake2b(disks.encode(), digest_size=CLUSTER_NAME_BYTES).hexdigest()
