"""Assignment of destinations to the edge processes that own them.  No I/O, no clock.

Every process computes the same owners from the same member names and destination keys, by rendezvous hashing
with bounded loads.  While two processes have different member lists, a destination may briefly have two
owners.  In this time the destination itself rejects jobs beyond its capacity.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import attrs

from hollowusher.configuration.model import Service
from hollowusher.coordination.rendezvous import choose, rank
from hollowusher.protocol.membership import Member

LOAD_BOUND = 1.25  # maximum number of destinations per process, as a multiple of its even share
ROUNDING_TOLERANCE = 1e-9  # absorbs floating-point error in sums of shares
# Limit on destinations times members, the number of hashes that the bounded assignment computes.  Above this
# limit, each destination goes to the first process of its ranking, without a load bound.
MAX_RANKINGS = 100_000


@attrs.frozen
class Destination:
    """A target of deliveries: a listed worker, a fixed endpoint or a callback receiver."""

    key: str
    zone: str = ""  # empty if unknown


def worker_destination(service: str, worker_id: str, zone: str) -> Destination:
    """Return the destination for a worker in the platform's worker list."""
    return Destination(f"{service}/{worker_id}", zone)


def fixed_destination(service: Service) -> Destination | None:
    """Return the destination for a service's fixed endpoint, or None if it has none."""
    key = service.fixed_destination_key
    return None if key is None else Destination(key)


def candidate_owners(destination: Destination, members: Sequence[Member]) -> list[str]:
    """Return the names of the processes that may own a destination.

    These are the processes in the destination's zone, because a delivery from another zone is cross-zone
    traffic.  If that zone has no process, every process is a candidate."""
    near = [member.name for member in members if member.zone == destination.zone]
    return near or [member.name for member in members]


def preferred_owner(destination: Destination, members: Sequence[Member]) -> str | None:
    """Return the first process of a destination's ranking, or None if `members` is empty."""
    return choose(destination.key, candidate_owners(destination, members))


def assign_owners(destinations: Iterable[Destination], members: Sequence[Member]) -> dict[str, str]:
    """Return the name of the owner of each destination, by destination key.

    `LOAD_BOUND` limits each process to a multiple of its even share of the destinations for which it is a
    candidate."""
    wanted = sorted(set(destinations), key=lambda destination: destination.key)
    if not members:
        return {}
    if len(wanted) * len(members) > MAX_RANKINGS:
        return {each.key: choose(each.key, candidate_owners(each, members)) or "" for each in wanted}
    candidates = {each.key: candidate_owners(each, members) for each in wanted}
    bounds = _max_loads(candidates)
    loads = {member.name: 0 for member in members}
    owners: dict[str, str] = {}
    for destination in wanted:
        ranking = rank(destination.key, candidates[destination.key])
        chosen = next((name for name in ranking if loads[name] < bounds[name]), ranking[0])
        loads[chosen] += 1
        owners[destination.key] = chosen
    return owners


def _max_loads(candidates: dict[str, list[str]]) -> dict[str, int]:
    """Return the maximum number of destinations of each process: `LOAD_BOUND` times its even share.

    `candidates` holds the candidate owners of each destination.  Each destination adds an equal share to each
    of its candidates."""
    shares: dict[str, float] = {}
    for allowed in candidates.values():
        for name in allowed:
            shares[name] = shares.get(name, 0.0) + 1.0 / len(allowed)
    return {name: math.ceil(LOAD_BOUND * share - ROUNDING_TOLERANCE) for name, share in shares.items()}
