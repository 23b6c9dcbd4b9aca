"""Ranking of the partitions of a service for the processes of one zone."""

from __future__ import annotations

from collections import Counter

from hollowusher.configuration.model import Configuration, Route, Service
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.placement.initial_placement import PARTITION_COUNT
from hollowusher.coordination.placement.partitioner import ZonePartitioner, has_single_home
from hollowusher.coordination.rendezvous import ordering_partition, rank_partitions
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement

ZONES = {"s1": "a", "s2": "b", "s3": "b", "s4": "c"}


def state_of(configuration: Configuration | None, zones: dict[str, str] = ZONES) -> ClusterState:
    """Return a cluster state with the given stores and zones and 16 partitions, assigned round-robin."""
    state = ClusterState()
    members = [Member(name, "store", f"{name}:1", zone, "r", 1, "d") for name, zone in zones.items()]
    stores = sorted(member.store_id for member in members)
    placement = Placement(
        1, [PartitionPlacement(number, 1, stores[number % len(stores)], stores) for number in range(16)]
    )
    items = [DistributedItem(f"member/{member.name}", [1, 0], "", 0, member) for member in members]
    state.apply([*items, DistributedItem("placement", [1], "", 0, placement)], {})
    state.configuration = configuration
    return state


def configuration(ordered: bool = False, rate: float = 0.0) -> Configuration:
    route = Route(name="r", hostname="h", path_prefix="/", upstream="jobs", ordered=ordered)
    return Configuration(1, [route], [Service(name="jobs", rate_per_s=rate)])


def zones_of(state: ClusterState, ranking: list[int]) -> list[str]:
    primary_zones = []
    for number in ranking:
        entry = state.partition_placement(number)
        assert entry is not None
        primary_zones.append(ZONES[entry.primary.partition("/")[0]])
    return primary_zones


def test_ranking_has_one_partition_per_store_and_starts_with_the_own_zone() -> None:
    state = state_of(configuration())
    ranking = ZonePartitioner(state, "b")("jobs", state.partition_numbers())
    assert len(ranking) == len(ZONES)
    assert zones_of(state, ranking)[:2] == ["b", "b"]


def test_intake_and_dispatch_of_a_zone_agree() -> None:
    state, other = state_of(configuration()), state_of(configuration())
    first = ZonePartitioner(state, "a")("jobs", state.partition_numbers())
    assert first == ZonePartitioner(other, "a")("jobs", list(reversed(other.partition_numbers())))


def test_services_with_a_rate_limit_have_the_same_home_in_every_zone() -> None:
    for settings in (configuration(rate=2.0), configuration(ordered=True, rate=2.0)):
        state = state_of(settings)
        for zone in "abc":
            assert ZonePartitioner(state, zone)("jobs", state.partition_numbers()) == rank_partitions(
                "jobs", range(16)
            )


def test_ordered_routes_do_not_bind_a_service_to_one_store() -> None:
    assert not has_single_home("jobs", configuration(ordered=True))


def test_ordered_routes_spread_over_all_partitions() -> None:
    assert ordering_partition("route", []) is None
    partitions = Counter(ordering_partition(f"r-{number}", range(PARTITION_COUNT)) for number in range(1600))
    assert set(partitions) == set(range(PARTITION_COUNT))
    assert max(partitions.values()) < 160


def test_a_service_that_is_not_known_has_a_single_home() -> None:
    assert has_single_home("jobs", None)
    assert has_single_home("other", configuration())
    assert not has_single_home("jobs", configuration())


def test_a_zone_without_a_store_uses_the_others() -> None:
    state = state_of(configuration())
    assert len(ZonePartitioner(state, "z")("jobs", state.partition_numbers())) == len(ZONES)


def test_ranking_has_all_partitions_and_spreads_services_over_home_partitions() -> None:
    ranking = rank_partitions("huvo11a", range(PARTITION_COUNT))
    assert sorted(ranking) == list(range(PARTITION_COUNT))
    assert ranking == rank_partitions("huvo11a", range(PARTITION_COUNT)[::-1])
    first = Counter(rank_partitions(f"service{number}", range(PARTITION_COUNT))[0] for number in range(1600))
    assert len(first) == PARTITION_COUNT
    assert max(first.values()) < 160
