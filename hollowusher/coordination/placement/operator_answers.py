"""The answers to operators' orders about stores and partitions.  Their texts are an interface."""

from __future__ import annotations

from http import HTTPStatus

import orjson

from hollowusher.coordination.placement.errors import OrderRejectedError
from hollowusher.protocol.operator_orders import OperatorResponse

UNAVAILABLE = OperatorResponse(HTTPStatus.SERVICE_UNAVAILABLE.value)


def state_answer(state: str) -> OperatorResponse:
    """Return the answer that shows the state of an order which was accepted."""
    return OperatorResponse(HTTPStatus.OK.value, orjson.dumps({"state": state}))


def rejection_answer(error: OrderRejectedError) -> OperatorResponse:
    """Return the answer to an order that was rejected."""
    return OperatorResponse(error.status.value, orjson.dumps({"error": str(error)}))
