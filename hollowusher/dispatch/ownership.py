"""Which edge process owns which destination.  No I/O, no clock.

Every process computes the same owners from the same names, with rendezvous hashing and bounded load.  While
two processes know different members a destination may have two owners for a moment; the destination refuses
what is too much for it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import attrs

from hollowusher.coordination.rendezvous import choose, rank
from hollowusher.protocol.membership import Member

LOAD_BOUND = 1.25  # most destinations of one process, in even shares
ROUNDING_TOLERANCE = 1e-9  # of sums of shares
MAX_RANKINGS = 100_000  # hashes for the bounded assignment; beyond it each destination has its first choice


@attrs.frozen
class Destination:
    """Something that jobs are delivered to: a listed worker, a fixed endpoint or a call-back receiver."""

    key: str
    zone: str = ""  # empty: not known


def worker_destination(service: str, worker_id: str, zone: str) -> Destination:
    """The destination of a worker of the platform's list."""
    return Destination(f"{service}/{worker_id}", zone)


def fixed_destination(service: str, address: str) -> Destination:
    """The destination of a service's fixed endpoint."""
    return Destination(f"{service}/{address}")


def candidate_owners(destination: Destination, members: Sequence[Member]) -> list[str]:
    """The processes that may own a destination: those of its zone where there are any, since every delivery
    from elsewhere crosses between zones."""
    near = [member.name for member in members if member.zone == destination.zone]
    return near or [member.name for member in members]


def preferred_owner(destination: Destination, members: Sequence[Member]) -> str | None:
    """The first choice of a destination, None where no process is alive."""
    return choose(destination.key, candidate_owners(destination, members))


def assign_owners(destinations: Iterable[Destination], members: Sequence[Member]) -> dict[str, str]:
    """The owner of each destination, by its key.  No process gets much more than its share of the
    destinations that it is a candidate for."""
    wanted = sorted(set(destinations), key=lambda destination: destination.key)
    if not members:
        return {}
    if len(wanted) * len(members) > MAX_RANKINGS:
        return {each.key: choose(each.key, candidate_owners(each, members)) or "" for each in wanted}
    names = {each.key: candidate_owners(each, members) for each in wanted}
    bounds = _bounds(names)
    loads = {member.name: 0 for member in members}
    owners: dict[str, str] = {}
    for destination in wanted:
        ranking = rank(destination.key, names[destination.key])
        chosen = next((name for name in ranking if loads[name] < bounds[name]), ranking[0])
        loads[chosen] += 1
        owners[destination.key] = chosen
    return owners


def _bounds(names: dict[str, list[str]]) -> dict[str, int]:
    """The most destinations of each process: somewhat more than the sum of its even shares."""
    shares: dict[str, float] = {}
    for those in names.values():
        for name in those:
            shares[name] = shares.get(name, 0.0) + 1.0 / len(those)
    return {name: math.ceil(LOAD_BOUND * share - ROUNDING_TOLERANCE) for name, share in shares.items()}
