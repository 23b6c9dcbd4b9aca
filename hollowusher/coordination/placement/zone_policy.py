"""Where the replicas of a partition stand among the zones.  No I/O, no clock.

Every record travels to f+1 replicas before it counts, so the zones of a commit quorum decide how many bytes
cross between zones and how long a commit takes.  A deployment says whether it has to tolerate the loss of
zones: then replicas are spread as far as possible.  Otherwise the primary's zone, its partition's home, keeps
f+1 replicas where it has so many stores, and only the others are spread.
"""

from __future__ import annotations

from enum import Enum

HOME_QUORUMS = True  # a switch, to measure what home zones are worth


class ZonePolicy(Enum):
    """How replicas are distributed over the zones."""

    SPREAD = "spread"  # as many zones as possible: the loss of a zone is tolerated
    QUORUM_AT_HOME = "quorum_at_home"  # a commit quorum in the primary's zone, the other replicas spread


def zone_policy(tolerated_zones: int, tolerated_regions: int) -> ZonePolicy:
    """Return the policy of a deployment that tolerates the loss of so many zones and regions."""
    if tolerated_zones > 0 or tolerated_regions > 0 or not HOME_QUORUMS:
        return ZonePolicy.SPREAD
    return ZonePolicy.QUORUM_AT_HOME
