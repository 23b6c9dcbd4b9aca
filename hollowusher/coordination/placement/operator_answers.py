"""The responses to operators' orders about stores and partitions.  The texts are part of the operator API."""

from __future__ import annotations

from http import HTTPStatus

import orjson

from hollowusher.coordination.placement.errors import OrderRejectedError
from hollowusher.protocol.operator_orders import OperatorResponse

UNAVAILABLE = OperatorResponse(HTTPStatus.SERVICE_UNAVAILABLE.value)


def state_answer(state: str) -> OperatorResponse:
    """Return the response to an accepted order: HTTP 200 with the state of the order as JSON."""
    return OperatorResponse(HTTPStatus.OK.value, orjson.dumps({"state": state}))


def rejection_answer(error: OrderRejectedError) -> OperatorResponse:
    """Return the response to a rejected order: the HTTP status and the text of `error` as JSON."""
    return OperatorResponse(error.status.value, orjson.dumps({"error": str(error)}))
