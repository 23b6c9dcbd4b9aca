"""The model check of who votes: after each repair the next loss is borne; the older planner is found out."""

from __future__ import annotations

import pytest

from hollowusher.simulation.model_check.explorer import SearchBounds, explore
from tests.coordination.consensus.voter_set_model import VotersModel, older_planner

SIZES = {
    "three controllers, two replacements": (3, 2, 2, 3),
    "three controllers, three losses, three newcomers": (3, 3, 3, 3),
    "four controllers, three of them vote": (4, 3, 2, 3),
    "four voters of older data": (4, 2, 2, 4),
}


@pytest.mark.parametrize("name", SIZES)
def test_after_each_repair_the_next_loss_is_borne(name: str) -> None:
    controllers, losses, newcomers, voters = SIZES[name]
    outcome = explore(VotersModel(controllers, losses, newcomers, voters=voters), SearchBounds(100))
    assert outcome.violation == "", outcome.trace
    assert outcome.exhausted
    assert outcome.states > 30


def test_the_older_planner_never_removes_a_voter_and_is_found_out() -> None:
    outcome = explore(VotersModel(3, losses=2, newcomers=1, planner=older_planner), SearchBounds(100))
    assert "voters" in outcome.violation
    assert any("comes" in line for line in outcome.trace)
