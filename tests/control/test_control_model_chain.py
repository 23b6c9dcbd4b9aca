"""The model check of the control chain across changes of the view: short bounds and planted faults."""

from __future__ import annotations

import pytest

from hollowusher.simulation.model_check.chain_model import ChainBounds, ChainModel
from hollowusher.simulation.model_check.explorer import Bounds, explore

SOUND = {
    "one change of the view": (ChainBounds(3, views=1, orders=1), 60, True),
    "two changes, a wiped disk and a newcomer": (ChainBounds(3, 2, 1, wipes=1, newcomers=1), 4, False),
    "four controllers": (ChainBounds(4, views=1, orders=1, wipes=1, newcomers=1), 4, False),
}


@pytest.mark.parametrize("name", SOUND)
def test_no_committed_state_is_lost(name: str) -> None:
    bounds, depth, everything = SOUND[name]
    outcome = explore(ChainModel(bounds), Bounds(depth))
    assert outcome.violation == "", outcome.trace
    assert outcome.complete and outcome.exhausted == everything
