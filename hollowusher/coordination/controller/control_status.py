"""How control and placement stand, for operators: one controller's knowledge as a `ControlStatus`.  No I/O.

The margin of the controllers is the number of further ones that may be lost, whichever they are, with the
others still able to decide and to lead: a majority of the voters is heard, and one of those left holds every
committed state.  The margin of the stores is that of the partition that is worst off.  A margin of 0 says
that all is served but the next loss ends it; -1 says that something cannot be served now.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from hollowusher.coordination.consensus.paxos import quorum_size
from hollowusher.coordination.placement.partition_health import store_losses_borne
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.control_status import ControlStatus, PartitionStatus, VoterStatus
from hollowusher.protocol.view import View

NO_MARGIN = -1  # as a margin: a majority is lacking already


@attrs.frozen
class VoterObservation:
    """What the answering controller has lately heard of one voter."""

    heard: bool
    complete: bool  # it holds every committed state
    state_version: Sequence[int] = ()  # [epoch, sequence] of the newest state on its disk


@attrs.frozen
class ControllerSnapshot:
    """What a controller knows of the agreement and the chain."""

    name: str
    view: View | None
    state: ControlState | None
    leads: bool  # it is the head, its epoch is in force and it hears a majority
    observations: Mapping[str, VoterObservation]
    spares: Sequence[str] = ()  # controllers that lately asked to become voters


UNREACHABLE = VoterObservation(False, False)


def controller_losses_borne(view: View, observations: Mapping[str, VoterObservation]) -> int:
    """How many further controllers may be lost, whichever they are; -1 where no view can be decided now."""
    heard = [
        observations[voter.name]
        for voter in view.voters
        if voter.name in observations and observations[voter.name].heard
    ]
    complete = sum(observation.complete for observation in heard)
    return max(NO_MARGIN, min(len(heard) - quorum_size(view), complete - 1))


def build_control_status(
    snapshot: ControllerSnapshot, partitions: Sequence[PartitionStatus], tolerance: int
) -> ControlStatus:
    """The answer to `ReadControlStatus`.  `partitions` may be empty where there is no placement yet."""
    view, state = snapshot.view, snapshot.state
    sequence = state.sequence if state is not None else 0
    generation = state.generation if state is not None else 0
    stores = store_losses_borne(partitions, tolerance)
    if view is None:
        return ControlStatus(
            snapshot.name,
            0,
            sequence,
            generation,
            "",
            "",
            False,
            0,
            [],
            [],
            NO_MARGIN,
            stores,
            [*partitions],
        )
    return ControlStatus(
        answered_by=snapshot.name,
        epoch=view.epoch,
        sequence=sequence,
        generation=generation,
        head=view.head,
        tail=view.tail,
        leads=snapshot.leads,
        majority=quorum_size(view),
        voters=_voter_statuses(view, snapshot.observations),
        spare_controllers=_spare_names(view, snapshot.spares),
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
            VoterStatus(voter.name, voter.disk_id, observation.heard, in_chain, observation.complete, version)
        )
    return statuses


def _spare_names(view: View, asking: Sequence[str]) -> list[str]:
    voting = {voter.name for voter in view.voters}
    return sorted(set(asking) - voting)
