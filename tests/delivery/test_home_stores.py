"""Which stores a dispatcher polls for the jobs of a service without a notice."""

from __future__ import annotations

from typing import cast

import orjson

from hollowusher.coordination.cluster_state import CONFIGURATION, PLACEMENT, ClusterState
from hollowusher.coordination.rendezvous import ordering_partition, rank_partitions
from hollowusher.delivery.lease_poller import LeasingContext
from hollowusher.delivery.metrics import DeliveryMetrics
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.transport.interface import Transport

PARTITIONS = range(16)


def stores_of(service: str, routes: dict[str, bool]) -> set[str]:
    """Return the home stores of a service with these routes: name -> ordered.  Each partition has a store."""
    state = ClusterState()
    document = {
        "generation": 1,
        "routes": [
            {"name": name, "hostname": "h", "pathPrefix": f"/{name}/", "upstream": "s", "ordered": ordered}
            for name, ordered in routes.items()
        ],
        "upstreams": [{"name": "s", "ratePerS": 5.0}, {"name": "t"}],
    }
    placed = [PartitionPlacement(number, 1, store(number), [store(number)]) for number in PARTITIONS]
    items = [
        DistributedItem(CONFIGURATION, [1], "c", 1, orjson.dumps(document)),
        DistributedItem(PLACEMENT, [1], "c", 1, Placement(1, placed)),
    ]
    state.apply(items, {})
    me = Member("edge-1", "edge", "a", "z", "r", 1)
    context = LeasingContext(me, cast(Transport, None), state, rank_partitions, DeliveryMetrics())
    return context.home_stores(service)


def store(partition: int | None) -> str:
    return f"store-{partition}/d"


def test_a_service_is_polled_where_its_ordered_routes_have_their_messages() -> None:
    expected = {store(ordering_partition(name, PARTITIONS)) for name in ("a", "b")}
    assert stores_of("s", {"a": True, "b": True}) == expected


def test_a_service_with_other_routes_or_none_is_polled_at_its_home_partition() -> None:
    home = store(rank_partitions("s", PARTITIONS)[0])
    assert stores_of("s", {"a": False}) == {home}
    assert stores_of("s", {"a": True, "b": False}) == {home, store(ordering_partition("a", PARTITIONS))}
    assert stores_of("t", {"a": True}) == {store(rank_partitions("t", PARTITIONS)[0])}
