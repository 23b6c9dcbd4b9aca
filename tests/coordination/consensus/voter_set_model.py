"""Model of the voter set: lost machines, lost disks and new machines in any order, with the real planner.

A planned change is decided as soon as a majority of the voters is alive.  A machine is lost only when the
planner has nothing left to do, every earlier loss is detected, and at least three machines are alive.  A loss
is detected some time after it happens.  New machines may start at any time, also between loss and detection.
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
NOW = 100.0  # s; later than every timeout since the last pong of a lost voter
Planner = Callable[[View, list[Voter], VoterHealth], VoterSetChange | None]


def current_planner(view: View, spares: list[Voter], health: VoterHealth) -> VoterSetChange | None:
    """The planner of `coordination.consensus.voter_set`, for one tolerated loss."""
    return plan_voter_set_change(view, spares, health, required_voters(1), NOW)


def older_planner(view: View, spares: list[Voter], health: VoterHealth) -> VoterSetChange | None:
    """An older planner: it adds spares up to five voters and removes a dead voter only by replacing it."""
    for candidate in spares:
        held = find_voter(view, candidate.name)
        if held == candidate:
            continue
        if held is not None:
            return VoterSetChange(candidate, held.name)
        dead = [voter.name for voter in view.voters if health.is_dead(voter.name, NOW)]
        if dead:
            return VoterSetChange(candidate, dead[0])
        if len(view.voters) < 5:
            return VoterSetChange(candidate, None)
    return None


class State(NamedTuple):
    """The encoded view, the live machines (name, disk), the undetected losses and the event counts."""

    view: bytes
    alive: frozenset[tuple[str, str]]
    undetected: frozenset[str] = frozenset()
    losses: int = 0
    new_machines: int = 0


class VotersModel:
    """A `Model` of `hollowusher.simulation.model_check.explorer` with bounded numbers of events."""

    def __init__(
        self,
        controllers: int,
        losses: int,
        new_machines: int,
        planner: Planner = current_planner,
        voters: int = 3,
    ) -> None:
        self._controllers = controllers
        self._voters = voters
        self._losses = losses
        self._new_machines = new_machines
        self._planner = planner

    def initial(self) -> State:
        voters = [_voter(name, f"disk-{name}") for name in NAMES[: self._voters]]
        alive = frozenset((name, f"disk-{name}") for name in NAMES[: self._controllers])
        return State(encode(first_view(voters, "cluster")), alive)

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        planned = self._planned(state)
        if planned is not None:
            names = "".join(voter.name for voter in planned.voters)
            label = f"view {planned.epoch}: voters {names}, chain {''.join(planned.chain)}"
            yield label, state._replace(view=encode(planned))
        for name in sorted(state.undetected):
            yield f"the loss of {name} is detected", state._replace(undetected=state.undetected - {name})
        if state.new_machines < self._new_machines:
            name = NAMES[self._controllers + state.new_machines]
            alive = state.alive | {(name, f"disk-{name}")}
            yield f"{name} starts", state._replace(alive=alive, new_machines=state.new_machines + 1)
        if state.losses < self._losses and planned is None and not state.undetected and len(state.alive) >= 3:
            yield from self._losses_of(state)

    def _losses_of(self, state: State) -> Iterator[tuple[str, State]]:
        for name, disk in sorted(state.alive):
            undetected, losses = state.undetected | {name}, state.losses + 1
            rest = state.alive - {(name, disk)}
            lost = state._replace(alive=rest, undetected=undetected, losses=losses)
            yield f"{name} is lost", lost
            yield f"{name} loses its disk", lost._replace(alive=rest | {(name, disk + "'")})

    def _planned(self, state: State) -> View | None:
        """Return the next view that the voters would decide, None if there is none."""
        view: View = decode(state.view)
        alive = [voter for voter in view.voters if (voter.name, voter.disk_id) in state.alive]
        heads = [name for name in view.chain if any(voter.name == name for voter in alive)]
        if len(alive) < quorum_size(view) or not heads:
            return None
        health = self._health(state, view, heads[0])
        if not health.has_quorum(view, NOW):
            return None
        planned = plan_chain(view, take_liveness_snapshot(health, view, is_complete=True, now_s=NOW))
        if planned is not None or heads[0] != view.head:
            return planned
        votes = {(voter.name, voter.disk_id) for voter in view.voters}
        spares = [_voter(name, disk) for name, disk in sorted(state.alive - votes)]
        change = self._planner(view, spares, health)
        return plan_voters(view, change.add, change.remove) if change is not None else None

    @staticmethod
    def _health(state: State, view: View, head: str) -> VoterHealth:
        """Return the health seen by the first live chain member; every live voter has caught up."""
        health = VoterHealth(head, 0.0)
        health.track([voter.name for voter in view.voters], 0.0)
        live_names = {name for name, _ in state.alive}
        responding = [
            voter
            for voter in view.voters
            if (voter.name, voter.disk_id) in state.alive or voter.name in state.undetected
        ]
        names = [voter.name for voter in responding]
        for voter in view.voters:
            if voter in responding and voter.name != head:
                health.on_pong(Pong(voter.name, voter.disk_id, view.epoch, True, names), NOW)
            elif voter.name in live_names:
                health.on_disk_replaced(voter.name)
        return health

    def violation(self, state: State) -> str:
        view: View = decode(state.view)
        alive = [voter for voter in view.voters if (voter.name, voter.disk_id) in state.alive]
        if len(alive) < quorum_size(view):
            return f"{len(alive)} of {len(view.voters)} voters are alive: no majority"
        is_stable = not state.undetected and self._planned(state) is None
        if is_stable and len(state.alive) >= 3 and len(alive) - 1 < quorum_size(view):
            return (
                f"stable with {len(alive)} of {len(view.voters)} voters alive: no further loss is tolerated"
            )
        return ""

    def describe_step(self, label: str) -> str:
        return label


def _voter(name: str, disk: str) -> Voter:
    return Voter(name, disk, f"{name}:1", f"zone-{name}")
