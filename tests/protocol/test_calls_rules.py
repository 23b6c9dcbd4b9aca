"""Every message type has a call rule: its intended receiver, and whether a sender may retry it."""

from __future__ import annotations

import pytest

from hollowusher.protocol import codec, identity
from hollowusher.protocol.acknowledgement import Acknowledgement
from hollowusher.protocol.call_rules import CALL_RULES, DEFAULT_RULE, Addressee, Idempotence, call_rule_of
from hollowusher.protocol.consensus import Accepted, EpochConfirmed, Pong, Promise
from hollowusher.protocol.control_chain import (
    ChainWritten,
    ControlState,
    ControlStateResponse,
    StateRecordChunk,
)
from hollowusher.protocol.control_status import ControlStatus, PartitionStatus, VoterStatus
from hollowusher.protocol.distribution import DistributedItem, UpdatesResponse
from hollowusher.protocol.identity import Hello
from hollowusher.protocol.leases import BorrowedTokens, LeasedJob, LeaseResponse, LeaseUpdateResponse
from hollowusher.protocol.membership import Member, MemberRegistered
from hollowusher.protocol.messages import MessageStatusResponse, NewMessage, PutResponse
from hollowusher.protocol.operator_orders import (
    ChangeConfiguration,
    OperatorResponse,
    RecoverPartition,
    RetireStore,
)
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.protocol.replication import RecordBatch, ReplicaDifference, ReplicateResponse
from hollowusher.protocol.view import AnnounceController, OfferView, ReadView, View, ViewResponse, Voter
from hollowusher.protocol.worker_list import PlatformWorker, PlatformWorkerList

RESPONSES = {
    MemberRegistered,
    Acknowledgement,
    ViewResponse,
    Promise,
    Accepted,
    ChainWritten,
    OperatorResponse,
    ControlStateResponse,
    UpdatesResponse,
    Pong,
    EpochConfirmed,
    StateRecordChunk,
    ControlStatus,
    PutResponse,
    LeaseResponse,
    LeaseUpdateResponse,
    BorrowedTokens,
    MessageStatusResponse,
    ReplicateResponse,
    ReplicaDifference,
}
NESTED_TYPES = {  # message types that are only sent inside other messages
    identity.Identity,
    Hello,
    Member,
    Voter,
    View,
    PartitionPlacement,
    Placement,
    ControlState,
    DistributedItem,
    PlatformWorker,
    PlatformWorkerList,
    VoterStatus,
    PartitionStatus,
    NewMessage,
    LeasedJob,
    RecordBatch,
}
ORDERS = {ChangeConfiguration, RetireStore, RecoverPartition}


def production_types() -> list[type]:
    """Return the message types of the program; tests may have registered further types."""
    return [kind for kind in codec.registered_types().values() if kind.__module__.startswith("hollowusher.")]


@pytest.mark.parametrize("kind", production_types(), ids=lambda kind: str(kind.__name__))
def test_every_message_has_a_rule_or_is_a_response_or_nested(kind: type) -> None:
    assert (kind in CALL_RULES) + (kind in RESPONSES) + (kind in NESTED_TYPES) == 1


def test_only_operator_orders_are_never_retried() -> None:
    never = {kind for kind, rule in CALL_RULES.items() if not rule.is_idempotent}
    assert never == ORDERS


def test_only_discovery_messages_address_any_process() -> None:
    anybody = {kind for kind, rule in CALL_RULES.items() if rule.addressee is Addressee.ANYBODY}
    assert anybody == {ReadView, AnnounceController, OfferView}


def test_a_message_without_a_rule_gets_the_strictest_rule() -> None:
    assert call_rule_of([1, 2]) is DEFAULT_RULE
    assert not DEFAULT_RULE.is_idempotent and DEFAULT_RULE.addressee is Addressee.MEMBER


@pytest.mark.parametrize(
    "kind", [kind for kind, rule in CALL_RULES.items() if rule.idempotence is Idempotence.BY_ID]
)
def test_a_message_that_is_idempotent_by_id_carries_an_id(kind: type) -> None:
    fields = {field.name for field in kind.__attrs_attrs__}  # type: ignore[attr-defined]
    assert fields & {"lease", "message"}


@pytest.mark.parametrize(
    "kind", [kind for kind, rule in CALL_RULES.items() if rule.idempotence is Idempotence.BY_VERSION]
)
def test_a_message_that_is_idempotent_by_version_carries_a_version(kind: type) -> None:
    fields = {field.name for field in kind.__attrs_attrs__}  # type: ignore[attr-defined]
    assert fields & {"epoch", "view", "member", "incarnation", "items", "batches", "ballot"}
