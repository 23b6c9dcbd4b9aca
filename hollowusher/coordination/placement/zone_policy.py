"""Distribution of the replicas of a partition over zones.  The module performs no I/O and reads no clock.

A record is committed once f+1 replicas have stored it, so the zones of a commit quorum determine how many
bytes cross zones and how long a commit takes.  A deployment configures whether it has to tolerate the loss of
zones.  If so, the replicas are spread over as many zones as possible.  Otherwise the zone of the primary,
called the home zone of the partition, holds f+1 replicas if it has that many stores, and only the other
replicas are spread.
"""

from __future__ import annotations

from enum import Enum

HOME_QUORUMS = True  # False disables home zones, for experiments that measure their effect


class ZonePolicy(Enum):
    """How replicas are distributed over the zones."""

    SPREAD = "spread"  # replicas in as many zones as possible, to tolerate the loss of a zone
    QUORUM_AT_HOME = "quorum_at_home"  # a commit quorum in the primary's zone, the other replicas spread


def zone_policy(tolerated_zones: int, tolerated_regions: int) -> ZonePolicy:
    """Return the policy for the numbers of zone and region losses that a deployment must tolerate."""
    if tolerated_zones > 0 or tolerated_regions > 0 or not HOME_QUORUMS:
        return ZonePolicy.SPREAD
    return ZonePolicy.QUORUM_AT_HOME
