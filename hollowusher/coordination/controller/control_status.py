"""Construction of the `ControlStatus` that a controller shows to operators.  The module performs no I/O.

The controller margin is the number of further controllers that may fail, in any combination, while the
remaining ones can still decide views and commit changes.  This requires a reachable quorum of the voters and
one reachable voter that holds every committed state.  The store margin is the smallest margin of any
partition.  A margin of 0 means that the service is complete but does not tolerate another failure.  A margin
of -1 means that some part of the service is currently unavailable.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from hollowusher.coordination.consensus.paxos import quorum_size
from hollowusher.coordination.placement.partition_health import store_losses_borne
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.control_status import ControlStatus, PartitionStatus, VoterStatus
from hollowusher.protocol.view import View

NO_MARGIN = -1  # no quorum, or no complete voter, is reachable now


@attrs.frozen
class VoterObservation:
    """The recent state of one voter as observed by the controller that reports the status."""

    is_reachable: bool
    is_complete: bool  # whether the voter holds every committed state
    state_version: Sequence[int] = ()  # [epoch, sequence] of the newest state on the voter's disk


@attrs.frozen
class ControllerSnapshot:
    """One controller's consensus and chain state at one moment."""

    name: str
    view: View | None
    state: ControlState | None
    is_head: bool  # whether it is the head, has a committed state in its epoch and reaches a quorum
    observations: Mapping[str, VoterObservation]
    controllers: Sequence[str] = ()  # names of all live controllers, voters or not


UNREACHABLE = VoterObservation(is_reachable=False, is_complete=False)


def controller_losses_borne(view: View, observations: Mapping[str, VoterObservation]) -> int:
    """Return how many further controllers may fail in any combination.

    The result is -1 if no quorum or no complete voter is reachable now.
    """
    reachable = [
        observations[voter.name]
        for voter in view.voters
        if voter.name in observations and observations[voter.name].is_reachable
    ]
    complete = sum(observation.is_complete for observation in reachable)
    return max(NO_MARGIN, min(len(reachable) - quorum_size(view), complete - 1))


def build_control_status(
    snapshot: ControllerSnapshot, partitions: Sequence[PartitionStatus], tolerance: int
) -> ControlStatus:
    """Return the response to `ReadControlStatus`.

    `partitions` is empty while there is no placement.  `tolerance` is the configured number of simultaneous
    machine failures that the deployment tolerates.
    """
    view, state = snapshot.view, snapshot.state
    sequence = state.sequence if state is not None else 0
    generation = state.generation if state is not None else 0
    stores = store_losses_borne(partitions, tolerance)
    if view is None:
        return ControlStatus(
            answered_by=snapshot.name,
            epoch=0,
            sequence=sequence,
            generation=generation,
            head="",
            tail="",
            leads=False,
            majority=0,
            voters=[],
            spare_controllers=[],
            controller_losses_borne=NO_MARGIN,
            store_losses_borne=stores,
            partitions=[*partitions],
        )
    return ControlStatus(
        answered_by=snapshot.name,
        epoch=view.epoch,
        sequence=sequence,
        generation=generation,
        head=view.head,
        tail=view.tail,
        leads=snapshot.is_head,
        majority=quorum_size(view),
        voters=_voter_statuses(view, snapshot.observations),
        spare_controllers=_spare_names(view, snapshot.controllers),
        controller_losses_borne=controller_losses_borne(view, snapshot.observations),
        store_losses_borne=stores,
        partitions=[*partitions],
    )


def _voter_statuses(view: View, observations: Mapping[str, VoterObservation]) -> list[VoterStatus]:
    statuses = []
    for voter in view.voters:
        observation = observations.get(voter.name, UNREACHABLE)
        in_chain = voter.name in view.chain
        version = list(observation.state_version)
        statuses.append(
            VoterStatus(
                voter.name,
                voter.disk_id,
                observation.is_reachable,
                in_chain,
                observation.is_complete,
                version,
            )
        )
    return statuses


def _spare_names(view: View, controllers: Sequence[str]) -> list[str]:
    voting = {voter.name for voter in view.voters}
    return sorted(set(controllers) - voting)
