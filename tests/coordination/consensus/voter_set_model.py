"""A model of who votes: losses, newcomers and lost disks in any order, with the planner of the voter set.

A step of the planner is decided as soon as a majority of the voters lives.  A machine is lost only in quiet,
when the planner has nothing left to do and every earlier loss is known, and only while three are there.
What is lost is known some time later; newcomers may come before the loss, before it is known, or after.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from hollowusher.coordination.consensus.liveness_snapshot import take_liveness_snapshot
from hollowusher.coordination.consensus.paxos import find_voter, first_view, quorum_size
from hollowusher.coordination.consensus.reconfiguration import plan_chain, plan_voters
from hollowusher.coordination.consensus.voter_health import VoterHealth
from hollowusher.coordination.consensus.voter_set import (
    VoterSetChange,
    plan_voter_set_change,
    required_voters,
)
from hollowusher.protocol.codec import decode, encode
from hollowusher.protocol.consensus import Pong
from hollowusher.protocol.view import View, Voter

NAMES = "abcdefgh"
NOW = 100.0  # far behind every time-out since the last sign of a lost voter
Planner = Callable[[View, list[Voter], VoterHealth], VoterSetChange | None]


def present_planner(view: View, spares: list[Voter], health: VoterHealth) -> VoterSetChange | None:
    """The planner of `coordination.voter_plan`, for one loss at a time."""
    return plan_voter_set_change(view, spares, health, required_voters(1), NOW)


def older_planner(view: View, spares: list[Voter], health: VoterHealth) -> VoterSetChange | None:
    """Who came was added up to five voters; one that was gone went only where another took its place."""
    for candidate in spares:
        held = find_voter(view, candidate.name)
        if held == candidate:
            continue
        if held is not None:
            return VoterSetChange(candidate, held.name)
        gone = [voter.name for voter in view.voters if health.is_dead(voter.name, NOW)]
        if gone:
            return VoterSetChange(candidate, gone[0])
        if len(view.voters) < 5:
            return VoterSetChange(candidate, None)
    return None


class State(NamedTuple):
    """The view, the machines that live (name, disk), the losses not known yet, and how much has happened."""

    view: bytes
    living: frozenset[tuple[str, str]]
    unknown: frozenset[str] = frozenset()
    losses: int = 0
    newcomers: int = 0


class VotersModel:
    """See `hollowusher.simulation.model_check.explorer.Model`."""

    def __init__(
        self,
        controllers: int,
        losses: int,
        newcomers: int,
        planner: Planner = present_planner,
        voters: int = 3,
    ) -> None:
        self._controllers = controllers
        self._voters = voters
        self._losses = losses
        self._newcomers = newcomers
        self._planner = planner

    def initial(self) -> State:
        voters = [_voter(name, f"disk-{name}") for name in NAMES[: self._voters]]
        living = frozenset((name, f"disk-{name}") for name in NAMES[: self._controllers])
        return State(encode(first_view(voters, "cluster")), living)

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        planned = self._planned(state)
        if planned is not None:
            names = "".join(voter.name for voter in planned.voters)
            label = f"view {planned.epoch}: voters {names}, chain {''.join(planned.chain)}"
            yield label, state._replace(view=encode(planned))
        for name in sorted(state.unknown):
            yield f"the loss of {name} is known", state._replace(unknown=state.unknown - {name})
        if state.newcomers < self._newcomers:
            name = NAMES[self._controllers + state.newcomers]
            living = state.living | {(name, f"disk-{name}")}
            yield f"{name} comes", state._replace(living=living, newcomers=state.newcomers + 1)
        if state.losses < self._losses and planned is None and not state.unknown and len(state.living) >= 3:
            yield from self._losses_of(state)

    def _losses_of(self, state: State) -> Iterator[tuple[str, State]]:
        for name, disk in sorted(state.living):
            unknown, losses = state.unknown | {name}, state.losses + 1
            rest = state.living - {(name, disk)}
            lost = state._replace(living=rest, unknown=unknown, losses=losses)
            yield f"{name} is lost", lost
            yield f"{name} loses its disk", lost._replace(living=rest | {(name, disk + "'")})

    def _planned(self, state: State) -> View | None:
        """The next view that the voters would decide."""
        view: View = decode(state.view)
        living = [voter for voter in view.voters if (voter.name, voter.disk_id) in state.living]
        heads = [name for name in view.chain if any(voter.name == name for voter in living)]
        if len(living) < quorum_size(view) or not heads:
            return None
        health = self._health(state, view, heads[0])
        if not health.has_quorum(view, NOW):
            return None
        planned = plan_chain(view, take_liveness_snapshot(health, view, is_complete=True, now_s=NOW))
        if planned is not None or heads[0] != view.head:
            return planned
        votes = {(voter.name, voter.disk_id) for voter in view.voters}
        spares = [_voter(name, disk) for name, disk in sorted(state.living - votes)]
        step = self._planner(view, spares, health)
        return plan_voters(view, step.add, step.remove) if step is not None else None

    @staticmethod
    def _health(state: State, view: View, head: str) -> VoterHealth:
        """What the first living member of the chain has heard: all that live are caught up."""
        health = VoterHealth(head, 0.0)
        health.track([voter.name for voter in view.voters], 0.0)
        lives = {name for name, _ in state.living}
        heard = [
            voter
            for voter in view.voters
            if (voter.name, voter.disk_id) in state.living or voter.name in state.unknown
        ]
        names = [voter.name for voter in heard]
        for voter in view.voters:
            if voter in heard and voter.name != head:
                health.on_pong(Pong(voter.name, voter.disk_id, view.epoch, True, names), NOW)
            elif voter.name in lives:
                health.on_disk_replaced(voter.name)
        return health

    def violation(self, state: State) -> str:
        view: View = decode(state.view)
        living = [voter for voter in view.voters if (voter.name, voter.disk_id) in state.living]
        if len(living) < quorum_size(view):
            return f"{len(living)} of {len(view.voters)} voters live: no majority"
        quiet = not state.unknown and self._planned(state) is None
        if quiet and len(state.living) >= 3 and len(living) - 1 < quorum_size(view):
            return f"quiet with {len(living)} of {len(view.voters)} voters living: no further loss is borne"
        return ""

    def describe_step(self, label: str) -> str:
        return label


def _voter(name: str, disk: str) -> Voter:
    return Voter(name, disk, f"{name}:1", f"zone-{name}")
