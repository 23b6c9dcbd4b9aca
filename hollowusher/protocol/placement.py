"""Which store holds which partition, and what primaries report about their learners."""

from __future__ import annotations

import attrs

from hollowusher.protocol.codec import message


@message(20)
class PartitionPlacement:
    """Who keeps one partition.  Replicas and learners are store ids ("name/disk id"); the primary is one of
    the replicas.  Learners receive records but do not count until they have caught up."""

    partition: int
    epoch: int  # grows with each change of the primary or the replicas
    primary: str
    replicas: list[str]
    learners: list[str] = attrs.Factory(list)
    primary_incarnation: int = 0  # the life of the primary's process that may serve this epoch; 0: any


@message(21)
class Placement:
    """The placement of all partitions."""

    version: int
    partitions: list[PartitionPlacement]


@message(45)
class LearnerReady:
    """From a partition's primary to the head: this learner holds every committed record.  Sent again until
    the placement has changed.

    From the moment it first sends this until the new placement is in force, the primary has to commit with
    the learner's acknowledgement besides those of f+1 replicas; else a record that stands on the primary and
    on the replaced replica alone would be lost together with the primary."""

    partition: int
    epoch: int
    store_id: str


@message(104)
class LearnerLost:
    """From a partition's primary to the head: this learner, which it had reported ready, does not answer any
    more.  Commits wait for the learner until a placement without it is in force, whose greater epoch makes
    all earlier reports void.  Sent again until then."""

    partition: int
    epoch: int
    store_id: str
