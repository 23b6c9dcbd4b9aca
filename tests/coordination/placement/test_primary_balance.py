"""Primaries are distributed evenly over the stores that hold replicas."""

from __future__ import annotations

from collections import Counter
from itertools import product

from hypothesis import example, given, settings
from hypothesis import strategies as st

from hollowusher.coordination.placement.primary_balance import balance_primaries


def test_earlier_choices_are_reassigned() -> None:
    replicas = {0: ["a", "b"], 1: ["a", "c"], 2: ["a"], 3: ["b", "c"]}
    assigned = balance_primaries(replicas, 2)
    assert assigned[2] == "a"
    assert max(Counter(assigned.values()).values()) <= 2
    assert all(assigned[number] in options for number, options in replicas.items())
    assert set(balance_primaries({0: ["a"], 1: ["a"], 2: ["a"]}, 1).values()) == {"a"}


@settings(max_examples=200, deadline=None)
@given(st.lists(st.sets(st.sampled_from("abcd"), min_size=1).map(sorted), max_size=6), st.integers(1, 4))
@example([["a"], ["a", "b"], ["b", "c"], ["a", "b"], ["a", "b"], ["b", "c"]], 2)
def test_the_limit_is_kept_if_some_assignment_keeps_it(options: list[list[str]], limit: int) -> None:
    """Compare with a search over all possible assignments."""
    replicas = dict(enumerate(options))
    possible = any(max(Counter(choice).values(), default=0) <= limit for choice in product(*options))
    assigned = balance_primaries(replicas, limit)
    load = Counter(assigned.values())
    assert all(assigned[number] in replicas[number] for number in replicas)
    assert not possible or max(load.values(), default=0) <= limit
    assert all(load[assigned[number]] - load[other] < 2 for number in replicas for other in replicas[number])
