"""The rate limit of a service holds over all partitions: the home partition lends tokens to the others."""

from __future__ import annotations

import asyncio

import pytest

from hollowusher.coordination.rendezvous import rank_partitions
from hollowusher.messages.rate_limit_loans import RETRY_PAUSE_S, RateLimitLoans
from hollowusher.protocol.leases import BorrowedTokens, BorrowTokens
from tests.support.message_store import StoreCluster, configuration, message, play

RATE_PER_S = 20.0
WINDOW_S, OVERSHOOT, ALLOWANCE = 5.0, 1.1, 5  # the users' rule: arrivals in any window
STORES = 3
HOME = rank_partitions("s", range(STORES))[0]


async def start_with_backlog(cluster: StoreCluster, count: int) -> None:
    """Store `count` messages in each of three partitions with a primary each, and limit their service."""
    await cluster.start(partitions=STORES)
    cluster.place([cluster.entry(number, 2, number) for number in range(STORES)])
    await asyncio.sleep(1.0)
    for store in range(STORES):
        puts = (cluster.put(message(f"m{store}-{n}"), store, store) for n in range(count))
        answers = await asyncio.gather(*puts)
        assert {answer.status for answer in answers} == {"stored"}
    cluster.configure(configuration(2, s=RATE_PER_S))
    await asyncio.sleep(0.5)


class Dispatchers:
    """Lease jobs from all stores and end them at once."""

    def __init__(self, cluster: StoreCluster) -> None:
        self._cluster = cluster
        self.leased_at: dict[int, list[float]] = {store: [] for store in range(STORES)}

    async def run(self, seconds: float) -> None:
        until = self._cluster.loop.time() + seconds
        await asyncio.gather(*(self._poll(store, until) for store in self.leased_at))

    async def _poll(self, store: int, until: float) -> None:
        cluster = self._cluster
        while cluster.loop.time() < until:
            for job in await cluster.lease(store, most=8, wait_ms=1_000):
                self.leased_at[store].append(cluster.loop.time())
                assert await cluster.finish(job.lease, "success", store, "sig") == "taken"

    @property
    def most_in_window(self) -> int:
        """The largest number of leases in any window, over all stores."""
        times = sorted(time for times in self.leased_at.values() for time in times)
        return max(sum(start <= time < start + WINDOW_S for time in times) for start in times)


# Guards against: each partition with messages accepted before the limit was set using the whole limit.
def test_limit_holds_over_all_partitions_that_hold_messages() -> None:
    async def work(cluster: StoreCluster) -> None:
        await start_with_backlog(cluster, 100)
        dispatchers = Dispatchers(cluster)
        await dispatchers.run(20.0)
        assert dispatchers.most_in_window <= RATE_PER_S * WINDOW_S * OVERSHOOT + ALLOWANCE

    play(work)


# Guards against: messages outside the home partition that wait for ever because the limit uses up all tokens.
def test_backlog_of_every_partition_is_worked_off() -> None:
    async def work(cluster: StoreCluster) -> None:
        await start_with_backlog(cluster, 60)
        dispatchers = Dispatchers(cluster)
        await dispatchers.run(3 * 60 / RATE_PER_S * 1.5)
        assert {store: len(times) for store, times in dispatchers.leased_at.items()} == dict.fromkeys(
            range(STORES), 60
        )

    play(work)


# Guards against: a limit that nobody enforces while the home partition has no primary.
def test_no_job_is_leased_without_the_home_partition_and_all_once_it_is_back() -> None:
    async def work(cluster: StoreCluster) -> None:
        await start_with_backlog(cluster, 10)
        away = next(store for store in range(STORES) if store != HOME)
        home = cluster.stores[HOME]
        home.kill()
        assert await cluster.lease(away, most=8, wait_ms=1_000) == []
        await home.start()
        cluster.place([cluster.entry(number, 3, number) for number in range(STORES)])
        await asyncio.sleep(2.0)
        dispatchers = Dispatchers(cluster)
        await dispatchers.run(6.0)
        assert [len(times) for times in dispatchers.leased_at.values()] == [10] * STORES

    play(work)


# Guards against: two lenders for one limit.
def test_store_that_is_not_the_home_primary_lends_nothing() -> None:
    async def work(cluster: StoreCluster) -> None:
        await start_with_backlog(cluster, 1)
        for store in range(STORES):
            answer = await cluster.call(store, BorrowTokens("s", 2, 1_000))
            assert isinstance(answer, BorrowedTokens)
            assert (answer.tokens > 0) is (store == HOME)

    play(work)


# Guards against: jobs that wait for tokens after the operator has removed the limit.
def test_service_without_limit_needs_no_tokens() -> None:
    async def work(cluster: StoreCluster) -> None:
        await start_with_backlog(cluster, 20)
        cluster.configure(configuration(3))
        await asyncio.sleep(0.1)
        for store in range(STORES):
            assert len(await cluster.lease(store, most=20)) == 20
        answer = await cluster.call(HOME, BorrowTokens("s", 2, 1_000))
        assert answer == BorrowedTokens(0)

    play(work)


# Guards against: waiting requests that wake one another and call the lender without a pause.
@pytest.mark.parametrize("wait_ms", [0, 1_000])
def test_waiting_requests_ask_seldom_while_the_home_partition_is_away(
    wait_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = 0
    borrow = RateLimitLoans.borrow

    async def counted(loans: RateLimitLoans, service: str, most: int, deadline: float) -> int:
        nonlocal calls
        calls += 1
        return await borrow(loans, service, most, deadline)

    async def work(cluster: StoreCluster) -> None:
        await start_with_backlog(cluster, 10)
        away = next(store for store in range(STORES) if store != HOME)
        cluster.stores[HOME].kill(power=False)  # its machine refuses connections at once
        monkeypatch.setattr(RateLimitLoans, "borrow", counted)
        answers = await asyncio.gather(*(cluster.lease(away, wait_ms=wait_ms) for _ in range(5)))
        assert answers == [[]] * 5
        assert 5 <= calls <= 5 * (2 + wait_ms / 1000 / RETRY_PAUSE_S)

    play(work)
