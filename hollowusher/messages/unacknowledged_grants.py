"""Answers to lease requests that their dispatchers may never have got.

A dispatcher that had no answer to a request will not begin what the answer granted, and says so with its next
request: the number of the one that was lost.  What was granted then goes back at once, in place of waiting
for its leases to run out; a late copy of the lost request grants nothing.
"""

from __future__ import annotations

from typing import NamedTuple

from hollowusher.protocol.leases import LeasedJob, LeaseRequest

MAX_REQUESTERS = 4_096


class LeaseRequester(NamedTuple):
    """Who asks for jobs, with one request at a time."""

    dispatcher: str
    incarnation: int
    service: str
    pull: bool


class GrantedLeases(NamedTuple):
    """The last answer to an asker that held jobs."""

    number: int
    leases: list[str]


def _requester_of(request: LeaseRequest) -> LeaseRequester:
    return LeaseRequester(request.dispatcher, request.incarnation, request.service, request.pull)


class UnacknowledgedGrants:
    """The last grants of each asker, and the last request that each has declared lost."""

    def __init__(self) -> None:
        self._granted: dict[LeaseRequester, GrantedLeases] = {}
        self._lost: dict[LeaseRequester, int] = {}

    def record(self, request: LeaseRequest, jobs: list[LeasedJob]) -> None:
        """These jobs go out in answer to a request."""
        if not request.number:
            return
        asker = _requester_of(request)
        self._granted.pop(asker, None)
        if jobs:
            self._granted[asker] = GrantedLeases(request.number, [job.lease for job in jobs])
            _drop_oldest(self._granted)

    def take_lost(self, request: LeaseRequest) -> list[str]:
        """The leases that were granted by the answer which a request declares lost; they are given once."""
        asker = _requester_of(request)
        self._lost.pop(asker, None)
        self._lost[asker] = request.lost
        _drop_oldest(self._lost)
        granted = self._granted.get(asker)
        if granted is None or granted.number != request.lost:
            return []  # the lost request did not get here, or granted nothing: earlier jobs may be running
        del self._granted[asker]
        return granted.leases

    def is_abandoned(self, request: LeaseRequest) -> bool:
        """Whether the asker has given up waiting for the answer to this request."""
        return 0 < request.number <= self._lost.get(_requester_of(request), 0)


def _drop_oldest(entries: dict[LeaseRequester, GrantedLeases] | dict[LeaseRequester, int]) -> None:
    while len(entries) > MAX_REQUESTERS:
        del entries[next(iter(entries))]
