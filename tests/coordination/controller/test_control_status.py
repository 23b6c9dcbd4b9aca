"""Tests of the status of voters, margins and partitions that operators see."""

from __future__ import annotations

from typing import Any

import pytest

from hollowusher.coordination.consensus.paxos import first_view
from hollowusher.coordination.controller.control_status import (
    ControllerSnapshot,
    VoterObservation,
    build_control_status,
    controller_losses_borne,
)
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_chain import ControlState
from hollowusher.protocol.control_status import ControlStatus, PartitionStatus
from hollowusher.protocol.view import View, Voter

COMPLETE = VoterObservation(True, True, [1, 7])
CATCHING_UP = VoterObservation(True, False, [1, 3])
UNREACHABLE = VoterObservation(False, False)


def view_of(*names: str) -> View:
    return first_view([Voter(name, f"disk-{name}", f"{name}:7780") for name in names])


def observations(view: View, **changed: VoterObservation) -> dict[str, VoterObservation]:
    return {voter.name: changed.get(voter.name, COMPLETE) for voter in view.voters}


def partition(number: int, living: int, replicas: int = 3, **more: Any) -> PartitionStatus:
    return PartitionStatus(number, 1, "s1/d1", living, replicas, **more)


def status(
    view: View | None, partitions: list[PartitionStatus], **changed: VoterObservation
) -> ControlStatus:
    observed = {} if view is None else observations(view, **changed)
    state = ControlState(sequence=7, generation=2, document=b"", history=[])
    snapshot = ControllerSnapshot("a", view, state, view is not None, observed, ["a", "x"])
    return build_control_status(snapshot, partitions, 1)


@pytest.mark.parametrize(
    ("names", "changed", "margin"),
    [
        ("abc", {}, 1),
        ("abcd", {}, 1),
        ("abcde", {}, 2),
        ("abc", {"b": UNREACHABLE}, 0),
        ("abcd", {"b": UNREACHABLE}, 0),  # the quorum of 4 voters is 3, so no further voter may fail
        ("abcde", {"b": UNREACHABLE}, 1),
        ("abc", {"b": UNREACHABLE, "c": UNREACHABLE}, -1),
        ("abc", {"b": CATCHING_UP, "c": CATCHING_UP}, 0),  # only one voter is complete
        ("abc", {"b": CATCHING_UP}, 1),
        ("a", {}, 0),
    ],
)
def test_controller_margin(names: str, changed: dict[str, VoterObservation], margin: int) -> None:
    view = view_of(*names)
    assert controller_losses_borne(view, observations(view, **changed)) == margin


def test_status_shows_voters_majority_spares_and_state_versions() -> None:
    view = evolve(view_of("a", "b", "c"), epoch=4, chain=["b", "a"])
    reported = status(view, [partition(0, 3), partition(1, 2, learners=["s4/d4"])], c=CATCHING_UP)
    assert (reported.epoch, reported.head, reported.tail, reported.majority) == (4, "b", "a", 2)
    assert reported.spare_controllers == ["x"]
    [voter] = [voter for voter in reported.voters if voter.name == "c"]
    assert (voter.in_chain, voter.complete, voter.state_version) == (False, False, [1, 3])
    assert (reported.sequence, reported.generation, reported.store_losses_borne) == (7, 2, 0)


def test_without_a_view_the_margin_is_negative() -> None:
    reported = status(None, [])
    assert (reported.epoch, reported.controller_losses_borne, reported.voters) == (0, -1, [])
