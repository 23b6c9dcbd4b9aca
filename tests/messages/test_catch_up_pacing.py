"""The pace at which a peer receives the records that it lacks, and the size up to which it is in time."""

from __future__ import annotations

import pytest

from hollowusher.configuration.boot import BootSettings, Bounds, ResourceLimits
from hollowusher.messages.replication.catch_up_pacing import (
    BYTES_PER_MESSAGE,
    MAX_CHUNK_BYTES,
    MIN_BYTES_PER_S,
    MIN_CHUNK_BYTES,
    CatchUpLimits,
    CatchUpPacer,
    CatchUpSizeMonitor,
    size_bytes,
)

MEBIBYTE = 1024 * 1024
LIMITS = CatchUpLimits(link_bytes_per_s=60e6, catch_up_s=4.2)


def send_time_s(pacer: CatchUpPacer, total: int, peers: int = 1) -> float:
    """Return how long it takes to send `total` bytes to each of some peers, one chunk at a time to each."""
    next_at = {f"peer-{number}": 0.0 for number in range(peers)}
    left = dict.fromkeys(next_at, total)
    while any(left.values()):
        peer = min((each for each in left if left[each]), key=lambda each: next_at[each])
        now = next_at[peer]
        chunk = min(left[peer], MAX_CHUNK_BYTES)
        next_at[peer] = now + pacer.wait_s(peer, chunk, left[peer], now)
        left[peer] -= chunk
    return max(next_at.values())


@pytest.mark.parametrize("total", [MEBIBYTE, 10 * MEBIBYTE, 30 * MEBIBYTE])
def test_all_records_are_sent_in_the_time_set_aside_whatever_their_size(total: int) -> None:
    """A pace of 3 MiB/s for each partition was too slow for 30 MB in one partition (review/4)."""
    assert send_time_s(CatchUpPacer(LIMITS), total) == pytest.approx(
        min(LIMITS.send_time_s, total / MIN_BYTES_PER_S), rel=0.01
    )


def test_the_pace_ends_at_the_share_of_the_link_of_all_peers_together() -> None:
    total = 200 * MEBIBYTE
    alone = send_time_s(CatchUpPacer(LIMITS), total)
    assert alone == pytest.approx(total / LIMITS.max_bytes_per_s, rel=0.01)
    assert send_time_s(CatchUpPacer(LIMITS), total, peers=2) == pytest.approx(2 * alone, rel=0.02)


def test_a_peer_that_got_nothing_for_a_while_takes_no_part_of_the_link() -> None:
    """The lost replica is a peer until its replacement is promoted; it halved the pace of the replacement."""
    pacer = CatchUpPacer(LIMITS)
    pacer.wait_s("lost", MAX_CHUNK_BYTES, 0, now=0.0)
    total = 200 * MEBIBYTE
    wait_s = pacer.wait_s("replacement", MAX_CHUNK_BYTES, total, now=0.1)
    assert wait_s == pytest.approx(2 * MAX_CHUNK_BYTES / LIMITS.max_bytes_per_s)
    pacer.wait_s("replacement", MAX_CHUNK_BYTES, total, now=2.0)  # behind its schedule: no wait
    wait_s = pacer.wait_s("replacement", MAX_CHUNK_BYTES, total, now=2.0)
    assert wait_s == pytest.approx(MAX_CHUNK_BYTES / LIMITS.max_bytes_per_s)


def test_two_sessions_with_one_peer_share_its_pace() -> None:
    pacer = CatchUpPacer(LIMITS)
    first = pacer.wait_s("a", MEBIBYTE, 0, now=0.0)
    second = pacer.wait_s("a", MEBIBYTE, 0, now=0.0)
    assert (first, second) == (MEBIBYTE / MIN_BYTES_PER_S, 2 * MEBIBYTE / MIN_BYTES_PER_S)


@pytest.mark.parametrize("link_mbps", [15.0, 60.0, 480.0, 1000.0])
@pytest.mark.parametrize("senders", [1, 2, 16])
def test_chunks_in_flight_occupy_the_link_of_a_peer_only_briefly(link_mbps: float, senders: int) -> None:
    settings = BootSettings("store-1", "storage", limits=ResourceLimits(bandwidth_mbps=link_mbps))
    limits = CatchUpLimits.from_settings(settings)
    chunk = limits.chunk_bytes(senders, sessions=4)
    assert MIN_CHUNK_BYTES <= chunk <= MAX_CHUNK_BYTES
    if chunk > MIN_CHUNK_BYTES:
        assert senders * 4 * chunk / limits.link_bytes_per_s <= 0.05


@pytest.mark.parametrize(
    ("link_mbps", "catch_up_s", "limit_mb"), [(60, 6.0, 13.5), (480, 4.4, 79.2), (1000, 4.2, 84.5)]
)
def test_the_size_that_can_be_replaced_in_time_follows_from_the_settings(
    link_mbps: float, catch_up_s: float, limit_mb: float
) -> None:
    settings = BootSettings(
        "store-1",
        "storage",
        limits=ResourceLimits(bandwidth_mbps=link_mbps),
        bounds=Bounds(catch_up_s=catch_up_s),
    )
    limit = CatchUpLimits.from_settings(settings).max_size_bytes
    assert limit / 1e6 == pytest.approx(limit_mb, abs=0.1)


def test_a_size_beyond_the_limit_is_told_once_until_it_is_well_below() -> None:
    monitor = CatchUpSizeMonitor(LIMITS)
    limit = monitor.limit_bytes
    sizes = [limit, limit + 1, limit + 2, limit - 1, int(0.89 * limit), limit + 1]
    assert [monitor.update(size) for size in sizes] == [False, True, False, False, True, True]
    assert size_bytes(100, 3) == 100 + 3 * BYTES_PER_MESSAGE
