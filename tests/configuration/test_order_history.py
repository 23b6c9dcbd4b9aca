"""Tests of the order history: which orders are pruned, and when a further order is rejected."""

from __future__ import annotations

import random

import orjson
import pytest

from hollowusher.configuration import order_history, orders
from hollowusher.configuration.order_history import RETRY_WINDOW_S, CommittedAges, pruned
from hollowusher.configuration.orders import HISTORY_SOFT_LIMIT, OrderOutcome, apply_order, read_order
from hollowusher.coordination.chain.chain_member import EMPTY_STATE
from hollowusher.protocol.control_chain import ControlState
from tests.support.controller_cluster import document


def send(
    state: ControlState, generation: int, if_match: int, expired_generation: int | None = None
) -> OrderOutcome:
    read = read_order("PUT", if_match, orjson.dumps(document(generation)))
    return apply_order(state, read.ok, expired_generation)


def accept(
    state: ControlState, generation: int, if_match: int, expired_generation: int | None = None
) -> ControlState:
    outcome = send(state, generation, if_match, expired_generation)
    assert outcome.answer.status == 200 and outcome.state is not None
    return outcome.state


def test_orders_within_the_retry_window_are_never_pruned() -> None:
    history = [[generation, b"digest"] for generation in range(1, 11)]
    assert pruned(history, 4, 0) == history
    assert pruned(history, 4, 3) == history[3:]
    assert pruned(history, 4, 10) == history[6:]
    assert pruned(history, 10, 10) == history


def test_a_retried_order_is_acknowledged_after_more_orders_than_the_soft_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(orders, "HISTORY_SOFT_LIMIT", 5)
    state = EMPTY_STATE
    for generation in range(1, 30):
        state = accept(state, generation, generation - 1, expired_generation=0)
    for generation in range(1, 30):
        assert send(state, generation, generation - 1).answer.status == 200
    state = accept(state, 30, 29, expired_generation=20)
    assert [generation for generation, _ in state.history] == list(range(21, 31))


def test_an_order_is_rejected_if_the_history_is_full_of_orders_within_the_retry_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(orders, "HISTORY_SOFT_LIMIT", 3)
    monkeypatch.setattr(orders, "HISTORY_HARD_LIMIT", 6)
    state = EMPTY_STATE
    for generation in range(1, 7):
        state = accept(state, generation, generation - 1, expired_generation=0)
    outcome = send(state, 7, 6, expired_generation=0)
    assert outcome.answer.status == 503 and outcome.state is None
    assert send(state, 1, 0, expired_generation=0).answer.status == 200
    assert send(state, 7, 6, expired_generation=3).answer.status == 200


def test_the_retry_window_starts_when_the_order_is_first_seen_as_committed() -> None:
    ages = CommittedAges()
    ages.note(0, 0.0)
    ages.note(5, 10.0)
    ages.note(5, 20.0)
    ages.note(7, 30.0)
    assert ages.newest_expired(10.0 + RETRY_WINDOW_S - 0.1) == 0
    assert ages.newest_expired(10.0 + RETRY_WINDOW_S) == 5
    ages.note(7, 95.0)
    assert ages.newest_expired(30.0 + RETRY_WINDOW_S) == 7
    ages.note(7, 200.0)
    assert ages.newest_expired(900.0) == 7


def test_random_runs_never_prune_an_order_within_its_retry_window(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(orders, "HISTORY_SOFT_LIMIT", 10)
    for seed in range(100):
        random_source = random.Random(seed)
        state, ages, now = EMPTY_STATE, CommittedAges(), 0.0
        accepted_at: dict[int, float] = {}
        for generation in range(1, 200):
            now += random_source.choice((0.01, 0.5, 20.0))
            if random_source.random() < 0.05:
                ages = CommittedAges()  # a new head or a restart loses the recorded times
            ages.note(state.generation, now)
            state = accept(state, generation, generation - 1, ages.newest_expired(now))
            accepted_at[generation] = now
            kept = {each for each, _ in state.history}
            assert all(each in kept for each, at in accepted_at.items() if now - at < RETRY_WINDOW_S)
            assert len(kept) >= min(generation, 10)


def test_the_limits_of_the_history() -> None:
    assert HISTORY_SOFT_LIMIT == 4_096
    assert order_history.HISTORY_HARD_LIMIT == 16_384 and RETRY_WINDOW_S == 60.0


def test_patches_cannot_grow_a_configuration_beyond_the_size_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(orders, "MAX_DOCUMENT_BYTES", 1_000)
    state = accept(EMPTY_STATE, 1, 0)
    route = document(1)["routes"][0] | {"name": "r2", "pathPrefix": "/b/", "comment": "x" * 800}
    body = orjson.dumps({"generation": 2, "upsert": {"routes": [route]}})
    outcome = apply_order(state, read_order("PATCH", 1, body).ok)
    assert outcome.answer.status == 413 and outcome.state is None
