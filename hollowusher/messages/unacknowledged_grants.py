"""Answers to lease requests that their dispatchers may not have received.

A dispatcher that had no answer to a request does not start what the answer granted, and says so with its next
request: the number of the request whose answer was lost.  Those leases are returned at once instead of
waiting for their expiry; a late copy of the lost request is granted nothing.
"""

from __future__ import annotations

from typing import NamedTuple

from hollowusher.protocol.leases import LeasedJob, LeaseRequest

MAX_REQUESTERS = 4_096


class LeaseRequester(NamedTuple):
    """Key of a requester, which has one request at a time."""

    dispatcher: str
    incarnation: int
    service: str
    pull: bool


class GrantedLeases(NamedTuple):
    """The last answer to a requester that had jobs."""

    number: int
    leases: list[str]


def _requester_of(request: LeaseRequest) -> LeaseRequester:
    return LeaseRequester(request.dispatcher, request.incarnation, request.service, request.pull)


class UnacknowledgedGrants:
    """The last grants of each requester, and the last request that each has declared lost."""

    def __init__(self) -> None:
        self._granted: dict[LeaseRequester, GrantedLeases] = {}
        self._lost: dict[LeaseRequester, int] = {}

    def record(self, request: LeaseRequest, jobs: list[LeasedJob]) -> None:
        """Record the jobs of the answer to a request."""
        if not request.number:
            return
        requester = _requester_of(request)
        self._granted.pop(requester, None)
        if jobs:
            self._granted[requester] = GrantedLeases(request.number, [job.lease for job in jobs])
            _drop_oldest(self._granted)

    def take_lost(self, request: LeaseRequest) -> list[str]:
        """Return, once, the leases of the answer that a request declares lost."""
        requester = _requester_of(request)
        self._lost.pop(requester, None)
        self._lost[requester] = request.lost
        _drop_oldest(self._lost)
        granted = self._granted.get(requester)
        if granted is None or granted.number != request.lost:
            return []  # the lost request did not get here, or granted nothing: earlier jobs may be running
        del self._granted[requester]
        return granted.leases

    def is_abandoned(self, request: LeaseRequest) -> bool:
        """Return whether the requester no longer waits for the answer to this request."""
        return 0 < request.number <= self._lost.get(_requester_of(request), 0)


def _drop_oldest(entries: dict[LeaseRequester, GrantedLeases] | dict[LeaseRequester, int]) -> None:
    while len(entries) > MAX_REQUESTERS:
        del entries[next(iter(entries))]
