"""Invalid settings are rejected with an error that names the field."""

from __future__ import annotations

import re
from dataclasses import replace
from typing import Any, cast

import pytest

from hollowusher.balancing import Limits, Rules, Settings
from tests.support.balancer import SAFE, SITE


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"classes": ()}, "classes"),
        ({"classes": (SAFE, SAFE)}, "classes"),
        ({"balancers": 0}, "balancers"),
        ({"balancers": 2, "me": 2}, "me"),
        ({"me": -1}, "me"),
        ({"tick_ns": 0}, "tick_ns"),
        ({"progress_ns": -1}, "progress_ns"),
        ({"discovery": "sometimes"}, "discovery"),
        ({"readings": "now and then"}, "readings"),
        ({"classes": (replace(SAFE, aim_ns=0),)}, "classes[safe].aim_ns"),
        ({"classes": (replace(SAFE, deadline_ns=-5),)}, "classes[safe].deadline_ns"),
        ({"classes": (replace(SAFE, window_ns=-1),)}, "classes[safe].window_ns"),
        ({"classes": (replace(SAFE, stretch=-1.0),)}, "classes[safe].stretch"),
        ({"classes": (replace(SAFE, worth=-1.0),)}, "classes[safe].worth"),
        ({"classes": (replace(SAFE, late_share=1.5),)}, "classes[safe].late_share"),
        ({"classes": (replace(SAFE, effect=cast(Any, "twice")),)}, "classes[safe].effect"),
        ({"classes": (replace(SAFE, group=cast(Any, "some")),)}, "classes[safe].group"),
        ({"rules": Rules(drain_grace_ns=-1)}, "rules.drain_grace_ns"),
        ({"rules": Rules(fall_multiple=0.0)}, "rules.fall_multiple"),
        ({"rules": Rules(fall_span_ns=-1)}, "rules.fall_span_ns"),
        ({"rules": Rules(cold_share=0.0)}, "rules.cold_share"),
        ({"rules": Rules(warm_after_ns=-1)}, "rules.warm_after_ns"),
        ({"rules": Rules(answer_grace_ns=-1)}, "rules.answer_grace_ns"),
        ({"rules": Rules(ask_within_ns=0)}, "rules.ask_within_ns"),
        ({"limits": Limits(max_attempts=0)}, "limits.max_attempts"),
        ({"limits": Limits(max_retry_after_ns=-1)}, "limits.max_retry_after_ns"),
    ],
)
def test_invalid_field_is_named(changes: dict[str, Any], field: str) -> None:
    with pytest.raises(ValueError, match="^" + re.escape(field) + ":"):
        replace(SITE, **changes)


def test_one_class_is_enough() -> None:
    assert Settings(classes=(SAFE,)).balancers == 1
