"""Instructions of `VoterStateMachine` to its owner: what to save, to send and to install, in order."""

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
    """Answer the request with this number; all that the answer tells of is on disk."""

    request_id: int
    message: Promise | Accepted


@attrs.frozen
class FailRequest:
    """Leave the request with this number without an answer: the disk has not stored the vote."""

    request_id: int


@attrs.frozen
class SendRequest:
    """Send a request to another voter, then call `VoterStateMachine.on_response` with its answer."""

    voter: Voter
    message: Prepare | Accept
    ballot: Ballot


@attrs.frozen
class InstallView:
    """Use a newer decided view from now on."""

    view: View


@attrs.frozen
class BroadcastDecision:
    """Notify the voters of a decided view, and those of the view before it."""

    view: View
    base: View


@attrs.frozen
class EndProposal:
    """Report the end of the proposal in progress to the caller of `propose`."""

    newer_view_known: bool  # newer than the view that the proposal was based on


Instruction = (
    SaveAcceptor | SendResponse | FailRequest | SendRequest | InstallView | BroadcastDecision | EndProposal
)
