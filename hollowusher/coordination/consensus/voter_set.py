"""Which voter set the next view is to have: one voter added, removed, or swapped for another.  No I/O, no
clock.

The set is to hold 2f + 1 voters, f being what the deployment tolerates, spread over zones; all other
controllers are spares, which announce themselves and hold nothing.  A voter that is gone keeps its place
until a spare can take it: a smaller set would bear no further loss either, and the one that is gone may come
back.  Every step is one view, decided by a majority of the voters before it.

Sources: Lamport, Malkhi, Zhou, "Vertical Paxos and primary-backup replication" (2009); Ongaro, "Consensus:
bridging theory and practice" (2014), chapter 4, for changes by single steps.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from hollowusher.coordination.consensus.paxos import find_voter, min_chain_length
from hollowusher.coordination.consensus.reconfiguration import VoterHealth
from hollowusher.protocol.view import View, Voter

REPLACE_AFTER_S = 1.6  # a voter that gives no sign for this long is replaced if a spare is there


@attrs.frozen
class VoterSetChange:
    """One change of the voter set: the voter that comes, the name of the one that goes, or both (a swap)."""

    add: Voter | None = None
    remove: str | None = None


def required_voters(tolerated: int) -> int:
    """How many voters outlast `tolerated` losses at one time; never fewer than outlast one."""
    return 2 * max(1, tolerated) + 1


def choose_voters(controllers: Iterable[Voter], wanted: int) -> list[Voter]:
    """The voters of the first view: as many as wanted, spread over zones; the same for any order of the
    controllers."""
    left = sorted(controllers, key=lambda voter: voter.name)
    chosen: list[Voter] = []
    while left and len(chosen) < wanted:
        chosen.append(min(left, key=lambda voter: _zone_occupancy(voter, chosen)))
        left.remove(chosen[-1])
    return chosen


def plan_voter_set_change(
    view: View, spares: Collection[Voter], health: VoterHealth, wanted: int, now: float
) -> VoterSetChange | None:
    """The next change of the voter set as the head sees it; None where it is as it should be, or where no
    step is safe."""
    gone = _voters_to_replace(view, health, now)
    if len(view.voters) > wanted:
        return _plan_removal(view, gone, health, now)
    found = [spare for spare in spares if not _is_current_voter(view, spare)]
    if not found:
        return None
    own = _disk_replacement(view, found, gone)
    if own is not None:
        return own
    found = [spare for spare in found if find_voter(view, spare.name) is None]
    if not found:
        return None
    leaving = gone[0] if gone else None
    if leaving is None and len(view.voters) >= wanted:
        return None
    staying = [voter for voter in view.voters if voter.name != leaving]
    best = min(found, key=lambda spare: (_zone_occupancy(spare, staying), spare.name))
    return VoterSetChange(best, leaving)


def _voters_to_replace(view: View, health: VoterHealth, now: float) -> list[str]:
    """The voters to be replaced, the surest first: whose disk is lost, who said that they leave, who have
    been without a sign for long.  The head, which judges, is not among them."""
    names = [voter.name for voter in view.voters if voter.name not in (view.head, health.name)]
    lost = [name for name in names if health.disk_lost(name)]
    leaving = [name for name in names if health.leaving(name) and _is_removable(view, name)]
    silent = [name for name in names if health.seconds_since_healthy(name, now) > REPLACE_AFTER_S]
    return list(dict.fromkeys([*lost, *leaving, *silent]))


def _is_removable(view: View, name: str) -> bool:
    """Whether enough members of the chain, which all hold the state, stay without this one."""
    return len([member for member in view.chain if member != name]) >= min_chain_length(view)


def _disk_replacement(view: View, spares: Collection[Voter], gone: Collection[str]) -> VoterSetChange | None:
    """A spare that bears the name of a voter takes that voter's place: its machine has another disk now."""
    for spare in sorted(spares, key=lambda voter: voter.name):
        held = find_voter(view, spare.name)
        if held is None or held.name == view.head:
            continue
        if held.address == spare.address or held.name in gone:
            return VoterSetChange(spare, held.name)
    return None


def _plan_removal(view: View, gone: list[str], health: VoterHealth, now: float) -> VoterSetChange | None:
    """Remove one voter too many: one that is gone first, else the last of the chain of the most crowded zone;
    only where the living are a majority of those that remain."""
    others = [voter for voter in view.voters if voter.name not in (view.head, health.name)]
    order = [name for name in gone if find_voter(view, name) is not None]
    living = [voter for voter in others if voter.name not in gone]
    order += [
        voter.name for voter in sorted(living, key=lambda voter: _removal_priority(view, voter), reverse=True)
    ]
    for name in order:
        rest = [voter for voter in view.voters if voter.name != name]
        heard = sum(health.is_reachable(voter.name, now) for voter in rest)
        chain = [member for member in view.chain if member != name]
        if heard > len(rest) // 2 and len(chain) >= min_chain_length(View(0, rest, chain)):
            return VoterSetChange(None, name)
    return None


def _removal_priority(view: View, voter: Voter) -> tuple[bool, int, int, str]:
    """The greater, the sooner a living voter goes."""
    position = view.chain.index(voter.name) if voter.name in view.chain else len(view.chain)
    return voter.name not in view.chain, _zone_occupancy(voter, view.voters), position, voter.name


def _is_current_voter(view: View, controller: Voter) -> bool:
    held = find_voter(view, controller.name)
    return held is not None and (held.disk_id, held.address) == (controller.disk_id, controller.address)


def _zone_occupancy(voter: Voter, others: Iterable[Voter]) -> int:
    """How many of the others are in its zone."""
    return sum(other.zone == voter.zone for other in others)
