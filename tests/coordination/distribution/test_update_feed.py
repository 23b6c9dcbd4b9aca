"""Tests of the feed of versioned items: merging, version vectors, pruning and long polls."""

from __future__ import annotations

import asyncio
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.distribution.long_poll_responder import LongPollResponder
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.protocol.codec import decode, encode
from hollowusher.protocol.distribution import DistributedItem, PullUpdates, UpdatesResponse
from hollowusher.protocol.membership import Member
from hollowusher.simulation.event_loop import VirtualTimeLoop


def pull(source: UpdateFeed, target: UpdateFeed) -> UpdatesResponse:
    answer: UpdatesResponse = decode(
        encode(source.updates_for(PullUpdates("reader", target.version_vector, 0)))
    )
    target.merge(answer)
    return answer


def values(feed: UpdateFeed) -> dict[str, tuple[list[int], Any]]:
    return {item.key: (list(item.version), item.value) for item in feed.items()}


def member(name: str, incarnation: int = 1, status: int = 0) -> Member:
    return Member(name, "edge", f"{name}:1", "z", "r", incarnation, status=status)


def test_publish_accepts_only_greater_versions() -> None:
    feed = UpdateFeed("a/1")
    assert feed.publish("placement", [2], "two")
    assert not feed.publish("placement", [2], "again")
    assert not feed.publish("placement", [1], "one")
    assert feed.publish("placement", [10], "ten")
    assert values(feed) == {"placement": ([10], "ten")}


def test_versions_are_compared_lexicographically() -> None:
    feed = UpdateFeed("a/1")
    assert feed.publish("member/x", [5, 9], "life 5")
    assert feed.publish("member/x", [6, 0], "life 6")
    assert not feed.publish("member/x", [5, 10], "life 5 again")


def test_updates_contain_only_the_newest_items_that_the_vector_does_not_cover() -> None:
    feed = UpdateFeed("a/1")
    feed.publish("view", [1], "first")
    have = feed.version_vector
    feed.publish("placement", [1], "p1")
    feed.publish("placement", [2], "p2")
    answer = feed.updates_for(PullUpdates("reader", have, 0))
    assert [(item.key, item.value) for item in answer.items] == [("placement", "p2")]
    assert feed.updates_for(PullUpdates("reader", answer.have, 0)).items == []


def test_merge_never_decreases_a_version_and_notifies_only_of_changes() -> None:
    feed = UpdateFeed("a/1")
    notified: list[Any] = []
    feed.add_listener(lambda item: notified.append(item.value))
    feed.publish("configuration", [7], "seven")
    changed = feed.merge(
        UpdatesResponse(
            [
                DistributedItem("configuration", [6], "b/1", 1, "six"),
                DistributedItem("view", [1], "b/1", 2, "view"),
            ],
            {"b/1": 2},
        )
    )
    assert changed == ["view"]
    assert notified == ["seven", "view"]
    assert values(feed)["configuration"] == ([7], "seven")


def test_a_third_controller_gets_items_through_the_second() -> None:
    first, second, third = UpdateFeed("a/1"), UpdateFeed("b/1"), UpdateFeed("c/1")
    first.publish("view", [3], "v3")
    pull(first, second)
    pull(second, third)
    assert values(third) == {"view": ([3], "v3")}
    assert pull(second, third).items == []


def test_origins_without_items_are_pruned_from_the_vector() -> None:
    feed = UpdateFeed("z/1")
    for incarnation in range(1, 50):
        other = UpdateFeed(f"a/{incarnation}")
        other.publish("member/a", [incarnation, 0], incarnation)
        pull(other, feed)
    assert set(feed.version_vector) <= {"a/49", "z/1"}
    state = ClusterState()
    state.apply(
        *(lambda answer: (answer.items, answer.have))(
            feed.updates_for(PullUpdates("reader", {"old/1": 4}, 0))
        )
    )
    assert set(state.version_vector) <= {"a/49", "z/1"}


