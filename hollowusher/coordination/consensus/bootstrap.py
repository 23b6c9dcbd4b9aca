"""The first view of a new cluster over the network: its name, and the ballots of one proposer.

What a ballot decides is the matter of `first_view`.
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
    """The ballots of one proposer, in one life of its process.

    A proposer keeps nothing on disk: its name holds a number drawn at random, so that no other life uses the
    same ballots.
    """

    def __init__(self, transport: Transport, random_source: random.Random) -> None:
        self._transport = transport
        self._name = f"{transport.address} {random_source.getrandbits(NONCE_BITS):016x}"
        self._backoff = ProposalBackoff(random_source)
        self._highest_round = 0
        self._known: dict[str, Voter] = {}  # voters of accepted views that promises have told of

    async def propose(self, candidates: Iterable[Voter], plan: PlanFirstView) -> View | None:
        """Run one ballot among these controllers; return the decided view, None if none is known after it."""
        self._highest_round += 1
        asked = {**self._known, **{voter_id(voter): voter for voter in candidates}}
        proposer = FirstViewProposer((self._highest_round, self._name), asked.values(), plan)
        await self._run(proposer)
        self._highest_round = max(self._highest_round, proposer.highest_round)
        self._known.update({voter_id(voter): voter for voter in proposer.accepted_voters()})
        if proposer.decided is None:
            await asyncio.sleep(self._backoff.next_pause_s(FIRST_EPOCH))
        return proposer.decided

    async def _run(self, proposer: FirstViewProposer) -> None:
        for voter, answer in await self._ask(proposer.candidates.values(), proposer.prepare):
            if isinstance(answer, Promise):
                proposer.on_promise(voter, answer)
        if not proposer.choose_value() or proposer.value is None:
            return
        for voter, answer in await self._ask(proposer.value.voters, proposer.accept):
            if isinstance(answer, Accepted):
                proposer.on_accepted(voter, answer)

    async def _ask(
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

    The ids of their disks are random, so no other cluster has this name, and every seed that proposes the
    same voters proposes the same name.
    """
    disks = "\n".join(sorted(voter_id(voter) for voter in voters))
    return hashlib.blake2b(disks.encode(), digest_size=CLUSTER_NAME_BYTES).hexdigest()
