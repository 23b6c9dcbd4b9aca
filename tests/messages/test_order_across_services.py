"""The order of an ordering key holds while changes of the configuration move its route between services."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from hollowusher.coordination.rendezvous import ordering_partition, rank_partitions
from hollowusher.protocol.messages import NewMessage
from tests.support.message_store import StoreCluster, configuration, message, play

STORES = 3
PARTITIONS = range(STORES)
RATE_PER_S = 20.0
WINDOW_S, OVERSHOOT, ALLOWANCE = 5.0, 1.1, 5  # the users' rule: arrivals in any window
WORK_S = 0.1
ROUTE, KEY, OTHER_KEY = "r", "parcel-17", "parcel-18"
ORDERING_PARTITION = 0
# Services with home partitions of their own, so that the tokens of both are borrowed.
FORMER, NEW = (
    next(name for name in map("service-{}".format, range(99)) if rank_partitions(name, PARTITIONS)[0] == home)
    for home in (1, 2)
)


def document(generation: int, service: str, services: tuple[str, ...] = (FORMER, NEW)) -> bytes:
    """Return a configuration in which `service` has the ordered route, and all services a rate limit."""
    route = {
        "name": ROUTE,
        "hostname": "a.example",
        "pathPrefix": "/x/",
        "upstream": service,
        "ordered": True,
    }
    return configuration(generation, [route], **dict.fromkeys(services, RATE_PER_S))


class Scenario:
    """Clients that send messages of ordering keys, and a dispatcher of each service that polls all stores."""

    def __init__(self, cluster: StoreCluster) -> None:
        self.cluster = cluster
        self.sent: list[str] = []
        self.started: list[str] = []
        self.ended: list[str] = []
        self.started_at: dict[str, list[float]] = {FORMER: [], NEW: []}
        self.order_broken: list[tuple[str, str]] = []  # a message and an earlier one that had not ended
        self.silent: set[str] = set()  # services whose destination never answers
        self._keys: dict[str, str] = {}

    async def start(self) -> None:
        cluster = self.cluster
        await cluster.start(partitions=STORES)
        self.place(2)
        cluster.configure(document(1, FORMER))
        await asyncio.sleep(1.0)

    def place(self, epoch: int, **primaries: int) -> None:
        """Place one primary on each store, with these exceptions by partition."""
        chosen = {number: primaries.get(f"p{number}", number) for number in PARTITIONS}
        self.cluster.place([self.cluster.entry(number, epoch, chosen[number]) for number in PARTITIONS])

    def primary_store(self, partition: int) -> int:
        cluster = self.cluster
        placement = cluster.items["placement"].value.partitions[partition]
        return [store.store_id for store in cluster.stores].index(placement.primary)

    async def send(self, service: str, key: str = KEY, **changes: Any) -> str:
        message_id = f"m{len(self.sent)}"
        self.sent.append(message_id)
        self._keys[message_id] = key
        new: NewMessage = message(
            message_id, service=service, ordering_key=key, generation=1 + (service == NEW), **changes
        )
        partition = ordering_partition(new.route, PARTITIONS)
        assert partition is not None
        answer = await self.cluster.put(new, self.primary_store(partition), partition)
        assert answer.status == "stored"
        return message_id

    async def send_many(self, service: str, count: int, **changes: Any) -> None:
        for _ in range(count):
            await self.send(service, **changes)

    async def dispatch(self, seconds: float) -> None:
        """Run the dispatchers of both services for this long."""
        until = self.cluster.loop.time() + seconds
        polls = [self._poll(service, store, until) for service in (FORMER, NEW) for store in PARTITIONS]
        await asyncio.gather(*polls)

    async def _poll(self, service: str, store: int, until: float) -> None:
        loop = self.cluster.loop
        while loop.time() < until:
            if not self.cluster.stores[store].process.alive:
                await asyncio.sleep(0.1)
                continue
            for job in await self.cluster.lease(store, most=8, wait_ms=500, service=service):
                self._start(job.message.id, service)
                await asyncio.sleep(WORK_S)
                if service not in self.silent:
                    self.ended.append(job.message.id)
                    assert await self.cluster.finish(job.lease, "success", store, "sig") == "taken"

    def _start(self, message_id: str, service: str) -> None:
        self.started.append(message_id)
        self.started_at[service].append(self.cluster.loop.time())
        earlier = self.sent[: self.sent.index(message_id)]
        self.order_broken += [
            (message_id, other)
            for other in earlier
            if self._keys[other] == self._keys[message_id] and other not in self.ended
        ]

    def most_in_window(self, service: str) -> int:
        times = self.started_at[service]
        return max(sum(start <= time < start + WINDOW_S for time in times) for start in times)


def test_messages_of_the_route_stand_outside_the_homes_of_both_services() -> None:
    assert ordering_partition(ROUTE, PARTITIONS) == ORDERING_PARTITION


async def started(cluster: StoreCluster) -> Scenario:
    scenario = Scenario(cluster)
    await scenario.start()
    return scenario


# Guards against: messages of a key that start at a route's new service while earlier ones wait.
def test_route_that_moves_to_another_service_keeps_the_order_of_a_key() -> None:
    async def work(cluster: StoreCluster) -> None:
        scenario = await started(cluster)
        await scenario.send_many(FORMER, 20)
        cluster.configure(document(2, NEW))
        await scenario.send_many(NEW, 5)
        await scenario.dispatch(12.0)
        assert scenario.order_broken == []
        assert scenario.started == scenario.sent
        assert len(scenario.started_at[NEW]) == 5

    play(work)


# Guards against: the same with changes there and back while messages of both services wait.
def test_route_that_moves_there_and_back_keeps_the_order_of_a_key() -> None:
    async def work(cluster: StoreCluster) -> None:
        scenario = await started(cluster)
        for generation, service in enumerate((FORMER, NEW, FORMER, NEW), 1):
            cluster.configure(document(generation, service))
            await scenario.send_many(service, 8)
        await scenario.dispatch(15.0)
        assert scenario.order_broken == []
        assert scenario.started == scenario.sent

    play(work)


# Guards against: a leased message of a dropped service that loses its place while waiting ones move.
@pytest.mark.parametrize("leased", [False, True])
def test_dropped_service_hands_its_messages_over_in_order(leased: bool) -> None:
    async def work(cluster: StoreCluster) -> None:
        scenario = await started(cluster)
        await scenario.send_many(FORMER, 6)
        if leased:
            scenario.silent.add(FORMER)
            await scenario.dispatch(1.0)
            scenario.silent.clear()
            assert scenario.started == ["m0"]
        cluster.configure(document(2, NEW, (NEW,)))
        await scenario.send_many(NEW, 3)
        scenario.started.clear()
        await scenario.dispatch(15.0)
        assert scenario.order_broken == []
        assert scenario.ended == scenario.sent

    play(work)


# Guards against: a takeover that forgets which message of a key comes first.
@pytest.mark.parametrize("power", [False, True])
def test_order_survives_the_loss_of_the_primary_between_the_change_and_the_end(power: bool) -> None:
    async def work(cluster: StoreCluster) -> None:
        scenario = await started(cluster)
        await scenario.send_many(FORMER, 8)
        cluster.configure(document(2, NEW))
        await scenario.send_many(NEW, 4)
        await scenario.dispatch(0.8)
        cluster.stores[ORDERING_PARTITION].kill(power=power)
        scenario.place(3, **{f"p{ORDERING_PARTITION}": 1})
        await asyncio.sleep(1.5)
        await scenario.send_many(NEW, 2)
        await scenario.dispatch(15.0)
        assert scenario.order_broken == []
        assert scenario.ended == scenario.sent

    play(work)


# Guards against: a dropped route whose messages hold up a later route's messages of the key.
def test_messages_of_a_dropped_route_hold_nothing_up() -> None:
    async def work(cluster: StoreCluster) -> None:
        scenario = await started(cluster)
        await scenario.send_many(FORMER, 4)
        other = {"name": "q", "hostname": "a.example", "pathPrefix": "/x/", "upstream": NEW, "ordered": True}
        cluster.configure(configuration(2, [other], **{NEW: RATE_PER_S}))
        scenario.ended += scenario.sent
        await asyncio.sleep(0.1)
        await scenario.send(NEW, route="q")
        await scenario.dispatch(2.0)
        assert scenario.started == ["m4"]

    play(work)


# Guards against: a destination that never answers and so blocks its keys for ever, or blocks other keys.
def test_silent_destination_holds_its_key_until_retention_ends_and_no_other_key() -> None:
    async def work(cluster: StoreCluster) -> None:
        scenario = await started(cluster)
        scenario.silent.add(FORMER)
        await scenario.send_many(FORMER, 2, retention_ms=20_000)
        cluster.configure(document(2, NEW))
        later = await scenario.send(NEW)
        free = await scenario.send(NEW, key=OTHER_KEY)
        await scenario.dispatch(2.0)
        assert free in scenario.ended
        assert later not in scenario.started
        scenario.ended += ["m0", "m1"]  # by their retention
        await scenario.dispatch(28.0)
        assert later in scenario.ended
        assert scenario.order_broken == []

    play(work)


# Guards against: a key's partition that is home to no service and leases without a rate limit.
def test_rate_limits_of_both_services_hold_over_a_change() -> None:
    async def work(cluster: StoreCluster) -> None:
        scenario = await started(cluster)
        for number in range(60):
            await scenario.send(FORMER, key=f"many-{number}")
        cluster.configure(document(2, NEW))
        for number in range(60):
            await scenario.send(NEW, key=f"many-{number}")
        await scenario.dispatch(16.0)
        assert sorted(scenario.ended) == sorted(scenario.sent)
        assert scenario.order_broken == []
        for service in (FORMER, NEW):
            assert scenario.most_in_window(service) <= RATE_PER_S * WINDOW_S * OVERSHOOT + ALLOWANCE

    play(work)


# Guards against: a ceiling that is set or lifted while messages of a key wait, and breaks their order.
@pytest.mark.parametrize("has_limit_first", [False, True])
def test_ceiling_that_is_set_or_lifted_leaves_the_order_alone(has_limit_first: bool) -> None:
    async def work(cluster: StoreCluster) -> None:
        scenario = await started(cluster)
        route = {"name": ROUTE, "hostname": "a.example", "pathPrefix": "/x/", "upstream": FORMER}
        routes = [{**route, "ordered": True}]
        limited, unlimited = {FORMER: RATE_PER_S}, {FORMER: 0.0}
        first, second = (limited, unlimited) if has_limit_first else (unlimited, limited)
        cluster.configure(configuration(2, routes, **first))
        for number in range(40):
            await scenario.send(FORMER, key=f"many-{number % 8}")
        await scenario.dispatch(0.5)
        cluster.configure(configuration(3, routes, **second))
        changed_at = cluster.loop.time()
        for number in range(40):
            await scenario.send(FORMER, key=f"many-{number % 8}")
        await scenario.dispatch(12.0)
        assert scenario.order_broken == []
        assert sorted(scenario.ended) == sorted(scenario.sent)
        times = scenario.started_at[FORMER] = [at for at in scenario.started_at[FORMER] if at >= changed_at]
        most = scenario.most_in_window(FORMER)
        assert times
        assert has_limit_first or most <= RATE_PER_S * WINDOW_S * OVERSHOOT + ALLOWANCE

    play(work)
