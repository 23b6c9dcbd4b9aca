"""The state of the control plane for operators.

`GET /status` and the command line output these messages by field name, so the field names are an interface.
"""

from __future__ import annotations

import attrs

from hollowusher.protocol.codec import message


@message(80)
class ReadControlStatus:
    """Request for the state of consensus, chain and placement; the head has the most complete state."""

    forwarded: bool = False


@message(81)
class VoterStatus:
    """State of one voter, as observed by the responding controller."""

    name: str
    disk_id: str
    heard: bool  # it has responded recently
    in_chain: bool
    complete: bool  # it holds every committed state
    state_version: list[int] = attrs.Factory(list)  # [epoch, sequence] of the newest state on its disk


@message(82)
class PartitionStatus:
    """State of one partition, as observed by the head."""

    partition: int
    epoch: int
    primary: str
    living: int  # number of replicas whose store is alive with the disk of the replica
    replicas: int
    learners: list[str] = attrs.Factory(list)  # store ids of the learners, which are still catching up
    lost: bool = False  # too few living replicas for a takeover: only an operator can recover the partition


@message(83)
class ControlStatus:
    """State of the control plane, as observed by one controller."""

    answered_by: str
    epoch: int
    sequence: int
    generation: int
    head: str
    tail: str
    leads: bool  # the responding controller is the head and is in contact with a majority
    majority: int
    voters: list[VoterStatus]
    spare_controllers: list[str]  # controllers that may replace a voter
    controller_losses_borne: int  # further losses after which a majority and a complete chain member remain
    store_losses_borne: int  # further losses that the worst partition survives; -1: a partition cannot serve
    partitions: list[PartitionStatus] = attrs.Factory(list)
    worker_list_age_s: float = -1.0  # seconds since the head last read the complete list; -1: not the head
