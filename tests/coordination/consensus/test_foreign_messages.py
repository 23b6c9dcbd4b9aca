"""An acceptor rejects and counts messages of another cluster or for another voter, and keeps its state."""

from __future__ import annotations

import pytest

from hollowusher.coordination.consensus.paxos import Acceptor, Proposer, first_view, is_same_cluster, voter_id
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.consensus import Accept, ConfirmEpoch, Prepare
from hollowusher.protocol.view import View, Voter

VOTERS = [Voter(name, f"disk-{name}", f"10.0.0.{number}:1") for number, name in enumerate("abc")]
BASE = first_view(VOTERS, "cluster-1")
FOREIGN = first_view(VOTERS, "cluster-2")


def voter_of(base: View = BASE) -> Acceptor:
    acceptor = Acceptor("a", "disk-a")
    acceptor.learn(base)
    return acceptor


def next_view(base: View, epoch: int = 2) -> View:
    return evolve(base, epoch=epoch, chain=["b", "c"], since={"b": 1, "c": 1})


def test_an_empty_cluster_name_matches_every_name() -> None:
    assert is_same_cluster("x", "x")
    assert is_same_cluster("", "x")
    assert is_same_cluster("x", "")
    assert is_same_cluster("", "")
    assert not is_same_cluster("x", "y")


@pytest.mark.parametrize("epoch", [1, 2, 9])
def test_a_decided_view_of_another_cluster_changes_nothing(epoch: int) -> None:
    acceptor = voter_of()
    saved = acceptor.dump()
    assert not acceptor.learn(evolve(FOREIGN, epoch=epoch))
    assert acceptor.dump() == saved
    assert acceptor.foreign_rejections == 1


@pytest.mark.parametrize(
    "message", [Prepare(2, [1, "b"], FOREIGN), Prepare(3, [1, "b"], next_view(FOREIGN)), Prepare(2, [1, "b"],
        evolve(FOREIGN, cluster="", chain=["c", "b", "a"]))]
)  # fmt: skip
def test_no_vote_for_a_proposer_of_another_cluster(message: Prepare) -> None:
    acceptor = voter_of()
    saved = acceptor.dump()
    answer = acceptor.prepare(message)
    assert not answer.granted
    assert answer.decided is None
    assert acceptor.dump() == saved
    assert acceptor.foreign_rejections == 1


def test_no_acceptance_of_a_view_of_another_cluster_or_epoch() -> None:
    acceptor = voter_of()
    saved = acceptor.dump()
    assert not acceptor.accept(Accept(2, [1, "b"], next_view(FOREIGN))).granted
    assert acceptor.foreign_rejections == 1
    assert not acceptor.accept(Accept(2, [1, "b"], next_view(BASE, epoch=3))).granted
    assert acceptor.dump() == saved


def test_a_confirm_request_of_another_cluster_is_rejected() -> None:
    acceptor = voter_of()
    assert acceptor.confirm(ConfirmEpoch(1))
    assert acceptor.confirm(ConfirmEpoch(1, "cluster-1"))
    assert not acceptor.confirm(ConfirmEpoch(1, "cluster-2"))
    assert acceptor.foreign_rejections == 1


def test_views_of_older_processes_without_a_cluster_name_are_accepted() -> None:
    older = evolve(BASE, cluster="")
    acceptor = voter_of(older)
    assert acceptor.prepare(Prepare(2, [1, "b"], older)).granted
    assert acceptor.accept(Accept(2, [1, "b"], next_view(BASE))).granted
    assert acceptor.learn(next_view(BASE))
    assert acceptor.foreign_rejections == 0


def test_a_message_to_another_voter_gets_no_vote() -> None:
    """The address of a removed voter may belong to another voter now, whose vote would then count twice."""
    acceptor = voter_of()
    saved = acceptor.dump()
    proposer = Proposer(BASE, next_view(BASE), (1, "b"))
    other = VOTERS[2]
    assert not acceptor.prepare(proposer.prepare(other)).granted
    assert not acceptor.accept(proposer.accept(other)).granted
    assert not acceptor.confirm(ConfirmEpoch(1, voter=voter_id(other)))
    assert not acceptor.prepare(proposer.prepare(evolve(VOTERS[0], disk_id="older-disk"))).granted
    assert acceptor.dump() == saved
    assert acceptor.foreign_rejections == 4
    assert acceptor.prepare(proposer.prepare(VOTERS[0])).granted
    assert acceptor.accept(proposer.accept(VOTERS[0])).granted


def test_each_later_view_keeps_the_cluster_name() -> None:
    planned = evolve(next_view(BASE), cluster="")
    assert Proposer(BASE, planned, (1, "b")).accept().view.cluster == "cluster-1"
