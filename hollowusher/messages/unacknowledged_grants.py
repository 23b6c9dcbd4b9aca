"""Leases whose dispatchers may not have received the response that grants them.

A dispatcher that receives no response to a lease request starts none of the jobs in that response.  Its next
request carries the number of the lost request.  The store then returns the leases of the lost response at
once instead of waiting for their expiry, and grants nothing to a late copy of the lost request.
"""

from __future__ import annotations

from typing import NamedTuple

from hollowusher.protocol.leases import LeasedJob, LeaseRequest

MAX_REQUESTERS = 4_096


class LeaseRequester(NamedTuple):
    """Identity of a requester; each requester has at most one request in flight."""

    dispatcher: str
    incarnation: int
    service: str
    pull: bool


class GrantedLeases(NamedTuple):
    """The number of a request and the ids of the leases granted in its response."""

    number: int
    leases: list[str]


def _requester_of(request: LeaseRequest) -> LeaseRequester:
    return LeaseRequester(request.dispatcher, request.incarnation, request.service, request.pull)


class UnacknowledgedGrants:
    """The last grants to each requester, and the last request that each requester has reported lost."""

    def __init__(self) -> None:
        self._granted: dict[LeaseRequester, GrantedLeases] = {}
        self._lost: dict[LeaseRequester, int] = {}

    def record(self, request: LeaseRequest, jobs: list[LeasedJob]) -> None:
        """Record the jobs in the response to a request."""
        if not request.number:
            return
        requester = _requester_of(request)
        self._granted.pop(requester, None)
        if jobs:
            self._granted[requester] = GrantedLeases(request.number, [job.lease for job in jobs])
            _drop_oldest(self._granted)

    def take_lost(self, request: LeaseRequest) -> list[str]:
        """Remove and return the leases of the response that this request reports lost."""
        requester = _requester_of(request)
        self._lost.pop(requester, None)
        self._lost[requester] = request.lost
        _drop_oldest(self._lost)
        granted = self._granted.get(requester)
        if granted is None or granted.number != request.lost:
            # This store did not receive the lost request or granted nothing to it; the recorded leases belong
            # to an earlier response, and their jobs may be running.
            return []
        del self._granted[requester]
        return granted.leases

    def is_abandoned(self, request: LeaseRequest) -> bool:
        """Return whether the requester no longer waits for the response to this request."""
        return 0 < request.number <= self._lost.get(_requester_of(request), 0)


def _drop_oldest(entries: dict[LeaseRequester, GrantedLeases] | dict[LeaseRequester, int]) -> None:
    while len(entries) > MAX_REQUESTERS:
        del entries[next(iter(entries))]
