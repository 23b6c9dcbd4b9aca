"""Placement of partitions on stores, and what primaries report about their learners.

The control chain keeps the placement; only its head changes it (`hollowusher.coordination.placement`).  A
store is named by its store id, "name/disk id".
"""

from __future__ import annotations

import attrs

from hollowusher.protocol.codec import message


@message(20)
class PartitionPlacement:
    """Replicas of one partition, and which of them is its primary.

    Learners receive records but count for no quorum until they have caught up and become replicas.
    """

    partition: int
    epoch: int  # grows with each change of the primary or the replicas
    primary: str
    replicas: list[str]
    learners: list[str] = attrs.Factory(list)
    primary_incarnation: int = 0  # the life of the primary's process that may serve this epoch; 0: any


@message(21)
class Placement:
    """Placement of all partitions; `version` grows with each change."""

    version: int
    partitions: list[PartitionPlacement]


@message(45)
class LearnerReady:
    """Report of a primary to the head: this learner holds every committed record.

    It is sent again until the placement has changed.  From the first report until the new placement is in
    force the primary commits with the learner's acknowledgement besides those of f+1 replicas; else a record
    that is on the primary and on the replaced replica alone would be lost together with the primary.
    """

    partition: int
    epoch: int
    store_id: str


@message(104)
class LearnerLost:
    """Report of a primary to the head: a learner that was reported ready does not answer any more.

    Commits wait for the learner until a placement without it is in force, whose greater epoch voids all
    earlier reports.  It is sent again until then.
    """

    partition: int
    epoch: int
    store_id: str
