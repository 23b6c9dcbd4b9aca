"""For each message that is sent by itself: whom it is meant for, and whether it may be sent again.

A message may be sent again after silence or a reset only where a second arrival does no harm: because it
changes nothing, or because an id, a version, a ballot or an epoch in it makes the second arrival the same as
the first.  `docs/control-safety/calls.md` tells who repeats which, and to whom.
"""

from __future__ import annotations

import enum

import attrs

from hollowusher.protocol.consensus import Accept, ConfirmEpoch, Decided, Ping, Prepare, ProposeFirst
from hollowusher.protocol.control_chain import ChainWrite, ReadRecord, ReadState
from hollowusher.protocol.control_status import ReadControlStatus
from hollowusher.protocol.distribution import PullUpdates, Repair
from hollowusher.protocol.leases import Extend, Finish, JobsWaiting, LeaseRequest
from hollowusher.protocol.membership import Heartbeat, Leaving, ProbeLife, Register, Suspicion
from hollowusher.protocol.messages import Put, StatusRequest
from hollowusher.protocol.operator_orders import (
    ChangeConfiguration,
    ReadConfiguration,
    RecoverPartition,
    Retire,
)
from hollowusher.protocol.placement import LearnerLost, LearnerReady
from hollowusher.protocol.replication import Replicate, Summary
from hollowusher.protocol.view import Announce, OfferView, ReadView


class Addressee(enum.Enum):
    """How exactly the receiver has to be the process that is meant."""

    ANYBODY = "whoever is there: the caller is still looking for the system"
    VOTER = "the voter of that name"
    VOTER_DISK = "the voter of that name, with the disk that votes"
    MEMBER = "the member of that name"
    STORE = "the store of that name, with the disk that holds the replicas"


class Repeat(enum.Enum):
    """What makes a second arrival of a message harmless."""

    READ = "it changes nothing"
    BY_ID = "an id in it: the second arrival finds the first one's result"
    BY_VERSION = "a version, epoch or ballot in it: an older or equal one changes nothing"
    LATEST = "it tells how things stand now: the second says the same, or is replaced by the next"
    LEASED_TWICE = "it asks for more: what a lost answer granted goes back, told so or run out"
    NEVER = "a second arrival may have another effect than the first: it is sent once"


@attrs.frozen
class CallRule:
    """How one type of message may be sent."""

    addressee: Addressee
    repeat: Repeat

    @property
    def repeatable(self) -> bool:
        """Whether the same message may be sent again where it is not known what became of it."""
        return self.repeat is not Repeat.NEVER


CALL_RULES: dict[type, CallRule] = {
    # finding the system
    ReadView: CallRule(Addressee.ANYBODY, Repeat.READ),
    Announce: CallRule(Addressee.ANYBODY, Repeat.LATEST),
    OfferView: CallRule(Addressee.ANYBODY, Repeat.BY_VERSION),
    # agreement and chain
    ProposeFirst: CallRule(Addressee.VOTER, Repeat.BY_VERSION),
    Prepare: CallRule(Addressee.VOTER_DISK, Repeat.BY_VERSION),
    Accept: CallRule(Addressee.VOTER_DISK, Repeat.BY_VERSION),
    ConfirmEpoch: CallRule(Addressee.VOTER_DISK, Repeat.READ),
    Decided: CallRule(Addressee.VOTER, Repeat.BY_VERSION),
    Ping: CallRule(Addressee.VOTER, Repeat.READ),
    ChainWrite: CallRule(Addressee.VOTER_DISK, Repeat.BY_VERSION),
    ReadRecord: CallRule(Addressee.VOTER, Repeat.READ),
    # members and distributed values
    Register: CallRule(Addressee.VOTER, Repeat.BY_VERSION),
    Leaving: CallRule(Addressee.VOTER, Repeat.BY_VERSION),
    Heartbeat: CallRule(Addressee.MEMBER, Repeat.LATEST),
    Suspicion: CallRule(Addressee.VOTER, Repeat.LATEST),
    ProbeLife: CallRule(Addressee.MEMBER, Repeat.READ),
    PullUpdates: CallRule(Addressee.VOTER, Repeat.READ),
    Repair: CallRule(Addressee.VOTER, Repeat.BY_VERSION),
    ReadState: CallRule(Addressee.VOTER, Repeat.READ),
    # the operator, forwarded
    ChangeConfiguration: CallRule(Addressee.VOTER, Repeat.NEVER),
    Retire: CallRule(Addressee.VOTER, Repeat.NEVER),
    RecoverPartition: CallRule(Addressee.VOTER, Repeat.NEVER),
    ReadConfiguration: CallRule(Addressee.VOTER, Repeat.READ),
    ReadControlStatus: CallRule(Addressee.VOTER, Repeat.READ),
    # messages
    Put: CallRule(Addressee.STORE, Repeat.BY_ID),
    LeaseRequest: CallRule(Addressee.STORE, Repeat.LEASED_TWICE),
    Finish: CallRule(Addressee.STORE, Repeat.BY_ID),
    Extend: CallRule(Addressee.STORE, Repeat.BY_ID),
    StatusRequest: CallRule(Addressee.STORE, Repeat.READ),
    JobsWaiting: CallRule(Addressee.MEMBER, Repeat.LATEST),
    # replicas
    Replicate: CallRule(Addressee.STORE, Repeat.BY_VERSION),
    Summary: CallRule(Addressee.STORE, Repeat.BY_VERSION),
    LearnerReady: CallRule(Addressee.VOTER, Repeat.LATEST),
    LearnerLost: CallRule(Addressee.VOTER, Repeat.LATEST),
}
STRICTEST = CallRule(Addressee.MEMBER, Repeat.NEVER)  # of a message that has no rule


def rule_of(message: object) -> CallRule:
    """The rule of a message."""
    return CALL_RULES.get(type(message), STRICTEST)
