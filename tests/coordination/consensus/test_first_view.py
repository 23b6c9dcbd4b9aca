"""The first view: partitioned seeds that have discovered different controllers start only one cluster."""

from __future__ import annotations

import asyncio
from itertools import permutations

import pytest

from hollowusher.coordination.consensus.first_view import FirstViewProposer
from hollowusher.coordination.consensus.paxos import Acceptor, first_view, voter_id
from hollowusher.protocol.consensus import Accepted, Promise
from hollowusher.protocol.view import View, Voter
from tests.support.controller_cluster import ControllerCluster, run_virtual

VOTERS = {name: Voter(name, f"disk-{name}", f"{name}:1") for name in "abcd"}
ABC = first_view([VOTERS[name] for name in "abc"])
BCD = first_view([VOTERS[name] for name in "bcd"])


def proposer_of(view: View, round_number: int, name: str = "p") -> FirstViewProposer:
    return FirstViewProposer((round_number, name), view.voters, lambda promised: view)


def promise(ballot: list[object], accepted: View | None = None, accepted_round: int = 0) -> Promise:
    accepted_ballot: list[object] | None = None if accepted is None else [accepted_round, "x"]
    return Promise(granted=True, ballot=ballot, accepted_ballot=accepted_ballot, accepted=accepted)


def test_all_voters_have_to_promise_and_to_accept() -> None:
    proposer = proposer_of(ABC, 1)
    for name in "ab":
        proposer.on_promise(VOTERS[name], promise([1, "p"]))
        assert not proposer.choose_value()
    proposer.on_promise(VOTERS["c"], promise([1, "p"]))
    assert proposer.choose_value()
    for name in "ab":
        proposer.on_accepted(VOTERS[name], Accepted(granted=True, ballot=[1, "p"]))
        assert proposer.decided is None
    proposer.on_accepted(VOTERS["c"], Accepted(granted=True, ballot=[1, "p"]))
    assert proposer.decided == ABC


def test_a_view_that_may_be_decided_is_proposed_again() -> None:
    proposer = FirstViewProposer((2, "q"), VOTERS.values(), lambda promised: BCD)
    for name in "abc":
        proposer.on_promise(VOTERS[name], promise([2, "q"], ABC, 1))
    proposer.on_promise(VOTERS["d"], promise([2, "q"]))
    assert proposer.choose_value()
    assert proposer.value == ABC


def test_a_view_that_one_voter_has_not_accepted_is_discarded() -> None:
    proposer = FirstViewProposer((2, "q"), VOTERS.values(), lambda promised: BCD)
    for name in "ab":
        proposer.on_promise(VOTERS[name], promise([2, "q"], ABC, 1))
    for name in "cd":
        proposer.on_promise(VOTERS[name], promise([2, "q"]))
    assert proposer.choose_value()
    assert proposer.value == BCD


def test_no_view_is_proposed_while_an_accepted_one_may_be_decided() -> None:
    proposer = FirstViewProposer((2, "q"), VOTERS.values(), lambda promised: BCD)
    for name in "ab":
        proposer.on_promise(VOTERS[name], promise([2, "q"], ABC, 1))
    proposer.on_promise(VOTERS["d"], promise([2, "q"]))
    assert not proposer.choose_value()  # the silent voter c may have accepted the view
    assert {voter_id(voter) for voter in proposer.accepted_voters()} == {f"{n}/disk-{n}" for n in "abc"}


def test_a_decided_view_that_a_voter_knows_ends_the_ballot() -> None:
    proposer = proposer_of(BCD, 5)
    acceptor = Acceptor("b", "disk-b")
    acceptor.learn(ABC)
    proposer.on_promise(VOTERS["b"], acceptor.prepare(proposer.prepare(VOTERS["b"])))
    assert not proposer.choose_value()
    assert proposer.decided == ABC


def test_a_voter_with_another_disk_does_not_count() -> None:
    proposer = proposer_of(ABC, 1)
    wiped = Acceptor("a", "another")
    proposer.on_promise(VOTERS["a"], wiped.prepare(proposer.prepare(VOTERS["a"])))
    for name in "bc":
        proposer.on_promise(VOTERS[name], promise([1, "p"]))
    assert not proposer.choose_value()


async def start_with_partitioned_seed(names: str, order: tuple[str, ...], cut: str, gap_s: float) -> set[str]:
    """Start the controllers in this order with seed b partitioned; return the names of the new clusters."""
    cluster = ControllerCluster(names, seeds=["10.0.0.1:8064", "10.0.0.2:8064"])
    cluster.network.cut(cluster["a"].address, cluster["b"].address)
    if cut == "all":
        cluster.isolate("b")
    elif cut == "some":
        cluster.network.cut(cluster["b"].address, cluster[names[-1]].address)
    for name in order:
        await cluster[name].start(bootstrap=True)
        await asyncio.sleep(gap_s)
    await asyncio.sleep(8.0)
    cluster.join_all()
    await cluster.until(lambda: all(node.views for node in cluster.nodes.values()), 12.0)
    await cluster.until(lambda: any(node.running.is_head for node in cluster.nodes.values()), 8.0)
    found = {node.views[0].cluster for node in cluster.nodes.values()}
    for node in cluster.nodes.values():
        await node.kill()
    return found


@pytest.mark.parametrize("cut", ["each other", "some", "all"])
@pytest.mark.parametrize("names", ["abc", "abcd"])
def test_one_cluster_starts_for_every_start_order(names: str, cut: str) -> None:
    for order in permutations(names):
        for gap_s in (0.0, 0.7):
            assert len(run_virtual(start_with_partitioned_seed(names, order, cut, gap_s))) == 1, (
                order,
                gap_s,
            )
