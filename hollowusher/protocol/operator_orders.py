"""Orders of an operator that controllers forward to the head of the chain, and the response.

`forwarded` is true on an order that a controller has forwarded; no controller forwards it again.
"""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(25)
class ChangeConfiguration:
    """Order to change the configuration; `method` is PUT or PATCH, `body` the JSON of the request."""

    method: str
    if_match: int | None
    body: bytes
    forwarded: bool = False  # a controller has forwarded it, so it is not forwarded again


@message(26)
class ReadConfiguration:
    """Request to the chain's tail for the configuration in force."""

    forwarded: bool = False


@message(27)
class OperatorResponse:
    """HTTP response to an operator; `status` is 503 if the outcome cannot be confirmed."""

    status: int
    body: bytes = b""


@message(28)
class RetireStore:
    """Order to move all replicas off a store; with `duration_s` None, a request for the progress only."""

    name: str
    duration_s: float | None


@message(84)
class RecoverPartition:
    """Order to continue with the remaining replicas of a partition whose majority is permanently lost.

    Records that only the lost replicas held are lost.
    """

    partition: int
    accept_loss_of: list[str]  # store ids of the lost replicas; must include every replica that is not alive
    forwarded: bool = False
