"""Parses the operator's orders (PUT and PATCH) and applies them to the control state.  No I/O, no clock.

An order is identified by a digest of its method, its `If-Match` and its content.  The control state keeps
the digests of accepted orders (see `order_history`), so that a retried order is acknowledged again and not
applied twice.
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
HISTORY_SOFT_LIMIT = 4_096  # orders; older ones are pruned once their retry window has ended
MAX_DOCUMENT_BYTES = MAX_BODY_BYTES  # also limits a document that has grown by many PATCHes
DIGEST_BYTES = 16


TOO_MANY_ORDERS = OperatorResponse(503, b'{"error":"too many orders in the last minute"}')


@attrs.frozen
class Order:
    """A parsed order."""

    method: str
    if_match: int | None  # the generation that the order changes; None if the operator gave none
    content: Document
    digest: bytes


@attrs.frozen
class OrderOutcome:
    """The result of an order: the answer to the operator, and the new control state.

    The state is None if the order changes nothing.  The answer must not be sent before the state is
    committed.
    """

    answer: OperatorResponse
    state: ControlState | None = None


def read_order(method: str, if_match: int | None, body: bytes) -> Result[Order, Refusal]:
    """Parse an order and make the checks that need no control state."""
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
    except orjson.JSONEncodeError as error:  # orjson parses deeper nesting than it serializes
        return Error(Refusal(400, "body", f"cannot be kept: {error}"))
    return Ok(Order(method, if_match, content, digest))


def order_digest(method: str, if_match: int | None, content: Document) -> bytes:
    """Return a digest of an order that does not depend on key order or whitespace of its JSON."""
    canonical = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    head = f"{method} {if_match}\n".encode()
    return hashlib.blake2b(head + canonical, digest_size=DIGEST_BYTES).digest()


def apply_order(state: ControlState, order: Order, expired_generation: int | None = None) -> OrderOutcome:
    """Apply an order to a control state.

    Orders up to the generation `expired_generation` may be pruned from the history; None allows all of them.
    """
    accepted_generation = _generation_taken(state, order.digest)
    if accepted_generation is not None:
        return OrderOutcome(_acknowledgement(accepted_generation))
    changed = _changed_document(state, order)
    if changed.is_error():
        return OrderOutcome(changed.error.answer())
    generation: int = changed.ok["generation"]
    document = orjson.dumps(changed.ok)
    if len(document) > MAX_DOCUMENT_BYTES:
        refusal = Refusal(413, "configuration", f"would be longer than {MAX_DOCUMENT_BYTES} bytes")
        return OrderOutcome(refusal.answer())
    last = state.generation if expired_generation is None else expired_generation
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
    """Return the complete configuration after an order, or the reason why the order is rejected."""
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
    """Return the first fault in the `upsert` and `delete` keys of a PATCH."""
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
    """Apply a PATCH to the current document; items keep their positions and new items are appended."""
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
