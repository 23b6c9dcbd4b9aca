"""The rejection of an operator's order.

It is not defined in `orders`, because importing the result types of that module takes 40 ms.  Processes that
only forward orders never import `orders`, and the other processes do not import it at start.
"""

from __future__ import annotations

import attrs
import orjson

from hollowusher.protocol.operator_orders import OperatorResponse

MAX_BODY_BYTES = 8 * 1024 * 1024


@attrs.frozen
class Refusal:
    """A rejected order: the HTTP status, the invalid item and the reason."""

    status: int
    item: str
    reason: str

    def answer(self) -> OperatorResponse:
        """Return the response to the operator."""
        return OperatorResponse(self.status, orjson.dumps({"error": f"{self.item}: {self.reason}"}))
