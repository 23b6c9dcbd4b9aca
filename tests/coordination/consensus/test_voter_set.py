"""Planning of voter set changes, and the choice of the voters of the first view."""

from __future__ import annotations

import itertools

from hollowusher.coordination.consensus.liveness_snapshot import LivenessSnapshot
from hollowusher.coordination.consensus.paxos import first_view
from hollowusher.coordination.consensus.reconfiguration import plan_chain, plan_voters
from hollowusher.coordination.consensus.voter_health import VoterHealth
from hollowusher.coordination.consensus.voter_set import (
    VoterSetChange,
    choose_voters,
    plan_voter_set_change,
    required_voters,
)
from hollowusher.protocol.consensus import Pong
from hollowusher.protocol.view import View, Voter

NOW = 100.0


def voter(name: str, zone: str = "") -> Voter:
    return Voter(name, f"disk-{name}", f"10.0.0.{ord(name)}:1", zone)


def health_of(names: str, silent: str = "", leaving: str = "", stalled: str = "") -> VoterHealth:
    """Return the health that the first of these voters has recorded at `NOW`."""
    health = VoterHealth(names[0], 0.0)
    health.track(names, 0.0)
    for name in names[1:]:
        at = 90.0 if name in silent else NOW
        health.on_pong(Pong(name, f"disk-{name}", 1, True, list(names), name in leaving), at)
        if name in stalled:
            health._peers[name].last_healthy_pong_s = 90.0
    return health


def test_the_number_of_voters_follows_from_the_tolerated_losses() -> None:
    assert [required_voters(tolerated) for tolerated in (0, 1, 2, 3)] == [3, 3, 5, 7]


def test_the_first_voters_are_spread_over_zones_and_the_same_for_any_order() -> None:
    controllers = [voter("a", "x"), voter("b", "x"), voter("c", "y"), voter("d", "z"), voter("e", "z")]
    for order in itertools.permutations(controllers):
        assert [chosen.name for chosen in choose_voters(order, 3)] == ["a", "c", "d"]
    assert [chosen.name for chosen in choose_voters(controllers, 5)] == ["a", "c", "d", "b", "e"]
    assert [chosen.name for chosen in choose_voters(controllers[:2], 3)] == ["a", "b"]


def test_lost_disks_are_replaced_before_departing_and_silent_voters() -> None:
    view = first_view(map(voter, "abcde"))
    spare = voter("n")
    health = health_of("abcde", silent="b", leaving="c")
    assert plan_voter_set_change(view, [spare], health, 5, NOW) == VoterSetChange(spare, "c")
    health.on_disk_replaced("d")
    assert plan_voter_set_change(view, [spare], health, 5, NOW) == VoterSetChange(spare, "d")
    assert plan_voter_set_change(view, [spare], health_of("abcde", silent="b"), 5, NOW) == VoterSetChange(
        spare, "b"
    )
    assert plan_voter_set_change(view, [spare], health_of("abcde", stalled="e"), 5, NOW) == VoterSetChange(
        spare, "e"
    )


def test_a_spare_of_the_zone_without_a_voter_is_chosen() -> None:
    view = first_view([voter("a", "x"), voter("b", "y"), voter("c", "z")])
    spares = [voter("m", "x"), voter("n", "y"), voter("o", "z")]
    assert plan_voter_set_change(view, spares, health_of("abc", silent="b"), 3, NOW) == VoterSetChange(
        spares[1], "b"
    )


def test_a_machine_with_a_new_disk_replaces_its_old_voter() -> None:
    view = first_view(map(voter, "abc"))
    wiped = Voter("b", "new", view.voters[1].address)
    assert plan_voter_set_change(view, [voter("n"), wiped], health_of("abc"), 3, NOW) == VoterSetChange(
        wiped, "b"
    )


def test_another_machine_of_the_same_name_replaces_the_voter_only_after_its_loss() -> None:
    view = first_view(map(voter, "abc"))
    namesake = Voter("b", "new", "10.0.0.200:1")
    assert plan_voter_set_change(view, [namesake], health_of("abc"), 3, NOW) is None
    assert plan_voter_set_change(view, [namesake], health_of("abc", silent="b"), 3, NOW) == VoterSetChange(
        namesake, "b"
    )


def test_without_a_spare_no_voter_is_removed() -> None:
    view = first_view(map(voter, "abc"))
    assert plan_voter_set_change(view, [], health_of("abc", silent="bc", leaving="b"), 3, NOW) is None


