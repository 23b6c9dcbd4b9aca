"""Tests of the rate limit and the backoff for calls to the platform."""

from __future__ import annotations

from hollowusher.coordination.controller.call_rate_limiter import CallRateLimiter

MAX_BACKOFF_S = 0.75


def test_calls_stay_at_half_the_rate() -> None:
    limiter, now, calls = CallRateLimiter(4.0, MAX_BACKOFF_S), 100.0, 0
    while now < 110.0 - 1e-9:
        now += limiter.seconds_until_next_call(now)
        limiter.record_call(now)
        limiter.record_success()
        calls += 1
    assert calls in (20, 21)


def test_failures_increase_the_backoff_and_success_resets_it() -> None:
    limiter, waits = CallRateLimiter(1000.0, MAX_BACKOFF_S), []
    for _ in range(7):
        limiter.record_call(0.0)
        limiter.record_failure(0.0)
        waits.append(limiter.seconds_until_next_call(0.0))
    assert waits == sorted(waits)
    assert waits[0] == 0.25
    assert waits[-1] == MAX_BACKOFF_S
    limiter.record_success()
    limiter.record_call(0.0)
    assert limiter.seconds_until_next_call(0.0) == 0.002
