"""Orders of an operator that controllers forward to the head of the chain, and their answer."""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(25)
class ChangeConfiguration:
    """An operator's order, forwarded to the chain's head.  `method` is PUT or PATCH."""

    method: str
    if_match: int | None
    body: bytes
    forwarded: bool = False  # a controller passed it on: it is not passed on again


@message(26)
class ReadConfiguration:
    """Asks the tail for the configuration in force."""

    forwarded: bool = False


@message(27)
class OperatorResponse:
    """The HTTP answer an operator is to get; 503 where nothing can be promised."""

    status: int
    body: bytes = b""


@message(28)
class RetireStore:
    """Operator's order to empty a store machine, forwarded to the head.  `duration_s` None only asks."""

    name: str
    duration_s: float | None


@message(84)
class RecoverPartition:
    """Operator's order, forwarded to the head: go on with the replicas that are left of a partition whose
    majority is lost for good.  What only the lost replicas held is lost with them."""

    partition: int
    accept_loss_of: list[str]  # the store ids given up; all replicas that do not live have to be named
    forwarded: bool = False
