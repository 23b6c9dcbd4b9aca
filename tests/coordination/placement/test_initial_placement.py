"""The initial placement spreads replicas over zones and stores, independent of the order of the stores."""

from __future__ import annotations

from collections import Counter

import pytest

from hollowusher.coordination.placement.initial_placement import PARTITION_COUNT, plan_initial_placement
from hollowusher.coordination.store_id import store_name
from hollowusher.protocol.codec import decode, encode
from tests.support.placement import primary_counts, stores


@pytest.mark.parametrize("count", range(1, 12))
@pytest.mark.parametrize("tolerance", [0, 1, 2])
def test_replicas_are_spread_over_zones_and_primaries_over_stores(count: int, tolerance: int) -> None:
    placement = plan_initial_placement(stores(count), tolerance)
    size = min(count, 2 * tolerance + 1)
    assert [entry.partition for entry in placement.partitions] == list(range(PARTITION_COUNT))
    for entry in placement.partitions:
        assert len(set(entry.replicas)) == size
        assert entry.primary in entry.replicas
        assert (entry.epoch, entry.learners, entry.primary_incarnation) == (1, [], 1)
        used = {int(store_name(replica)[1:]) % 3 for replica in entry.replicas}
        assert len(used) == min(size, 3, count)  # replicas are spread over the zones
    assert max(primary_counts(placement).values()) <= -(-PARTITION_COUNT // count)


def test_the_initial_placement_does_not_depend_on_the_order_of_stores() -> None:
    assert plan_initial_placement(stores(7), 1) == plan_initial_placement(stores(7)[::-1], 1)


def test_replica_load_is_even_if_the_zones_have_equal_sizes() -> None:
    placement = plan_initial_placement(stores(6), 1)
    load = Counter(replica for entry in placement.partitions for replica in entry.replicas)
    assert max(load.values()) - min(load.values()) <= 1


def test_a_placement_can_be_encoded_and_decoded() -> None:
    placement = plan_initial_placement(stores(3), 1)
    assert decode(encode(placement)) == placement