def test_equal_versions_of_two_controllers_are_not_resent_forever() -> None:
    """Two controllers publish the same committed state and pull from each other until no items are left."""
    first, second = UpdateFeed("a/1"), UpdateFeed("b/1")
    first.publish("configuration", [7], "seven")
    second.publish("configuration", [7], "seven")
    for _ in range(2):
        pull(first, second)
        pull(second, first)
    assert pull(first, second).items == []
    assert pull(second, first).items == []


def test_a_reader_that_switches_to_a_stale_controller_keeps_newer_items() -> None:
    ahead, behind = UpdateFeed("a/1"), UpdateFeed("b/1")
    behind.publish("member/x", [1, 0], member("x"))
    ahead.publish("member/x", [1, 1], member("x", status=1))
    state = ClusterState()
    for feed in (ahead, behind, ahead):
        answer = feed.updates_for(PullUpdates("reader", state.version_vector, 0))
        state.apply(answer.items, answer.have)
    assert state.members["x"].status == 1


steps = st.lists(
    st.one_of(
        st.tuples(st.just("publish"), st.integers(0, 2), st.sampled_from("kml"), st.integers(1, 9)),
        st.tuples(st.just("pull"), st.integers(0, 2), st.integers(0, 2)),
        st.tuples(st.just("read"), st.integers(0, 2)),
    ),
    max_size=60,
)


@settings(max_examples=150, deadline=None)
@given(steps)
def test_feeds_and_a_reader_converge_to_the_greatest_versions(run: list[tuple[Any, ...]]) -> None:
    """Compare the feeds and a reader with a model that holds the greatest published version of each key."""
    feeds = [UpdateFeed(f"{name}/1") for name in "abc"]
    state = ClusterState()
    greatest: dict[str, int] = {}

    def read(feed: UpdateFeed) -> None:
        before = {key: list(version) for key, version in state.versions.items()}
        answer = feed.updates_for(PullUpdates("reader", state.version_vector, 0))
        state.apply(answer.items, answer.have)
        assert all(state.versions[key] >= version for key, version in before.items())

    for step in run:
        if step[0] == "publish":
            key = f"member/{step[2]}"
            feeds[step[1]].publish(key, [step[3]], member(step[2], step[3]))
            greatest[key] = max(greatest.get(key, 0), step[3])
        elif step[0] == "pull" and step[1] != step[2]:
            pull(feeds[step[1]], feeds[step[2]])
        elif step[0] == "read":
            read(feeds[step[1]])
    for _ in range(2):
        for source in feeds:
            for target in feeds:
                if source is not target:
                    pull(source, target)
    read(feeds[0])
    wanted = {key: [version] for key, version in greatest.items()}
    assert all({item.key: list(item.version) for item in feed.items()} == wanted for feed in feeds)
    assert state.versions == wanted
    assert {name: found.incarnation for name, found in state.members.items()} == {
        key.removeprefix("member/"): version for key, version in greatest.items()
    }


def test_long_poll_returns_items_at_once_or_waits_for_updates() -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        feed = UpdateFeed("a/1")
        poll = LongPollResponder(feed)
        feed.publish("view", [1], "v1")
        started = loop.time()
        answer = await poll.respond(PullUpdates("reader", {}, 1000))
        assert [item.value for item in answer.items] == ["v1"]
        assert loop.time() == started

        loop.call_later(0.3, feed.publish, "view", [2], "v2")
        loop.call_later(0.31, feed.publish, "placement", [1], "p1")
        answer = await poll.respond(PullUpdates("reader", answer.have, 1000))
        assert [item.value for item in answer.items] == ["v2", "p1"]  # one response carries both items
        assert loop.time() - started < 0.4

        started = loop.time()
        answer = await poll.respond(PullUpdates("reader", answer.have, 1000))
        assert answer.items == []
        assert abs(loop.time() - started - 1.0) < 0.001

    virtual = VirtualTimeLoop()
    try:
        virtual.play(play())
    finally:
        virtual.shut()


def test_long_poll_reports_whether_its_controller_is_connected() -> None:
    async def play() -> None:
        poll = LongPollResponder(UpdateFeed("a/1"), lambda: False)
        assert not (await poll.respond(PullUpdates("reader", {}, 0))).connected

    virtual = VirtualTimeLoop()
    try:
        virtual.play(play())
    finally:
        virtual.shut()
