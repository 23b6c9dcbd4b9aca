"""Rendezvous hashing ignores the order of the names; removing a name moves only the keys assigned to it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hollowusher.coordination.rendezvous import choose, rank

NAMES = st.lists(st.text("abcdef", min_size=1, max_size=3), unique=True, max_size=8)


@given(st.text(), NAMES)
def test_the_choice_does_not_depend_on_the_order_of_the_names(key: str, names: list[str]) -> None:
    assert rank(key, names) == rank(key, reversed(names))
    assert choose(key, names) == next(iter(rank(key, names)), None)


@given(st.text(), NAMES)
def test_without_the_chosen_name_the_next_ranked_name_is_chosen(key: str, names: list[str]) -> None:
    ranking = rank(key, names)
    for number, name in enumerate(ranking):
        remaining = [other for other in names if other != name]
        assert choose(key, remaining) == (ranking[0] if number > 0 else next(iter(ranking[1:]), None))
