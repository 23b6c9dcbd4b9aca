"""The model check of the first view: a short bound, and the rules that it finds to be unsafe."""

from __future__ import annotations

import pytest

from hollowusher.simulation.model_check.explorer import SearchBounds, explore
from hollowusher.simulation.model_check.first_view_model import FirstViewBounds, FirstViewModel
from hollowusher.simulation.model_check.planted_control import FIRST_VIEW_FAULTS


def test_no_two_first_views_are_decided() -> None:
    bounds = FirstViewBounds(gathered=("ab", "bc"), wanted=2, lost_answers=True)
    outcome = explore(FirstViewModel(bounds), SearchBounds(60))
    assert outcome.violation == "", outcome.trace
    assert outcome.exhausted


@pytest.mark.parametrize("name", FIRST_VIEW_FAULTS)
def test_a_planted_fault_is_found(name: str) -> None:
    outcome = explore(FirstViewModel(FirstViewBounds(), FIRST_VIEW_FAULTS[name]), SearchBounds(20))
    assert outcome.violation == "two first views were decided: ['abc', 'bcd']"
