"""Why an operator's order is not taken.

These are apart from `orders`, whose result types take 40 ms to import: processes that only forward orders do
without them, and so does the start of all others.
"""

from __future__ import annotations

import attrs
import orjson

from hollowusher.protocol.operator_orders import OperatorResponse

MAX_BODY_BYTES = 8 * 1024 * 1024


@attrs.frozen
class Refusal:
    """An order that is not taken: the HTTP status, and why."""

    status: int
    item: str
    reason: str

    def answer(self) -> OperatorResponse:
        """Return the answer to the operator."""
        return OperatorResponse(self.status, orjson.dumps({"error": f"{self.item}: {self.reason}"}))
