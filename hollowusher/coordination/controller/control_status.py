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
from hollowusher.coordination.placement.partition_recovery import store_losses_borne
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.control_status import ControlStatus, PartitionStatus, VoterStatus
from hollowusher.protocol.view import View

NOT_SERVED = -1  # as a margin: a majority is lacking already


@attrs.frozen
class VoterSigns:
    """What the answering controller has lately heard of one voter."""

    heard: bool
    complete: bool  # it holds every committed state
    state_version: Sequence[int] = ()  # [epoch, sequence] of the newest state on its disk


@attrs.frozen
class ControlStanding:
    """What a controller knows of the agreement and the chain."""

    name: str
    view: View | None
    state: ControlState | None
    leads: bool  # it is the head, its epoch is in force and it hears a majority
    signs: Mapping[str, VoterSigns]
    spares: Sequence[str] = ()  # controllers that lately asked to become voters


UNHEARD = VoterSigns(False, False)


def controller_losses_borne(view: View, signs: Mapping[str, VoterSigns]) -> int:
    """How many further controllers may be lost, whichever they are; -1 where no view can be decided now."""
    heard = [signs[voter.name] for voter in view.voters if voter.name in signs and signs[voter.name].heard]
    complete = sum(sign.complete for sign in heard)
    return max(NOT_SERVED, min(len(heard) - quorum_size(view), complete - 1))


def control_status(
    standing: ControlStanding, partitions: Sequence[PartitionStatus], tolerance: int
) -> ControlStatus:
    """The answer to `ReadControlStatus`.  `partitions` may be empty where there is no placement yet."""
    view, state = standing.view, standing.state
    sequence = state.sequence if state is not None else 0
    generation = state.generation if state is not None else 0
    stores = store_losses_borne(partitions, tolerance)
    if view is None:
        return ControlStatus(
            standing.name,
            0,
            sequence,
            generation,
            "",
            "",
            False,
            0,
            [],
            [],
            NOT_SERVED,
            stores,
            [*partitions],
        )
    return ControlStatus(
        answered_by=standing.name,
        epoch=view.epoch,
        sequence=sequence,
        generation=generation,
        head=view.head,
        tail=view.tail,
        leads=standing.leads,
        majority=quorum_size(view),
        voters=_voters(view, standing.signs),
        spare_controllers=_spares(view, standing.spares),
        controller_losses_borne=controller_losses_borne(view, standing.signs),
        store_losses_borne=stores,
        partitions=[*partitions],
    )


def _voters(view: View, signs: Mapping[str, VoterSigns]) -> list[VoterStatus]:
    statuses = []
    for voter in view.voters:
        sign = signs.get(voter.name, UNHEARD)
        in_chain = voter.name in view.chain
        version = list(sign.state_version)
        statuses.append(VoterStatus(voter.name, voter.disk_id, sign.heard, in_chain, sign.complete, version))
    return statuses


def _spares(view: View, asking: Sequence[str]) -> list[str]:
    voting = {voter.name for voter in view.voters}
    return sorted(set(asking) - voting)
