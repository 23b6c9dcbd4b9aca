"""Orders of an operator that controllers forward to the head of the chain, and the response.

`forwarded` is true on an order that a controller passed on; it is not passed on again.
"""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(25)
class ChangeConfiguration:
    """Order to change the configuration; `method` is PUT or PATCH, `body` the JSON of the request."""

    method: str
    if_match: int | None
    body: bytes
    forwarded: bool = False  # a controller passed it on: it is not passed on again


@message(26)
class ReadConfiguration:
    """Request to the chain's tail for the configuration in force."""

    forwarded: bool = False


@message(27)
class OperatorResponse:
    """HTTP response to an operator: 503 where the outcome cannot be confirmed."""

    status: int
    body: bytes = b""


@message(28)
class RetireStore:
    """Order to empty a store's machine; with `duration_s` None a question about its progress."""

    name: str
    duration_s: float | None


@message(84)
class RecoverPartition:
    """Order to go on with the remaining replicas of a partition whose majority is lost for good.

    What only the lost replicas held is lost with them.
    """

    partition: int
    accept_loss_of: list[str]  # the store ids given up; all replicas that do not live have to be named
    forwarded: bool = False
