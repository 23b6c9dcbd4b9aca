"""Every type of message is marked: whom it is for, and whether it may be sent again."""

from __future__ import annotations

import pytest

from hollowusher.protocol import codec, identity
from hollowusher.protocol.acknowledgement import Done
from hollowusher.protocol.call_rules import CALL_RULES, STRICTEST, Addressee, Repeat, rule_of
from hollowusher.protocol.consensus import Accepted, EpochConfirmed, FirstTaken, Pong, Promise
from hollowusher.protocol.control_chain import ChainWritten, ControlState, RecordChunk, StateAnswer
from hollowusher.protocol.control_status import ControlStatus, PartitionStatus, VoterStatus
from hollowusher.protocol.distribution import Item, Updates
from hollowusher.protocol.identity import Hello
from hollowusher.protocol.leases import Job, LeaseAnswer, Leased
from hollowusher.protocol.membership import Member, Registered
from hollowusher.protocol.messages import NewMessage, PutAnswer, StatusAnswer
from hollowusher.protocol.operator_orders import ChangeConfiguration, OperatorAnswer, RecoverPartition, Retire
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.protocol.replication import Difference, Records, Replicated
from hollowusher.protocol.view import Announce, OfferView, ReadView, View, ViewAnswer, Voter
from hollowusher.protocol.worker_list import Worker, WorkerList

ANSWERS = {
    Registered,
    Done,
    ViewAnswer,
    Promise,
    Accepted,
    ChainWritten,
    OperatorAnswer,
    StateAnswer,
    Updates,
    FirstTaken,
    Pong,
    EpochConfirmed,
    RecordChunk,
    ControlStatus,
    PutAnswer,
    Leased,
    LeaseAnswer,
    StatusAnswer,
    Replicated,
    Difference,
}
PARTS = {  # only sent inside others
    identity.Identity,
    Hello,
    Member,
    Voter,
    View,
    PartitionPlacement,
    Placement,
    ControlState,
    Item,
    Worker,
    WorkerList,
    VoterStatus,
    PartitionStatus,
    NewMessage,
    Job,
    Records,
}
ORDERS = {ChangeConfiguration, Retire, RecoverPartition}


def production_types() -> list[type]:
    """The registered types of the program; tests may have registered others."""
    return [kind for kind in codec.registered_types().values() if kind.__module__.startswith("hollowusher.")]


@pytest.mark.parametrize("kind", production_types(), ids=lambda kind: str(kind.__name__))
def test_every_message_has_a_rule_or_is_an_answer_or_a_part(kind: type) -> None:
    assert (kind in CALL_RULES) + (kind in ANSWERS) + (kind in PARTS) == 1


def test_only_an_operators_orders_are_never_repeated_by_the_program() -> None:
    never = {kind for kind, rule in CALL_RULES.items() if not rule.repeatable}
    assert never == ORDERS


def test_only_those_that_look_for_the_system_mean_whoever_is_there() -> None:
    anybody = {kind for kind, rule in CALL_RULES.items() if rule.addressee is Addressee.ANYBODY}
    assert anybody == {ReadView, Announce, OfferView}


def test_a_message_without_a_rule_is_held_to_the_strictest() -> None:
    assert rule_of([1, 2]) is STRICTEST
    assert not STRICTEST.repeatable and STRICTEST.addressee is Addressee.MEMBER


@pytest.mark.parametrize("kind", [kind for kind, rule in CALL_RULES.items() if rule.repeat is Repeat.BY_ID])
def test_a_message_that_is_harmless_by_an_id_carries_one(kind: type) -> None:
    fields = {field.name for field in kind.__attrs_attrs__}  # type: ignore[attr-defined]
    assert fields & {"lease", "message"}


@pytest.mark.parametrize(
    "kind", [kind for kind, rule in CALL_RULES.items() if rule.repeat is Repeat.BY_VERSION]
)
def test_a_message_that_is_harmless_by_a_version_carries_one(kind: type) -> None:
    fields = {field.name for field in kind.__attrs_attrs__}  # type: ignore[attr-defined]
    assert fields & {"epoch", "view", "member", "incarnation", "items", "batches", "ballot"}
