"""The model check of the agreement: short bounds, and what it finds in older and wrong behaviour."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from hollowusher.simulation.model_check.commands import main
from hollowusher.simulation.model_check.consensus_model import ConsensusBounds, ConsensusModel
from hollowusher.simulation.model_check.explorer import SearchBounds, explore
from hollowusher.simulation.model_check.planted_control import CONSENSUS_FAULTS

SOUND = {
    "one proposal, everything apart": (ConsensusBounds(3, proposals=1, restarts=1, fine=True), 60, True),
    "one proposal, failing disks": (ConsensusBounds(3, proposals=1, restarts=1, failures=2), 60, True),
    "one proposal, a wiped disk": (ConsensusBounds(3, proposals=1, restarts=1, wipes=1), 60, True),
    "four controllers": (ConsensusBounds(4, proposals=1, restarts=1), 60, True),
    "two proposals": (ConsensusBounds(3, proposals=2, restarts=1), 9, False),
    "two epochs with a replacement": (ConsensusBounds(3, 2, 1, replaces=True, epochs=2), 6, False),
}


@pytest.mark.parametrize("name", SOUND)
def test_one_view_for_each_epoch(name: str) -> None:
    bounds, depth, everything = SOUND[name]
    outcome = explore(ConsensusModel(bounds), SearchBounds(depth))
    assert outcome.violation == "", outcome.trace
    assert outcome.complete
    assert outcome.exhausted == everything
    assert outcome.states > 100


PLANTED = {
    "asks-before-its-own-promise": (ConsensusBounds(3, 2, 1), "two views were chosen for epoch 2"),
    "answers-before-saving": (ConsensusBounds(3, 2, 1, fine=True), "without a majority"),
    "forgets-what-it-accepted": (ConsensusBounds(3, 2, 0), "two views were chosen for epoch 2"),
    "votes-with-any-disk": (ConsensusBounds(3, 2, 0, wipes=1), "without a majority"),
}


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_fault_is_found(name: str) -> None:
    bounds, expected = PLANTED[name]
    outcome = explore(ConsensusModel(bounds, CONSENSUS_FAULTS[name]), SearchBounds(12))
    assert expected in outcome.violation
    assert outcome.trace


def test_the_command_prints_figures_and_the_shortest_trace() -> None:
    options = ["control", "--part", "agreement", "--depth"]
    sound = CliRunner().invoke(main, [*options, "4"])
    assert sound.exit_code == 0
    assert "states" in sound.output
    assert "to depth 4" in sound.output
    broken = CliRunner().invoke(main, [*options, "8", "--wipes", "1", "--planted", "votes-with-any-disk"])
    assert broken.exit_code == 1
    assert "1. a proposes" in broken.output
