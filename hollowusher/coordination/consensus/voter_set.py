"""Planning of the next voter set change, which adds, removes or replaces one voter.  No I/O, no clock.

The target is 2f + 1 voters spread over the zones, where f is the number of losses that the deployment
tolerates.  All other controllers are spares, which announce themselves and store nothing.  A lost voter stays
in the set until a spare can replace it: a smaller set would not tolerate a further loss either, and the lost
voter may return.  Each change is one view, decided by a quorum of the previous voters.

Sources: Lamport, Malkhi, Zhou, "Vertical Paxos and primary-backup replication" (2009); Ongaro, "Consensus:
bridging theory and practice" (2014), chapter 4, for changes of one member at a time.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from hollowusher.coordination.consensus.paxos import find_voter, min_chain_length
from hollowusher.coordination.consensus.voter_health import VoterHealth
from hollowusher.protocol.view import View, Voter

REPLACE_AFTER_S = 1.6  # a voter without a healthy pong for this long is replaced if there is a spare


@attrs.frozen
class VoterSetChange:
    """A change of the voter set: a voter to add, the name of a voter to remove, or both (a replacement)."""

    add: Voter | None = None
    remove: str | None = None


def required_voters(tolerated_losses: int) -> int:
    """Return the number of voters that tolerates this many simultaneous losses, and at least one loss."""
    return 2 * max(1, tolerated_losses) + 1


def choose_voters(controllers: Iterable[Voter], target_size: int) -> list[Voter]:
    """Return up to `target_size` voters for the first view, spread over zones.

    The result does not depend on the order of the controllers.
    """
    candidates = sorted(controllers, key=lambda voter: voter.name)
    chosen: list[Voter] = []
    while candidates and len(chosen) < target_size:
        chosen.append(min(candidates, key=lambda voter: _zone_occupancy(voter, chosen)))
        candidates.remove(chosen[-1])
    return chosen


def plan_voter_set_change(
    view: View, spares: Collection[Voter], health: VoterHealth, target_size: int, now_s: float
) -> VoterSetChange | None:
    """Return the next change, planned by the head from its own `health`.

    `target_size` is the wanted number of voters.  Return None if the set needs no change, or if no change is
    safe or possible now.
    """
    to_replace = _voters_to_replace(view, health, now_s)
    if len(view.voters) > target_size:
        return _plan_removal(view, to_replace, health, now_s)
    candidates = [spare for spare in spares if not _is_current_voter(view, spare)]
    disk_replacement = _plan_disk_replacement(view, candidates, to_replace)
    if disk_replacement is not None:
        return disk_replacement
    candidates = [spare for spare in candidates if find_voter(view, spare.name) is None]
    replaced = to_replace[0] if to_replace else None
    if not candidates or (replaced is None and len(view.voters) >= target_size):
        return None
    kept = [voter for voter in view.voters if voter.name != replaced]
    best = min(candidates, key=lambda spare: (_zone_occupancy(spare, kept), spare.name))
    return VoterSetChange(best, replaced)


def _voters_to_replace(view: View, health: VoterHealth, now_s: float) -> list[str]:
    """Return the voters to replace, the most certain cases first; the head never replaces itself.

    Voters with a lost disk come first, then departing voters, then voters that have not sent a healthy pong
    for `REPLACE_AFTER_S`.
    """
    names = [voter.name for voter in view.voters if voter.name not in (view.head, health.name)]
    lost = [name for name in names if health.has_lost_disk(name)]
    departing = [name for name in names if health.is_departing(name) and _is_removable(view, name)]
    silent = [name for name in names if health.seconds_since_healthy(name, now_s) > REPLACE_AFTER_S]
    return list(dict.fromkeys([*lost, *departing, *silent]))


def _is_removable(view: View, name: str) -> bool:
    """Return whether enough chain members, which hold the control state, remain without this one."""
    return len([member for member in view.chain if member != name]) >= min_chain_length(view)


def _plan_disk_replacement(
    view: View, candidates: Collection[Voter], to_replace: Collection[str]
) -> VoterSetChange | None:
    """Return the replacement of a voter by a spare of the same name, whose machine now has another disk."""
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
    """Return the removal of one surplus voter.

    Return None unless the reachable voters are a majority of the remaining set.  Voters to replace are
    removed first, then voters outside the chain, then the last chain member in the zone with most voters.
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
    """Return the sort key of a live voter; voters with greater keys are removed first."""
    position = view.chain.index(voter.name) if voter.name in view.chain else len(view.chain)
    return voter.name not in view.chain, _zone_occupancy(voter, view.voters), position, voter.name


def _is_current_voter(view: View, controller: Voter) -> bool:
    """Return whether the view has this controller as a voter with the same disk and address."""
    voter = find_voter(view, controller.name)
    return voter is not None and (voter.disk_id, voter.address) == (controller.disk_id, controller.address)


def _zone_occupancy(voter: Voter, others: Iterable[Voter]) -> int:
    """Return how many of the others are in the voter's zone."""
    return sum(other.zone == voter.zone for other in others)
