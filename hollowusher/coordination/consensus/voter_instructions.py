"""Instructions of `VoterStateMachine` to its owner, which executes them in order."""

from __future__ import annotations

import attrs

from hollowusher.coordination.consensus.paxos import Ballot
from hollowusher.protocol.consensus import Accept, Accepted, Prepare, Promise
from hollowusher.protocol.view import View, Voter


@attrs.frozen
class SaveAcceptor:
    """Save the acceptor durably, then call `VoterStateMachine.on_saved` with the outcome."""

    encoded: bytes


@attrs.frozen
class SendResponse:
    """Send the response to a request; the acceptor state that it depends on is already on disk."""

    request_id: int
    message: Promise | Accepted


@attrs.frozen
class FailRequest:
    """Fail a request without sending a response, because the vote could not be saved."""

    request_id: int


@attrs.frozen
class SendRequest:
    """Send a request to another voter, then call `VoterStateMachine.on_response` with the response."""

    voter: Voter
    message: Prepare | Accept
    ballot: Ballot


@attrs.frozen
class InstallView:
    """Replace the installed view by this newer decided view."""

    view: View


@attrs.frozen
class BroadcastDecision:
    """Send a decided view to its voters and to the voters of the previous view, `base`."""

    view: View
    base: View


@attrs.frozen
class EndProposal:
    """Return the result of the proposal in progress to the caller of `propose`."""

    newer_view_known: bool  # whether a view newer than the base of the proposal is known


Instruction = (
    SaveAcceptor | SendResponse | FailRequest | SendRequest | InstallView | BroadcastDecision | EndProposal
)
