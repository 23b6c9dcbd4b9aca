"""One controller's knowledge of control and placement, as the `ControlStatus` shown to operators.  No I/O.

The margin of the controllers is how many further ones may be lost, whichever they are, with the rest still
able to decide and to lead: a quorum of the voters is reachable, and one of those left holds every committed
state.  The margin of the stores is that of the partition that is worst off.  A margin of 0 means that
everything is served but the next loss ends that; -1, that something cannot be served now.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from hollowusher.coordination.consensus.paxos import quorum_size
from hollowusher.coordination.placement.partition_health import store_losses_borne
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.control_status import ControlStatus, PartitionStatus, VoterStatus
from hollowusher.protocol.view import View

NO_MARGIN = -1  # a quorum is lacking already


@attrs.frozen
class VoterObservation:
    """What the answering controller has lately heard of one voter."""

    is_reachable: bool
    is_complete: bool  # it holds every committed state
    state_version: Sequence[int] = ()  # [epoch, sequence] of the newest state on its disk


@attrs.frozen
class ControllerSnapshot:
    """What a controller knows of the consensus and the chain at one moment."""

    name: str
    view: View | None
    state: ControlState | None
    is_head: bool  # its epoch is in force and it hears a quorum
    observations: Mapping[str, VoterObservation]
    controllers: Sequence[str] = ()  # all living controllers, voters or not


UNREACHABLE = VoterObservation(is_reachable=False, is_complete=False)


def controller_losses_borne(view: View, observations: Mapping[str, VoterObservation]) -> int:
    """Return how many further controllers may be lost, whichever; -1 if no view can be decided now."""
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
    """Return the answer to `ReadControlStatus`; `partitions` is empty while there is no placement."""
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
