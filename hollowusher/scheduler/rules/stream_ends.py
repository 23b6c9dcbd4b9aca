"""How an attempt on an HTTP/2 stream ended where no answer told: what certainly never ran, and all else.

RFC 9113 lets a client be certain in three cases only: the stream was refused (section 8.7), it lies above the
last stream of a GOAWAY (6.8), or the request was never whole, since END_STREAM was not written.  A node
that has begun to answer has taken the request, whatever it says afterwards: against such a one no case is
certain."""

from __future__ import annotations

from enum import Enum

from hollowusher.balancing.interface import Outcome


class Cause(Enum):
    """What ended a stream before its answer did."""

    REFUSED = "refused"  # RST_STREAM with REFUSED_STREAM
    ABOVE_LAST = "above-last"  # its id is above the last one of a GOAWAY
    RESET = "reset"  # RST_STREAM with any other code, or an answer that ended too soon
    LOST = "lost"  # the connection broke, or was closed for what the node did on it
    BODY_BLOCKED = "held-up"  # the node's window kept the body back for too long
    WITHDRAWN = "withdrawn"  # the desk withdrew the attempt
    TIMED_OUT = "timed-out"  # its time was over


def outcome(cause: Cause, written: bool, answered: bool) -> Outcome:
    """The outcome for the desk.  `written`: the request's END_STREAM may have left us; `answered`: anything
    of an answer came."""
    if answered:
        written = True
    elif cause is Cause.REFUSED:
        return Outcome.FULL
    elif cause is Cause.ABOVE_LAST:
        return Outcome.NOT_SENT  # the node leaves in good order: nothing is wrong with it
    if cause is Cause.WITHDRAWN:
        return Outcome.CANCELLED if written else Outcome.NOT_SENT
    if cause is Cause.TIMED_OUT:
        return Outcome.TIMEOUT if written else Outcome.UNREACHABLE
    return Outcome.RESET if written else Outcome.UNREACHABLE
