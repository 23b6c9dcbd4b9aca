"""Model check of the voter set: after each repair the set tolerates the next loss.

The check must also find the fault of an older planner, which never removed a voter.
"""

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
def test_after_each_repair_the_next_loss_is_tolerated(name: str) -> None:
    controllers, losses, new_machines, voters = SIZES[name]
    outcome = explore(VotersModel(controllers, losses, new_machines, voters=voters), SearchBounds(100))
    assert outcome.violation == "", outcome.trace
    assert outcome.exhausted
    assert outcome.states > 30


def test_the_model_check_finds_the_fault_of_the_older_planner() -> None:
    outcome = explore(VotersModel(3, losses=2, new_machines=1, planner=older_planner), SearchBounds(100))
    assert "voters" in outcome.violation
    assert any("starts" in line for line in outcome.trace)
