"""The worker gets the ordering key exactly as the sender wrote it, on ordered and other routes.

The simulation checks the same property under its rule UNASKED.
"""

from __future__ import annotations

import pytest

from hollowusher.delivery.worker_client import Endpoint, encode_request
from hollowusher.intake.admission import Rejection, RejectionReason, admit
from hollowusher.intake.intake_service import _job_response
from hollowusher.messages import records
from hollowusher.messages.records import AcceptedMessage
from hollowusher.protocol.leases import LeasedJob
from hollowusher.protocol.messages import NewMessage
from tests.intake.test_intake import INDEX, admitted, request


def delivered_key(accepted_message: NewMessage) -> str | None:
    """Return the ordering key in the request to a pushed worker."""
    head = encode_request(accepted_message, Endpoint("10.0.0.1:80"), 1.0).partition(b"\r\n\r\n")[0].decode()
    values = [line.partition(": ")[2] for line in head.split("\r\n") if line.startswith("X-Ordering-Key: ")]
    assert len(values) <= 1
    return values[0] if values else None


def pulled_key(accepted_message: NewMessage) -> str | None:
    """Return the ordering key in the response to a pull worker."""
    headers = _job_response(LeasedJob("0-1-1-2", accepted_message, 0, 500)).headers
    values = [value for name, value in headers if name == "X-Ordering-Key"]
    assert len(values) <= 1
    return values[0] if values else None


@pytest.mark.parametrize("target", ["/o/1", "/a/1"], ids=["ordered route", "route that is ordered no more"])
@pytest.mark.parametrize("key", ["k-1", "kéy", "a b"])
def test_the_ordering_key_of_any_route_reaches_the_worker_unchanged(target: str, key: str) -> None:
    accepted_message = admitted(request(target, X_Ordering_Key=key)).message
    assert accepted_message.ordering_key == (key if target == "/o/1" else "")
    stored = records.unpack_put(
        records.pack_put(0, (1, 1), AcceptedMessage(0, 0, 1, accepted_message))
    ).message
    assert delivered_key(stored) == key
    assert pulled_key(stored) == key


@pytest.mark.parametrize("target", ["/o/1", "/a/1"])
def test_a_message_without_an_ordering_key_is_delivered_without_one(target: str) -> None:
    accepted_message = admitted(request(target)).message
    assert delivered_key(accepted_message) is None and pulled_key(accepted_message) is None


@pytest.mark.parametrize("target", ["/o/1", "/a/1"])
def test_an_ordering_key_that_is_not_valid_utf_8_is_rejected(target: str) -> None:
    refusal = admit(request(target, X_Ordering_Key="\udcff"), INDEX)
    assert isinstance(refusal, Rejection) and (refusal.status, refusal.reason) == (
        400,
        RejectionReason.MALFORMED,
    )
