"""Call rules: for each message type its intended receiver, and whether a sender may retry it.

A sender may retry a message after a timeout or a connection reset only if the message is idempotent: either
it changes nothing, or it carries an id, a version, a ballot or an epoch, so that the second arrival has the
same effect as the first.  docs/control-safety/calls.md lists the senders, their retries and the receivers.
"""

from __future__ import annotations

import enum

import attrs

from hollowusher.protocol.consensus import Accept, ConfirmEpoch, Ping, Prepare, ViewDecided
from hollowusher.protocol.control_chain import ChainWrite, ReadControlState, ReadStateRecord
from hollowusher.protocol.control_status import ReadControlStatus
from hollowusher.protocol.distribution import PullUpdates, ReadRepair
from hollowusher.protocol.leases import BorrowTokens, ExtendLease, FinishLease, JobsWaiting, LeaseRequest
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
    """The process that may accept a message: the fields of its identity that must match."""

    ANYBODY = "any process, because the caller does not know the cluster yet"
    VOTER = "the voter with the intended name"
    VOTER_DISK = "the voter with the intended name and the disk that holds its votes"
    MEMBER = "the member with the intended name"
    STORE = "the store with the intended name and the disk that holds its replicas"


class Idempotence(enum.Enum):
    """Classification of messages by the effect of a second arrival at the receiver."""

    READ = "the message changes nothing"
    BY_ID = "the message carries an id, and the second arrival returns the result of the first"
    BY_VERSION = "the message carries a version, epoch or ballot; an older or equal one changes nothing"
    LATEST = "the message reports the current state, and the next report replaces it"
    LEASED_TWICE = "a retry leases further jobs; the leases in a lost response are returned or expire"
    TAKEN_TWICE = "a retry takes further tokens; those of a lost response permit nothing"
    NEVER = "a second arrival may have another effect than the first, so the message is sent only once"


@attrs.frozen
class CallRule:
    """The intended receiver of the messages of one type, and whether and why they may be retried."""

    addressee: Addressee
    idempotence: Idempotence

    @property
    def is_idempotent(self) -> bool:
        """Whether a sender may retry a message while the outcome of its first attempt is unknown."""
        return self.idempotence is not Idempotence.NEVER


CALL_RULES: dict[type, CallRule] = {
    # discovery of the cluster
    ReadView: CallRule(Addressee.ANYBODY, Idempotence.READ),
    AnnounceController: CallRule(Addressee.ANYBODY, Idempotence.LATEST),
    OfferView: CallRule(Addressee.ANYBODY, Idempotence.BY_VERSION),
    # consensus and control chain
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
    # forwarded requests of the operator
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
    BorrowTokens: CallRule(Addressee.STORE, Idempotence.TAKEN_TWICE),
    JobsWaiting: CallRule(Addressee.MEMBER, Idempotence.LATEST),
    # replicas
    ReplicateRequest: CallRule(Addressee.STORE, Idempotence.BY_VERSION),
    ReplicaSummary: CallRule(Addressee.STORE, Idempotence.BY_VERSION),
    LearnerReady: CallRule(Addressee.VOTER, Idempotence.LATEST),
    LearnerLost: CallRule(Addressee.VOTER, Idempotence.LATEST),
}
DEFAULT_RULE = CallRule(Addressee.MEMBER, Idempotence.NEVER)  # for message types without an entry


def call_rule_of(message: object) -> CallRule:
    """Return the rule of a message, `DEFAULT_RULE` if its type has none."""
    return CALL_RULES.get(type(message), DEFAULT_RULE)
