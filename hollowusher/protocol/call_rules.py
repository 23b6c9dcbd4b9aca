"""Rules of calls: for each message type the process it is meant for, and whether it may be sent again.

A message may be sent again after a timeout or a reset only where it is idempotent: it changes nothing,
or an id, a version, a ballot or an epoch in it gives the second arrival the same effect as the first.
docs/control-safety/calls.md says which process repeats which message, and to whom.
"""

from __future__ import annotations

import enum

import attrs

from hollowusher.protocol.consensus import Accept, ConfirmEpoch, Ping, Prepare, ViewDecided
from hollowusher.protocol.control_chain import ChainWrite, ReadControlState, ReadStateRecord
from hollowusher.protocol.control_status import ReadControlStatus
from hollowusher.protocol.distribution import PullUpdates, ReadRepair
from hollowusher.protocol.leases import ExtendLease, FinishLease, JobsWaiting, LeaseRequest
from hollowusher.protocol.membership import (
    CheckIncarnation,
    Heartbeat,
    MemberDeparting,
    MemberSuspected,
    RegisterMember,
)
from hollowusher.protocol.messages import MessageStatusRequest, PutRequest
from hollowusher.protocol.operator_orders import (
    ChangeConfiguration,
    ReadConfiguration,
    RecoverPartition,
    RetireStore,
)
from hollowusher.protocol.placement import LearnerLost, LearnerReady
from hollowusher.protocol.replication import ReplicaSummary, ReplicateRequest
from hollowusher.protocol.view import AnnounceController, OfferView, ReadView


class Addressee(enum.Enum):
    """How exactly the receiver has to match the process that the caller means."""

    ANYBODY = "any process: the caller is still looking for the cluster"
    VOTER = "the voter of that name"
    VOTER_DISK = "the voter of that name, with the disk that votes"
    MEMBER = "the member of that name"
    STORE = "the store of that name, with the disk that holds the replicas"


class Idempotence(enum.Enum):
    """Why a second arrival of a message is harmless."""

    READ = "it changes nothing"
    BY_ID = "an id in it: the second arrival finds the first one's result"
    BY_VERSION = "a version, epoch or ballot in it: an older or equal one changes nothing"
    LATEST = "it reports the present state: the next report replaces it"
    LEASED_TWICE = "it asks for more: leases granted in a lost response are returned or expire"
    NEVER = "a second arrival may have another effect than the first: it is sent once"


@attrs.frozen
class CallRule:
    """How messages of one type may be sent."""

    addressee: Addressee
    idempotence: Idempotence

    @property
    def is_idempotent(self) -> bool:
        """Whether the same message may be sent again while the outcome of the first is unknown."""
        return self.idempotence is not Idempotence.NEVER


CALL_RULES: dict[type, CallRule] = {
    # finding the system
    ReadView: CallRule(Addressee.ANYBODY, Idempotence.READ),
    AnnounceController: CallRule(Addressee.ANYBODY, Idempotence.LATEST),
    OfferView: CallRule(Addressee.ANYBODY, Idempotence.BY_VERSION),
    # agreement and chain
    Prepare: CallRule(Addressee.VOTER_DISK, Idempotence.BY_VERSION),
    Accept: CallRule(Addressee.VOTER_DISK, Idempotence.BY_VERSION),
    ConfirmEpoch: CallRule(Addressee.VOTER_DISK, Idempotence.READ),
    ViewDecided: CallRule(Addressee.VOTER, Idempotence.BY_VERSION),
    Ping: CallRule(Addressee.VOTER, Idempotence.READ),
    ChainWrite: CallRule(Addressee.VOTER_DISK, Idempotence.BY_VERSION),
    ReadStateRecord: CallRule(Addressee.VOTER, Idempotence.READ),
    # members and distributed values
    RegisterMember: CallRule(Addressee.VOTER, Idempotence.BY_VERSION),
    MemberDeparting: CallRule(Addressee.VOTER, Idempotence.BY_VERSION),
    Heartbeat: CallRule(Addressee.MEMBER, Idempotence.LATEST),
    MemberSuspected: CallRule(Addressee.VOTER, Idempotence.LATEST),
    CheckIncarnation: CallRule(Addressee.MEMBER, Idempotence.READ),
    PullUpdates: CallRule(Addressee.VOTER, Idempotence.READ),
    ReadRepair: CallRule(Addressee.VOTER, Idempotence.BY_VERSION),
    ReadControlState: CallRule(Addressee.VOTER, Idempotence.READ),
    # the operator, forwarded
    ChangeConfiguration: CallRule(Addressee.VOTER, Idempotence.NEVER),
    RetireStore: CallRule(Addressee.VOTER, Idempotence.NEVER),
    RecoverPartition: CallRule(Addressee.VOTER, Idempotence.NEVER),
    ReadConfiguration: CallRule(Addressee.VOTER, Idempotence.READ),
    ReadControlStatus: CallRule(Addressee.VOTER, Idempotence.READ),
    # messages
    PutRequest: CallRule(Addressee.STORE, Idempotence.BY_ID),
    LeaseRequest: CallRule(Addressee.STORE, Idempotence.LEASED_TWICE),
    FinishLease: CallRule(Addressee.STORE, Idempotence.BY_ID),
    ExtendLease: CallRule(Addressee.STORE, Idempotence.BY_ID),
    MessageStatusRequest: CallRule(Addressee.STORE, Idempotence.READ),
    JobsWaiting: CallRule(Addressee.MEMBER, Idempotence.LATEST),
    # replicas
    ReplicateRequest: CallRule(Addressee.STORE, Idempotence.BY_VERSION),
    ReplicaSummary: CallRule(Addressee.STORE, Idempotence.BY_VERSION),
    LearnerReady: CallRule(Addressee.VOTER, Idempotence.LATEST),
    LearnerLost: CallRule(Addressee.VOTER, Idempotence.LATEST),
}
DEFAULT_RULE = CallRule(Addressee.MEMBER, Idempotence.NEVER)  # of a message type that has no rule


def call_rule_of(message: object) -> CallRule:
    """Return the rule of a message, `DEFAULT_RULE` for a type that has none."""
    return CALL_RULES.get(type(message), DEFAULT_RULE)
