"""The operator's orders: reading PUT and PATCH, and what they make of the control state.  No I/O, no clock.

An order is known by a digest over its method, its `If-Match` and its content.  The digests of the orders
taken stay in the control state (`order_history`), so that an order sent again is acknowledged again.
"""

from __future__ import annotations

import hashlib

import attrs
import orjson
from expression import Error, Ok, Result

from hollowusher.configuration.checks import (
    LISTS,
    Document,
    Fault,
    check_document,
    check_generation,
    check_items,
)
from hollowusher.configuration.order_history import HISTORY_HARD_LIMIT, pruned
from hollowusher.configuration.refusal import MAX_BODY_BYTES, Refusal
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.operator_orders import OperatorResponse

PUT = "PUT"
PATCH = "PATCH"
HISTORY_SOFT_LIMIT = 4_096  # older orders are forgotten once nobody sends them again
MAX_DOCUMENT_BYTES = MAX_BODY_BYTES  # also for what many PATCHes make of it
DIGEST_BYTES = 16


TOO_MANY_ORDERS = OperatorResponse(503, b'{"error":"too many orders in the last minute"}')


@attrs.frozen
class Order:
    """A well-formed order."""

    method: str
    if_match: int | None  # the version it builds on; None where the operator gave none
    content: Document
    digest: bytes


@attrs.frozen
class OrderOutcome:
    """What an order does.

    That is the new control state, None where there is nothing to change, and the answer that is true once
    that state is committed.
    """

    answer: OperatorResponse
    state: ControlState | None = None


def read_order(method: str, if_match: int | None, body: bytes) -> Result[Order, Refusal]:
    """Read an order as far as that can be done without the control state."""
    if len(body) > MAX_BODY_BYTES:
        return Error(Refusal(413, "body", f"is longer than {MAX_BODY_BYTES} bytes"))
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return Error(Refusal(400, "body", f"is not JSON: {error}"))
    if not isinstance(content, dict):
        return Error(Refusal(400, "body", "is not an object"))
    if method not in (PUT, PATCH):
        return Error(Refusal(405, "method", f"{method} is none of PUT and PATCH"))
    try:
        digest = order_digest(method, if_match, content)
    except orjson.JSONEncodeError as error:  # it cannot be written again: nested too deep
        return Error(Refusal(400, "body", f"cannot be kept: {error}"))
    return Ok(Order(method, if_match, content, digest))


def order_digest(method: str, if_match: int | None, content: Document) -> bytes:
    """Return a digest that is the same for the same order, whatever the layout of its JSON."""
    canonical = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    head = f"{method} {if_match}\n".encode()
    return hashlib.blake2b(head + canonical, digest_size=DIGEST_BYTES).digest()


def apply_order(state: ControlState, order: Order, forgettable: int | None = None) -> OrderOutcome:
    """Return what an order does to this state.

    Orders up to the generation `forgettable` may leave the history (None: all that were taken).
    """
    taken = _generation_taken(state, order.digest)
    if taken is not None:
        return OrderOutcome(_acknowledgement(taken))
    changed = _changed_document(state, order)
    if changed.is_error():
        return OrderOutcome(changed.error.answer())
    generation: int = changed.ok["generation"]
    document = orjson.dumps(changed.ok)
    if len(document) > MAX_DOCUMENT_BYTES:
        refusal = Refusal(413, "configuration", f"would be longer than {MAX_DOCUMENT_BYTES} bytes")
        return OrderOutcome(refusal.answer())
    last = state.generation if forgettable is None else forgettable
    history = pruned([*state.history, [generation, order.digest]], HISTORY_SOFT_LIMIT, last)
    if len(history) > HISTORY_HARD_LIMIT:
        return OrderOutcome(TOO_MANY_ORDERS)
    new = evolve(state, generation=generation, document=document, history=history)
    return OrderOutcome(_acknowledgement(generation), new)


def _generation_taken(state: ControlState, digest: bytes) -> int | None:
    for generation, known in reversed(state.history):
        if known == digest:
            return int(generation)
    return None


def _acknowledgement(generation: int) -> OperatorResponse:
    return OperatorResponse(200, orjson.dumps({"generation": generation}))


def _changed_document(state: ControlState, order: Order) -> Result[Document, Refusal]:
    """Return the whole configuration that an order asks for."""
    if (order.if_match or 0) != state.generation:
        return Error(Refusal(412, "If-Match", f"the current version is {state.generation}"))
    fault = _check_generation(state, order.content)
    if fault is not None:
        return Error(_invalid(fault))
    document = order.content
    if order.method == PATCH:
        fault = _check_patch(order.content)
        if fault is not None:
            return Error(_invalid(fault))
        document = _merge(state, order.content)
    checked = check_document(document)
    return Error(_invalid(checked.error)) if checked.is_error() else Ok(document)


def _invalid(fault: Fault) -> Refusal:
    return Refusal(400, fault.item, fault.reason)


def _check_generation(state: ControlState, content: Document) -> Fault | None:
    fault = check_generation(content.get("generation"))
    if fault is None and content["generation"] <= state.generation:
        return Fault("generation", f"is not above the current {state.generation}")
    return fault


def _check_patch(content: Document) -> Fault | None:
    """Whether a PATCH alters named items of the lists that there are."""
    for key in ("upsert", "delete"):
        sections = content.get(key, {})
        if not isinstance(sections, dict):
            return Fault(key, "is not an object")
        unknown = sorted(sections.keys() - set(LISTS))
        if unknown:
            return Fault(key, f"there are no items in {unknown[0]}")
    for section, items in content.get("upsert", {}).items():
        fault = check_items(section, items)
        if fault is not None:
            return fault
    for section, names in content.get("delete", {}).items():
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            return Fault(f"delete {section}", "is not a list of names")
    return None


def _merge(state: ControlState, patch: Document) -> Document:
    """Return the current document with a PATCH applied: items keep their places, new ones come last."""
    document: Document = orjson.loads(state.document) if state.document else {}
    document["generation"] = patch["generation"]
    for section in LISTS:
        dropped = set(patch.get("delete", {}).get(section, ()))
        altered = {item["name"]: item for item in patch.get("upsert", {}).get(section, ())}
        kept = [
            altered.pop(item["name"], item)
            for item in document.get(section, ())
            if item["name"] not in dropped or item["name"] in altered
        ]
        document[section] = [*kept, *altered.values()]
    return document
