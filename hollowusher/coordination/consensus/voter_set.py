"""The next change of the voter set: one voter added, removed or replaced.  No I/O, no clock.

The set is to have 2f + 1 voters, f being the losses that the deployment tolerates, spread over zones; all
other controllers are spares, which announce themselves and store nothing.  A lost voter stays in the set
until a spare can replace it: a smaller set would tolerate no further loss either, and the lost one may come
back.  Each change is one view, decided by a quorum of the voters before it.

Sources: Lamport, Malkhi, Zhou, "Vertical Paxos and primary-backup replication" (2009); Ongaro, "Consensus:
bridging theory and practice" (2014), chapter 4, for changes by single steps.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from hollowusher.coordination.consensus.paxos import find_voter, min_chain_length
from hollowusher.coordination.consensus.voter_health import VoterHealth
from hollowusher.protocol.view import View, Voter

REPLACE_AFTER_S = 1.6  # a voter without a healthy answer for this long is replaced if there is a spare


@attrs.frozen
class VoterSetChange:
    """One change of the voter set: a voter to add, the name of one to remove, or both (a replacement)."""

    add: Voter | None = None
    remove: str | None = None


def required_voters(tolerated_losses: int) -> int:
    """Return how many voters outlast `tolerated_losses` at one time; never fewer than outlast one."""
    return 2 * max(1, tolerated_losses) + 1


def choose_voters(controllers: Iterable[Voter], wanted: int) -> list[Voter]:
    """Return the voters of the first view, spread over zones; the same for any order of the controllers."""
    candidates = sorted(controllers, key=lambda voter: voter.name)
    chosen: list[Voter] = []
    while candidates and len(chosen) < wanted:
        chosen.append(min(candidates, key=lambda voter: _zone_occupancy(voter, chosen)))
        candidates.remove(chosen[-1])
    return chosen


def plan_voter_set_change(
    view: View, spares: Collection[Voter], health: VoterHealth, wanted: int, now_s: float
) -> VoterSetChange | None:
    """Return the next change as the head sees it.

    None if the set is as wanted, or if no change is safe now.
    """
    to_replace = _voters_to_replace(view, health, now_s)
    if len(view.voters) > wanted:
        return _plan_removal(view, to_replace, health, now_s)
    candidates = [spare for spare in spares if not _is_current_voter(view, spare)]
    disk_replacement = _plan_disk_replacement(view, candidates, to_replace)
    if disk_replacement is not None:
        return disk_replacement
    candidates = [spare for spare in candidates if find_voter(view, spare.name) is None]
    replaced = to_replace[0] if to_replace else None
    if not candidates or (replaced is None and len(view.voters) >= wanted):
        return None
    kept = [voter for voter in view.voters if voter.name != replaced]
    best = min(candidates, key=lambda spare: (_zone_occupancy(spare, kept), spare.name))
    return VoterSetChange(best, replaced)


def _voters_to_replace(view: View, health: VoterHealth, now_s: float) -> list[str]:
    """Return the voters to be replaced, the surest first; the head, which judges, is never among them.

    First those whose disk is lost, then those that announced their departure, then those that have been
    without a healthy answer for long.
    """
    names = [voter.name for voter in view.voters if voter.name not in (view.head, health.name)]
    lost = [name for name in names if health.has_lost_disk(name)]
    departing = [name for name in names if health.is_departing(name) and _is_removable(view, name)]
    silent = [name for name in names if health.seconds_since_healthy(name, now_s) > REPLACE_AFTER_S]
    return list(dict.fromkeys([*lost, *departing, *silent]))


def _is_removable(view: View, name: str) -> bool:
    """Return whether enough members of the chain, which all hold the state, are left without this one."""
    return len([member for member in view.chain if member != name]) >= min_chain_length(view)


def _plan_disk_replacement(
    view: View, candidates: Collection[Voter], to_replace: Collection[str]
) -> VoterSetChange | None:
    """Return the replacement of a voter by the spare of the same name: its machine has another disk now."""
    for spare in sorted(candidates, key=lambda voter: voter.name):
        voter = find_voter(view, spare.name)
        if voter is None or voter.name == view.head:
            continue
        if voter.address == spare.address or voter.name in to_replace:
            return VoterSetChange(spare, voter.name)
    return None


def _plan_removal(
    view: View, to_replace: list[str], health: VoterHealth, now_s: float
) -> VoterSetChange | None:
    """Return the removal of one surplus voter; None unless the reachable ones are a quorum of the rest.

    Voters to be replaced go first, then the last of the chain in the most crowded zone.
    """
    removable = [voter for voter in view.voters if voter.name not in (view.head, health.name)]
    live = [voter for voter in removable if voter.name not in to_replace]
    live.sort(key=lambda voter: _removal_priority(view, voter), reverse=True)
    candidates = [name for name in to_replace if find_voter(view, name) is not None]
    candidates += [voter.name for voter in live]
    for name in candidates:
        rest = [voter for voter in view.voters if voter.name != name]
        reachable = sum(health.is_reachable(voter.name, now_s) for voter in rest)
        chain = [member for member in view.chain if member != name]
        if reachable > len(rest) // 2 and len(chain) >= min_chain_length(View(0, rest, chain)):
            return VoterSetChange(None, name)
    return None


def _removal_priority(view: View, voter: Voter) -> tuple[bool, int, int, str]:
    """Return the sort key of a live voter: the greater, the sooner it is removed."""
    position = view.chain.index(voter.name) if voter.name in view.chain else len(view.chain)
    return voter.name not in view.chain, _zone_occupancy(voter, view.voters), position, voter.name


def _is_current_voter(view: View, controller: Voter) -> bool:
    """Return whether a controller votes with this disk, at this address."""
    voter = find_voter(view, controller.name)
    return voter is not None and (voter.disk_id, voter.address) == (controller.disk_id, controller.address)


def _zone_occupancy(voter: Voter, others: Iterable[Voter]) -> int:
    """Return how many of the others are in the voter's zone."""
    return sum(other.zone == voter.zone for other in others)
