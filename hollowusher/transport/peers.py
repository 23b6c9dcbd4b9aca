"""Identities of peers by address, and the check that a message has reached the intended process.  No I/O.

Addresses are reused, so each connection names the process that the caller intends to reach.  The caller
takes the identity at an address from the view and from the members' registrations; the receiver compares it
with its own identity and rejects the message if they differ.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from hollowusher.protocol.call_rules import Addressee, call_rule_of
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.identity import Hello, Identity
from hollowusher.protocol.membership import Member
from hollowusher.protocol.view import View

UNKNOWN = Identity("", "", 0)  # the identity of a process before `identify`
VOTER_ADDRESSEES = (Addressee.VOTER, Addressee.VOTER_DISK)
DISK_ADDRESSEES = (Addressee.VOTER_DISK, Addressee.STORE)
MAX_REPORTED_PAIRS = 100  # at most so many pairs of caller and intended process are reported


@attrs.define
class CallFigures:
    """Counters of a transport since its start."""

    refused: int = 0  # received messages that were intended for another process
    misdirected: int = 0  # messages sent by this process that an unintended receiver rejected
    answers_dropped: int = 0  # responses without a pending call: late, repeated, or of another call


class PeerDirectory:
    """The identity of this process, and the identities of its peers by address."""

    def __init__(self) -> None:
        self.own = UNKNOWN
        self.figures = CallFigures()
        # Called with the caller, the intended process and the reason of a rejected message.
        self.on_refused: Callable[[Identity, Identity, str], None] | None = None
        self._members: dict[str, Identity] = {}  # address -> identity of the member there
        self._registered: dict[str, Member] = {}  # address -> registration of the member there
        self._addresses: dict[str, str] = {}  # name of a member -> its address
        self._voters: dict[str, Identity] = {}
        self._any_process = UNKNOWN  # only the cluster is set: any process of it may answer
        self._view: View | None = None
        self._reported_pairs: set[tuple[str, str]] = set()

    def identify(self, identity: Identity) -> None:
        """Set the identity of this process; its cluster may be empty until the first view arrives."""
        self.own = evolve(identity, cluster=identity.cluster or self.own.cluster)

    def name_of(self, address: str) -> str:
        """Return the name of the process at an address, empty if it is unknown."""
        known = self._members.get(address) or self._voters.get(address)
        return "" if known is None else known.name

    def member_at(self, address: str) -> Identity | None:
        """Return the identity of the member that is registered at an address."""
        return self._members.get(address)

    def intended_peer(self, address: str, message: Any) -> Identity:
        """Return the identity of the process that a message to this address is intended for."""
        member = self._members.get(address)
        voter = self._voters.get(address)
        if voter is None or voter is member:  # fast path: by far the most calls take it
            return member or self._any_process
        if member is None or (
            call_rule_of(message).addressee in VOTER_ADDRESSEES and not self._is_reused(address, voter)
        ):
            return voter
        return member

    def _is_reused(self, address: str, voter: Identity) -> bool:
        """Return whether a living member with another name has registered a voter's address.

        Sending a message of the vote to that member is harmless, because votes are counted by name and disk.
        """
        registered = self._registered.get(address)
        return registered is not None and registered.alive and registered.name != voter.name

    def learn_member(self, member: Member) -> None:
        """Record a member's registration.

        Of two members at one address the living one takes precedence, then the one with the greater
        incarnation.
        """
        known = self._registered.get(member.address)
        if known is not None and known.name != member.name and _takes_precedence(known, member):
            return
        previous_address = self._addresses.pop(member.name, "")
        if previous_address in self._registered and self._registered[previous_address].name == member.name:
            del self._registered[previous_address], self._members[previous_address]
        self._addresses[member.name] = member.address
        self._registered[member.address] = member
        identity = Identity(self.own.cluster, member.name, member.incarnation, member.disk_id)
        self._members[member.address] = identity
        self._update_voters()

    def learn_view(self, view: View) -> None:
        """Record the voters and the cluster id of a newer decided view."""
        self._view = view
        if view.cluster and view.cluster != self.own.cluster:
            self.own = evolve(self.own, cluster=view.cluster)
            self._any_process = Identity(view.cluster, "", 0)
            self._members = {
                address: evolve(identity, cluster=view.cluster) for address, identity in self._members.items()
            }
        self._update_voters()

    def rejection_reason(self, hello: Hello, message: Any) -> str:
        """Return the reason to reject a message that was received after `hello`, empty to accept it."""
        own, meant = self.own, hello.meant
        if _differ(own.cluster, meant.cluster):
            return "another cluster"
        addressee = call_rule_of(message).addressee
        if addressee is Addressee.ANYBODY or not own.name or not meant.name:
            return ""
        if own.name != meant.name:
            return "another process"
        if addressee in DISK_ADDRESSEES and meant.disk_id and own.disk_id != meant.disk_id:
            return "another disk"
        return ""

    def record_rejection(self, hello: Hello, reason: str) -> None:
        """Count a rejected message; report each pair of caller and intended process once."""
        self.figures.refused += 1
        pair = (hello.caller.name, hello.meant.name)
        if pair in self._reported_pairs or len(self._reported_pairs) >= MAX_REPORTED_PAIRS:
            return
        self._reported_pairs.add(pair)
        if self.on_refused is not None:
            self.on_refused(hello.caller, hello.meant, reason)

    def _update_voters(self) -> None:
        """Rebuild the voters by address.

        A voter that is also the registered member at its address gets the member's identity, which includes
        the incarnation.
        """
        self._voters = {}
        for voter in [] if self._view is None else self._view.voters:
            member = self._members.get(voter.address)
            if member is None or (member.name, member.disk_id) != (voter.name, voter.disk_id):
                member = Identity(self.own.cluster, voter.name, 0, voter.disk_id)
            self._voters[voter.address] = member


def matches_exactly(meant: Identity, own: Identity) -> bool:
    """Return whether a process with identity `own` accepts every message intended for `meant`."""
    return (meant.cluster, meant.name, meant.disk_id) == (own.cluster, own.name, own.disk_id)


def _differ(one: str, other: str) -> bool:
    """Return whether two values differ and both are known, that is not empty."""
    return bool(one) and bool(other) and one != other


def _takes_precedence(known: Member, member: Member) -> bool:
    """Return whether the known registration of an address takes precedence over a new one."""
    return (known.alive, known.incarnation) > (member.alive, member.incarnation)
