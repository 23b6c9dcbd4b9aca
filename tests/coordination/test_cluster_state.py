"""A process never replaces a known value by an older version, in whatever order it receives the items."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import PartitionPlacement, Placement
from hollowusher.protocol.view import View
from hollowusher.protocol.worker_list import PlatformWorkerList

DOCUMENT = b'{"generation":%d,"routes":[],"upstreams":[],"limits":{}}'


def item(key: str, version: int, value: Any, origin: str = "a/1", counter: int = 1) -> DistributedItem:
    return DistributedItem(key, [version], origin, counter, value)


def store(name: str, disk: str, status: int = 0) -> Member:
    return Member(name, "store", f"{name}:7780", "z", "r", 1, disk, status=status)


def test_a_value_is_known_once_it_was_received() -> None:
    state = ClusterState()
    assert state.configuration is None
    assert state.partition_numbers() == []
    changed = state.apply([item("configuration", 7, DOCUMENT % 7), item("view", 1, View(1, [], ["n"]))], {})
    assert changed == ["configuration", "view"]
    assert state.configuration is not None
    assert state.configuration.generation == 7
    assert state.view == View(1, [], ["n"])


def test_older_and_repeated_versions_change_nothing() -> None:
    state = ClusterState()
    state.apply([item("configuration", 7, DOCUMENT % 7)], {})
    assert state.apply([item("configuration", 6, DOCUMENT % 6)], {}) == []
    assert state.apply([item("configuration", 7, DOCUMENT % 7, "b/1")], {}) == []
    assert state.configuration is not None
    assert state.configuration.generation == 7


def test_a_view_of_another_cluster_is_rejected_and_counted() -> None:
    state = ClusterState()
    own, foreign = View(3, [], ["n"], {}, "cluster-1"), View(9, [], ["x"], {}, "cluster-2")
    state.apply([item("view", 3, own)], {})
    assert state.apply([item("view", 9, foreign)], {}) == []
    assert (state.view, state.foreign_views) == (own, 1)
    newer = View(4, [], ["n"], {}, "cluster-1")
    assert state.apply([item("view", 4, newer)], {}) == ["view"]
    assert state.view == newer


def test_listeners_are_called_after_each_change() -> None:
    state = ClusterState()
    changes: list[tuple[str, int]] = []
    state.add_listener(lambda key: changes.append((key, len(state.members))))
    state.apply([item("member/s1", 1, store("s1", "d")), item("member/s2", 1, store("s2", "d"))], {})
    state.apply([item("member/s1", 1, store("s1", "d"))], {})
    assert changes == [("member/s1", 2), ("member/s2", 2)]


def test_the_version_vector_grows_and_drops_origins_that_the_controller_dropped() -> None:
    state = ClusterState()
    state.apply([], {"a/1": 5, "b/1": 2})
    state.apply([], {"a/1": 3, "c/1": 1})
    assert state.version_vector == {"a/1": 5, "c/1": 1}
    # An empty version vector, as with items from a query, leaves the known vector unchanged.
    state.apply([item("workers", 1, PlatformWorkerList([]))], {})
    assert state.version_vector == {"a/1": 5, "c/1": 1}


def test_a_replica_is_reached_only_on_the_disk_that_holds_it() -> None:
    state = ClusterState()
    placed = Placement(1, [PartitionPlacement(3, 1, "s1/old", ["s1/old", "s2/d"])])
    state.apply([item("placement", 1, placed), item("member/s1", 1, store("s1", "old"))], {})
    assert state.partition_numbers() == [3]
    assert state.primary_address(3) == "s1:7780"
    assert state.store_address("s2/d") is None
    state.apply([item("member/s1", 2, store("s1", "new"))], {})
    assert state.primary_address(3) is None
    assert state.primary_address(4) is None


def test_live_members_by_role() -> None:
    state = ClusterState()
    edge = Member("e1", "edge", "e1:7780", "z", "r", 1)
    members = [edge, store("s2", "d"), store("s1", "d"), store("s3", "d", status=1)]
    state.apply([item(f"member/{member.name}", 1, member) for member in members], {})
    assert [member.name for member in state.live_members()] == ["e1", "s1", "s2"]
    assert [member.name for member in state.live_members("store")] == ["s1", "s2"]


def test_member_items_that_another_process_has_not_received() -> None:
    state = ClusterState()
    first = item("member/s1", 1, store("s1", "d"), "a/1", 4)
    second = item("member/s2", 1, store("s2", "d"), "b/1", 2)
    state.apply([first, second, item("view", 1, View(1, [], ["n"]), "c/1", 9)], {})
    assert state.items_missing_from({"a/1": 4}) == [second]
    assert state.items_missing_from({"a/1": 3, "b/1": 2}) == [first]
    assert state.items_missing_from({"a/1": 4, "b/1": 2}) == []


versions = st.tuples(st.sampled_from(["view", "placement", "workers"]), st.integers(1, 6))


@given(st.lists(versions, max_size=30))
def test_the_greatest_version_is_kept_for_any_order_of_items(updates: list[tuple[str, int]]) -> None:
    state = ClusterState()
    makers: dict[str, Any] = {
        "view": lambda version: View(version, [], ["n"]),
        "placement": lambda version: Placement(version, []),
        "workers": lambda version: PlatformWorkerList([]),
    }
    greatest: dict[str, int] = {}
    for key, version in updates:
        state.apply([item(key, version, makers[key](version))], {})
        greatest[key] = max(version, greatest.get(key, 0))
        assert state.versions == {known: [newest] for known, newest in greatest.items()}
    if "placement" in greatest:
        assert state.placement == Placement(greatest["placement"], [])
    if "view" in greatest:
        assert state.view == View(greatest["view"], [], ["n"])
