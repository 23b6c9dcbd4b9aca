"""Quorum sizes for the replicas of a partition.

A record is committed once a commit quorum of the replicas has stored it.  A new primary compares the records
of a takeover quorum before it serves requests.  The two quorums always intersect, so the new primary finds
every committed record.

Source: Liskov and Cowling, "Viewstamped Replication revisited" (2012).
"""

from __future__ import annotations


def commit_quorum(replicas: int, tolerance: int) -> int:
    """Return how many of the replicas must store a record before it is committed.

    `tolerance` is f, the number of lost replicas that the deployment tolerates.
    """
    return min(tolerance + 1, max(1, replicas))


def takeover_quorum(replicas: int, tolerance: int) -> int:
    """Return how many replicas a new primary has to compare, including itself."""
    quorum = commit_quorum(replicas, tolerance)
    return max(quorum, replicas - quorum + 1)
