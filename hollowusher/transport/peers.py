"""Who is meant by a call, and whether the process that is called is the one: no I/O.

Addresses are used again, so a call names the process that it is meant for.  The caller knows names by the
addresses in the view and in the members' registrations; the process called compares them with its own.
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

UNKNOWN = Identity("", "", 0)
VOTER_ADDRESSEES = (Addressee.VOTER, Addressee.VOTER_DISK)
DISK_ADDRESSEES = (Addressee.VOTER_DISK, Addressee.STORE)
MAX_REPORTED_PAIRS = 100  # pairs of caller and meant process that are reported once each


@attrs.define
class CallFigures:
    """What a transport has counted since its start."""

    refused: int = 0  # frames meant for another process, not handed on
    misdirected: int = 0  # calls of this process that another one refused
    answers_dropped: int = 0  # answers that no call waits for: too late, repeated, or to another question


class PeerDirectory:
    """This process's own identity, and the processes it knows by address."""

    def __init__(self) -> None:
        self.own = UNKNOWN
        self.figures = CallFigures()
        self.on_refused: Callable[[Identity, Identity, str], None] | None = None  # caller, meant, reason
        self._members: dict[str, Identity] = {}  # address -> member there
        self._registered: dict[str, Member] = {}  # address -> its registration
        self._addresses: dict[str, str] = {}  # member's name -> its address
        self._voters: dict[str, Identity] = {}
        self._any_process = UNKNOWN  # nothing but the cluster
        self._view: View | None = None
        self._reported_pairs: set[tuple[str, str]] = set()

    def identify(self, identity: Identity) -> None:
        """Say who this process is; the cluster may become known later."""
        self.own = evolve(identity, cluster=identity.cluster or self.own.cluster)

    def name_of(self, address: str) -> str:
        """The name of the process at an address, empty where it is not known."""
        known = self._members.get(address) or self._voters.get(address)
        return "" if known is None else known.name

    def meant(self, address: str, message: Any) -> Identity:
        """The process that a message to this address is meant for."""
        member = self._members.get(address)
        voter = self._voters.get(address)
        if voter is None or voter is member:  # by far the most calls
            return member or self._any_process
        if member is None or (
            call_rule_of(message).addressee in VOTER_ADDRESSEES and not self._is_reused(address, voter)
        ):
            return voter
        return member

    def _is_reused(self, address: str, voter: Identity) -> bool:
        """Whether another process lives at a voter's address by now.  What it is sent as that voter's
        successor is harmless: votes count by name and disk."""
        registered = self._registered.get(address)
        return registered is not None and registered.alive and registered.name != voter.name

    def learn_member(self, member: Member) -> None:
        """A registration: of two processes at one address the living one counts, then the later one."""
        known = self._registered.get(member.address)
        if known is not None and known.name != member.name and _takes_precedence(known, member):
            return
        before = self._addresses.pop(member.name, "")
        if before in self._registered and self._registered[before].name == member.name:
            del self._registered[before], self._members[before]
        self._addresses[member.name] = member.address
        self._registered[member.address] = member
        identity = Identity(self.own.cluster, member.name, member.incarnation, member.disk_id)
        self._members[member.address] = identity
        self._update_voters()

    def learn_view(self, view: View) -> None:
        """A newer decided view: its voters, and the cluster's id."""
        self._view = view
        if view.cluster and view.cluster != self.own.cluster:
            self.own = evolve(self.own, cluster=view.cluster)
            self._any_process = Identity(view.cluster, "", 0)
            self._members = {
                address: evolve(identity, cluster=view.cluster) for address, identity in self._members.items()
            }
        self._update_voters()

    def refusal(self, hello: Hello, message: Any) -> str:
        """Why a message that came after this greeting is not for this process, empty where it is."""
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

    def refuse(self, hello: Hello, reason: str) -> None:
        """Count a message that was not handed on; report each pair of processes once."""
        self.figures.refused += 1
        pair = (hello.caller.name, hello.meant.name)
        if pair in self._reported_pairs or len(self._reported_pairs) >= MAX_REPORTED_PAIRS:
            return
        self._reported_pairs.add(pair)
        if self.on_refused is not None:
            self.on_refused(hello.caller, hello.meant, reason)

    def _update_voters(self) -> None:
        """The voters by address; a voter that is the member there is known with its life."""
        self._voters = {}
        for voter in [] if self._view is None else self._view.voters:
            member = self._members.get(voter.address)
            if member is None or (member.name, member.disk_id) != (voter.name, voter.disk_id):
                member = Identity(self.own.cluster, voter.name, 0, voter.disk_id)
            self._voters[voter.address] = member


def matches_exactly(meant: Identity, own: Identity) -> bool:
    """Whether no message that means the one could be refused by the other."""
    return (meant.cluster, meant.name, meant.disk_id) == (own.cluster, own.name, own.disk_id)


def _differ(one: str, other: str) -> bool:
    return bool(one) and bool(other) and one != other


def _takes_precedence(known: Member, member: Member) -> bool:
    """Whether the known registration of an address stays, against one of another process."""
    return (known.alive, known.incarnation) > (member.alive, member.incarnation)
