"""The quorums of a partition's replicas.

A record is committed on a commit quorum of the replicas.  A new primary compares a takeover quorum of them
before it serves.  The two always intersect, so the new primary learns every committed record.

Source: Liskov and Cowling, "Viewstamped Replication revisited" (2012).
"""

from __future__ import annotations


def commit_quorum(replicas: int, tolerance: int) -> int:
    """Return how many replicas must have stored a record before it is committed.

    `tolerance` is the number of losses that the deployment tolerates (f).
    """
    return min(tolerance + 1, max(1, replicas))


def takeover_quorum(replicas: int, tolerance: int) -> int:
    """Return how many replicas a new primary has to compare, itself among them."""
    quorum = commit_quorum(replicas, tolerance)
    return max(quorum, replicas - quorum + 1)
