"""Planning of the next view: the next chain or voter set, derived from the live voters.  No I/O, no clock.

Invariants: every planned view has the next epoch, its head holds every committed state, and its chain has at
least `min_chain_length` members.

Source: Lamport, Malkhi, Zhou, "Vertical Paxos and primary-backup replication" (2009).
"""

from __future__ import annotations

from collections.abc import Collection

from hollowusher.coordination.consensus.liveness_snapshot import LivenessSnapshot
from hollowusher.coordination.consensus.paxos import find_voter, min_chain_length
from hollowusher.coordination.consensus.voter_health import VoterHealth
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.view import View, Voter

PROPOSAL_STAGGER_S = 0.3


def has_lost_chain_member(view: View, health: VoterHealth, now_s: float) -> bool:
    """Return whether another chain member is dead or avoided."""
    others = [name for name in view.chain if name != health.name]
    return any(health.is_dead(name, now_s) or health.is_avoided(name, now_s) for name in others)


def proposal_rank(view: View, snapshot: LivenessSnapshot, name: str) -> int | None:
    """Return how many live members precede this one in the chain; None if it is not a live chain member."""
    members = [member for member in view.chain if member in snapshot.alive]
    return members.index(name) if name in members else None


def plan_chain(view: View, snapshot: LivenessSnapshot, departing: str = "") -> View | None:
    """Return the next view, with the same voters and a chain of the live voters.

    The members that hold every committed state come first, in their current order, and joining voters come
    last.  Return None if this is the current chain or if no chain is safe.

    A live member is excluded, because it departs or its neighbour cannot reach it, only if at least
    `min_chain_length` of the others hold every committed state.  Otherwise the next loss could destroy the
    last replica in the chain although the excluded member still holds one.
    """
    planned = _plan_chain_of(view, snapshot, snapshot.alive - {departing})
    if planned is not None and _count_complete_members(planned, snapshot) >= min_chain_length(view):
        return planned
    if departing:
        return None
    avoided = snapshot.avoided_members & set(view.chain)
    return _plan_chain_of(view, snapshot, snapshot.alive | avoided) if avoided else planned


def _count_complete_members(view: View, snapshot: LivenessSnapshot) -> int:
    """Return how many chain members of the view hold every committed state."""
    return sum(name in snapshot.complete for name in view.chain)


def _plan_chain_of(view: View, snapshot: LivenessSnapshot, members: Collection[str]) -> View | None:
    """Return the next view with a chain of `members`, None if the chain is unchanged or not safe."""
    kept = [name for name in view.chain if name in members]
    chain = [name for name in kept if name in snapshot.complete]
    chain += [name for name in kept if name not in snapshot.complete]
    joining = []
    for voter in view.voters:
        may_join = voter.name in members and voter.name not in view.chain
        if may_join and chain and snapshot.are_connected(chain[-1], voter.name):
            joining.append(voter.name)
            chain.append(voter.name)
    if not chain or chain[0] not in snapshot.complete or chain == view.chain:
        return None
    if len(chain) < min_chain_length(view):
        return None
    return evolve(view, epoch=view.epoch + 1, chain=chain, since=_membership_epochs(view, kept, joining))


def plan_voters(view: View, add: Voter | None, remove: str | None) -> View | None:
    """Return the next view with at most one voter added and at most one removed.

    The added voter becomes the tail of the chain; the remaining members keep their order.  Return None if the
    head would be removed, the chain would be too short, or nothing would change.
    """
    if add is not None and find_voter(view, add.name) == add:
        return None
    replaced = (remove, add.name if add is not None else None)
    voters = [voter for voter in view.voters if voter.name not in replaced]
    kept = [name for name in view.chain if name not in replaced]
    if view.head not in kept:
        return None
    added = [] if add is None else [add]
    voters = sorted([*voters, *added], key=lambda voter: voter.name)
    if add is None and [voter.name for voter in voters] == [voter.name for voter in view.voters]:
        return None
    joining = [voter.name for voter in added]
    since = _membership_epochs(view, kept, joining)
    planned = evolve(view, epoch=view.epoch + 1, voters=voters, chain=[*kept, *joining], since=since)
    return planned if len(planned.chain) >= min_chain_length(planned) else None


def _membership_epochs(view: View, kept: list[str], joining: list[str]) -> dict[str, int]:
    """Return, for each member of the next chain, the epoch since which it has been in every chain."""
    since = {name: view.since.get(name, view.epoch) for name in kept}
    since.update(dict.fromkeys(joining, view.epoch + 1))
    return since