def test_a_small_voter_set_grows_by_one_voter_at_a_time() -> None:
    view = first_view(map(voter, "a"))
    change = plan_voter_set_change(view, [voter("n"), voter("o")], health_of("a"), 3, NOW)
    assert change == VoterSetChange(voter("n"))


def test_a_large_voter_set_shrinks_dead_voters_first_and_keeps_a_live_majority() -> None:
    view = first_view(map(voter, "abcd"))
    assert plan_voter_set_change(view, [], health_of("abcd", silent="b"), 3, NOW) == VoterSetChange(None, "b")
    assert plan_voter_set_change(view, [], health_of("abcd"), 3, NOW) == VoterSetChange(None, "d")
    five = first_view(map(voter, "abcde"))
    assert plan_voter_set_change(five, [], health_of("abcde", silent="bc"), 3, NOW) == VoterSetChange(
        None, "b"
    )
    assert plan_voter_set_change(five, [voter("n")], health_of("abcde", silent="bcde"), 3, NOW) is None


def test_each_change_is_one_view_that_keeps_the_head_and_the_order() -> None:
    view = first_view(map(voter, "abc"), "cluster")
    swapped = plan_voters(view, voter("n"), "b")
    assert swapped is not None
    assert swapped.chain == ["a", "c", "n"]
    assert swapped.cluster == "cluster"
    assert [kept.name for kept in swapped.voters] == ["a", "c", "n"]
    assert swapped.since == {"a": 1, "c": 1, "n": 2}
    assert swapped.epoch == 2
    grown = plan_voters(view, voter("n"), None)
    assert grown is not None
    assert grown.chain == ["a", "b", "c", "n"]
    shrunk = plan_voters(grown, None, "b")
    assert shrunk is not None
    assert shrunk.chain == ["a", "c", "n"]
    assert len(shrunk.voters) == 3
    assert plan_voters(view, None, "a") is None  # would remove the head
    assert plan_voters(view, voter("n"), "a") is None
    assert plan_voters(view, None, None) is None
    assert plan_voters(view, None, "x") is None


def test_an_avoided_member_stays_while_only_one_other_replica_exists() -> None:
    """A joining member holds no state yet.  Without the avoided member the chain would have one replica only,
    and the loss of that replica would destroy the control state."""
    view = View(5, [voter("a"), voter("b"), voter("c")], ["a", "c", "b"], {"a": 1, "c": 1, "b": 5})
    reachable = dict.fromkeys("abc", frozenset("abc"))
    joining = LivenessSnapshot(frozenset("ab"), frozenset("ac"), reachable, avoided_members=frozenset("c"))
    assert plan_chain(view, joining) is None
    joined = LivenessSnapshot(frozenset("ab"), frozenset("abc"), reachable, avoided_members=frozenset("c"))
    planned = plan_chain(view, joined)
    assert planned is not None
    assert planned.chain == ["a", "b"]
    dead = LivenessSnapshot(frozenset("ab"), frozenset("a"), reachable)
    planned = plan_chain(view, dead)  # a dead member cannot be waited for
    assert planned is not None
    assert planned.chain == ["a", "b"]
    head_lost = LivenessSnapshot(frozenset("b"), frozenset("c"), reachable, avoided_members=frozenset("c"))
    planned = plan_chain(view, head_lost)
    assert planned is not None
    assert planned.chain == ["c", "b"]


def test_no_member_departs_while_too_few_others_hold_the_state() -> None:
    view = View(5, [voter("a"), voter("b"), voter("c")], ["a", "c", "b"], {"a": 1, "c": 1, "b": 5})
    reachable = dict.fromkeys("abc", frozenset("abc"))
    joining = LivenessSnapshot(frozenset("abc"), frozenset("ac"), reachable)
    assert plan_chain(view, joining, departing="a") is None
    joined = LivenessSnapshot(frozenset("abc"), frozenset("abc"), reachable)
    planned = plan_chain(view, joined, departing="a")
    assert planned is not None
    assert planned.chain == ["c", "b"]
    short = View(5, view.voters, ["a", "c"], {"a": 1, "c": 1})
    assert plan_voter_set_change(short, [voter("n")], health_of("abc", leaving="c"), 3, NOW) is None
    assert plan_voter_set_change(view, [voter("n")], health_of("abc", leaving="c"), 3, NOW) == VoterSetChange(
        voter("n"), "c"
    )
