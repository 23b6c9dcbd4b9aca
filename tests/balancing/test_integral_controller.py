"""Arithmetic of the integral controller, compared with values computed by hand from equation 4 of the paper.

With t_d = 50 ms and t_p = 25 ms, C* = 0.98 and t_s = t_w = 0.5 s, the gain at N is (50 + 25·B·N)² / (25·50)
and one step is gain·(0.98 - C)/B.
"""

from __future__ import annotations

import pytest

from hollowusher.balancing.balancer import SET_POINT, WINDOW_NS, IntegralController
from tests.support.balancer import MS

T_D, T_P, MANY = 50 * MS, 25.0 * MS, 1000.0


def controller(balancers: int = 1, bundle: float = 0.0, wanted: bool = True) -> IntegralController:
    made = IntegralController(T_D, balancers)
    made.bundle, made.wanted = bundle, wanted
    return made


def test_constants_assumed_by_these_tests() -> None:
    assert SET_POINT == 0.98
    assert WINDOW_NS == 500 * MS


def test_first_step_from_zero() -> None:
    # gain at 0: 50²/(25·50) = 2; an idle worker: 2·0.98 = 1.96
    c = controller()
    c.resize(0.0, 500 * MS, T_P, MANY, True)
    assert c.bundle == pytest.approx(1.96)


def test_step_grows_with_the_bundle() -> None:
    # gain at 2: (50+50)²/1250 = 8; at C = 0.5: 2 + 8·0.48 = 5.84
    c = controller(bundle=2.0)
    c.resize(0.5, 500 * MS, T_P, MANY, True)
    assert c.bundle == pytest.approx(5.84)


def test_a_reading_above_the_set_point_shrinks() -> None:
    # gain at 2 is 8; at C = 1: 2 - 8·0.02 = 1.84
    c = controller(bundle=2.0)
    c.resize(1.0, 500 * MS, T_P, MANY, True)
    assert c.bundle == pytest.approx(1.84)


def test_the_gain_is_taken_on_all_balancers_bundles_and_split() -> None:
    # B = 4, N = 0.5: gain at B·N = 2 is 8; at C = 0.5: 0.5 + 8·0.48/4 = 1.46
    c = controller(balancers=4, bundle=0.5)
    c.resize(0.5, 500 * MS, T_P, MANY, True)
    assert c.bundle == pytest.approx(1.46)


def test_a_reading_after_less_than_the_window_counts_less() -> None:
    # a fifth of t_w: 2·0.98/5 = 0.392
    c = controller()
    c.resize(0.0, 100 * MS, T_P, MANY, True)
    assert c.bundle == pytest.approx(0.392)


def test_the_bundle_never_falls_below_zero() -> None:
    # t_p = 1 s at N = 5: gain (50+5000)²/50000 = 510.05; 5 - 510.05·0.02 < 0
    c = controller(bundle=5.0)
    c.resize(1.0, 500 * MS, 1000.0 * MS, MANY, True)
    assert c.bundle == 0.0


def test_unused_bundle_grows_only_to_even_share() -> None:
    # B = 4: t_d/t_p/B = 50/25/4 = 0.5, whatever the step
    c = controller(balancers=4, bundle=0.4, wanted=False)
    for _ in range(5):
        c.resize(0.0, 500 * MS, T_P, MANY, True)
        assert c.bundle == pytest.approx(0.5)


def test_unused_bundle_keeps_its_size() -> None:
    c = controller(bundle=7.0, wanted=False)
    c.resize(0.0, 500 * MS, T_P, MANY, True)
    assert c.bundle == 7.0


def test_used_bundle_grows_to_ceiling() -> None:
    c = controller(bundle=3.0)
    c.resize(0.0, 500 * MS, T_P, 4.0, True)
    assert c.bundle == 4.0


def test_untrusted_bundle_shrinks_but_does_not_grow() -> None:
    c = controller(bundle=2.0)
    c.resize(0.0, 500 * MS, T_P, MANY, False)
    assert c.bundle == 2.0
    c.resize(1.0, 500 * MS, T_P, MANY, False)
    assert c.bundle == pytest.approx(1.84)


def test_fractions_are_carried_and_bounded() -> None:
    c = controller(bundle=0.25)
    c.credit = 0.0
    c.accrue_credit(3)
    assert c.credit == pytest.approx(0.75)
    c.accrue_credit(1000)
    assert c.credit == 3.0
    c.bundle = 5.0
    c.accrue_credit(1000)
    assert c.credit == 5.0
