"""Outcome of an attempt whose HTTP/2 stream ended without a complete response.

The outcome shows whether the node may have run the job.  By RFC 9113 a client can rule that out in three
cases only: the node refused the stream (section 8.7), the stream id is above the last stream id of a GOAWAY
(section 6.8), or the client did not send END_STREAM, so the request was incomplete.  None of the three holds
once the node has sent any part of a response, because the node must have accepted the request by then.
"""

from __future__ import annotations

from enum import Enum

from hollowusher.balancing.interface import Outcome


class Cause(Enum):
    """Why a stream ended before its response was complete."""

    REFUSED = "refused"  # RST_STREAM with REFUSED_STREAM
    ABOVE_LAST = "above-last"  # the stream id is above the last stream id of a GOAWAY
    RESET = "reset"  # RST_STREAM with any other code, or a truncated response
    LOST = "lost"  # the connection broke, or the scheduler closed it after a protocol error of the node
    BODY_BLOCKED = "held-up"  # the node's flow-control window blocked the request body for too long
    WITHDRAWN = "withdrawn"  # the dispatcher cancelled the attempt
    TIMED_OUT = "timed-out"  # the attempt's timeout expired


def outcome(cause: Cause, written: bool, answered: bool) -> Outcome:
    """Return the outcome that the dispatcher receives.

    `written`: the request's END_STREAM may have been sent.  `answered`: the node has sent some part of a
    response, which implies that it received the whole request.
    """
    if answered:
        written = True
    elif cause is Cause.REFUSED:
        return Outcome.FULL
    elif cause is Cause.ABOVE_LAST:
        return Outcome.NOT_SENT  # GOAWAY is a graceful shutdown and no fault of the node
    if cause is Cause.WITHDRAWN:
        return Outcome.CANCELLED if written else Outcome.NOT_SENT
    if cause is Cause.TIMED_OUT:
        return Outcome.TIMEOUT if written else Outcome.UNREACHABLE
    return Outcome.RESET if written else Outcome.UNREACHABLE
