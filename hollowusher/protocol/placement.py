"""Placement of partitions on stores, and the reports of primaries about their learners.

The control chain replicates the placement, and only its head changes it
(`hollowusher.coordination.placement`).  A store is identified by its store id, "name/disk id".
"""

from __future__ import annotations

import attrs

from hollowusher.protocol.codec import message


@message(20)
class PartitionPlacement:
    """Replicas of one partition, and which of them is its primary.

    Learners receive records but do not count for a quorum until they have caught up and become replicas.
    """

    partition: int
    epoch: int  # grows with each change of the primary or the replicas
    primary: str
    replicas: list[str]
    learners: list[str] = attrs.Factory(list)
    primary_incarnation: int = 0  # incarnation of the primary's process that may serve this epoch; 0: any


@message(21)
class Placement:
    """Placement of all partitions; `version` grows with each change."""

    version: int
    partitions: list[PartitionPlacement]


@message(45)
class LearnerReady:
    """Report of a primary to the head: the learner holds every committed record.

    The primary repeats the report until the placement has changed.  From the first report until the new
    placement is in force, a commit needs the acknowledgement of the learner in addition to f+1 replicas.
    Otherwise a record that only the primary and the replaced replica hold would be lost with the primary.
    """

    partition: int
    epoch: int
    store_id: str


@message(104)
class LearnerLost:
    """Report of a primary to the head: a learner that was reported ready no longer responds.

    Commits wait for the learner until a placement without it is in force, whose greater epoch invalidates all
    earlier reports.  Until then the primary repeats the report.
    """

    partition: int
    epoch: int
    store_id: str
