"""The state of the control plane as an operator is shown it.

`GET /status` and the command line print these messages with their field names: the names are an interface.
"""

from __future__ import annotations

import attrs

from hollowusher.protocol.codec import message


@message(80)
class ReadControlStatus:
    """Request for the state of consensus, chain and placement; the head knows most."""

    forwarded: bool = False


@message(81)
class VoterStatus:
    """One voter as the answering controller sees it."""

    name: str
    disk_id: str
    heard: bool  # it has answered lately
    in_chain: bool
    complete: bool  # it holds every committed state
    state_version: list[int] = attrs.Factory(list)  # [epoch, sequence] of the newest state on its disk


@message(82)
class PartitionStatus:
    """One partition as the head sees it."""

    partition: int
    epoch: int
    primary: str
    living: int  # replicas whose process and disk are there
    replicas: int
    learners: list[str] = attrs.Factory(list)  # catching up
    lost: bool = False  # fewer living replicas than a takeover needs: only an operator can bring it back


@message(83)
class ControlStatus:
    """State of the control plane from one controller's own knowledge."""

    answered_by: str
    epoch: int
    sequence: int
    generation: int
    head: str
    tail: str
    leads: bool  # the answering controller is the head and hears a majority
    majority: int
    voters: list[VoterStatus]
    spare_controllers: list[str]  # controllers that may take a voter's place
    controller_losses_borne: int  # how many further losses leave a majority and a complete chain member
    store_losses_borne: int  # the same for the worst partition; -1: a partition cannot serve now
    partitions: list[PartitionStatus] = attrs.Factory(list)
    worker_list_age_s: float = -1.0  # since the head last read the platform's whole list; -1: not the head
