"""Tests of the contact with a majority of the controllers, which bounds the age of a process's values."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from hollowusher.coordination.distribution.cluster_client import MAX_CONNECTED_AGE_S
from hollowusher.coordination.distribution.long_poll_responder import LongPollResponder
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.distribution.update_puller import PULL_WAIT_MS
from hollowusher.intake.intake_service import IntakeService
from hollowusher.protocol.codec import decode, encode, evolve
from hollowusher.protocol.control_chain import ReadControlState
from hollowusher.protocol.distribution import PullUpdates, UpdatesResponse
from tests.coordination.distribution.test_cluster_client import DOCUMENT, Cluster, play
from tests.intake.test_intake import IntakeHarness, request
from tests.intake.test_intake import play as play_intake

CORES = ("10.0.0.1", "10.1.0.1", "10.2.0.1")
SLACK_S = 0.05  # tolerance for the transmission of a response
CALM_AGE_S = 2.3  # two consecutive long polls of a second each, plus tolerance


def publish(cluster: Cluster, generation: int, *cores: str) -> None:
    """Commit a configuration and publish it in the feeds of the controllers `cores` only."""
    cluster.chain.state = evolve(cluster.chain.state, generation=generation, document=DOCUMENT % generation)
    for name in cores:
        head_roles = cluster.nodes[name].head_roles
        assert head_roles is not None
        head_roles.publish_state(cluster.chain.state)


def cut_one_way_in(cluster: Cluster) -> None:
    for other in (CORES[0], CORES[2]):
        cluster.network.block(other, CORES[1], both=False)


def cut_one_way_out(cluster: Cluster) -> None:
    for other in (CORES[0], CORES[2]):
        cluster.network.block(CORES[1], other, both=False)


def cut_all(cluster: Cluster) -> None:
    for other in (CORES[0], CORES[2]):
        cluster.network.block(CORES[1], other)


class TestAge:
    def test_a_response_contains_the_age_of_the_last_majority_contact(self) -> None:
        async def ask(age_s: float) -> UpdatesResponse:
            poll = LongPollResponder(UpdateFeed("a/1"), lambda: True, lambda: age_s)
            answer = await poll.respond(PullUpdates("reader", {}, 0))
            decoded = decode(encode(answer))
            assert isinstance(decoded, UpdatesResponse)
            return decoded

        assert asyncio.run(ask(1.25)).age_ms == 1250
        assert asyncio.run(ask(float("inf"))).age_ms == 1_000_000_000

    @pytest.mark.parametrize(
        ("cut", "last_response_s"),
        [(cut_all, 0.0), (cut_one_way_in, 0.0), (cut_one_way_out, PULL_WAIT_MS / 1000)],
    )
    def test_a_readers_age_is_at_least_that_of_its_isolated_controller(
        self, cut: Callable[[Cluster], None], last_response_s: float
    ) -> None:
        """The reader and the controller of zone 1 are isolated together.

        The controller reports itself connected for another 2.5 s.  If only its outgoing links are cut, the
        other controllers still answer the long polls that have reached them.
        """

        async def work(cluster: Cluster) -> None:
            await cluster.bootstrap()
            await asyncio.sleep(1.5)
            cut(cluster)
            for other in (CORES[0], CORES[2]):
                cluster.network.block("10.1.0.2", other)
            cut_at = cluster.loop.time()
            client = cluster.nodes["edge1"].client
            while (now := cluster.loop.time()) < cut_at + 20.0:
                assert client.seconds_since_majority(now) >= now - cut_at - last_response_s - SLACK_S
                await asyncio.sleep(0.05)
            cluster.network.heal_all()
            await cluster.until(lambda: client.seconds_since_majority(cluster.loop.time()) < 1.0, 6.0)

        play(work)

    def test_without_faults_every_process_is_current(self) -> None:
        async def work(cluster: Cluster) -> None:
            await cluster.bootstrap()
            await asyncio.sleep(1.5)
            until = cluster.loop.time() + 20.0
            while (now := cluster.loop.time()) < until:
                ages = [node.client.seconds_since_majority(now) for node in cluster.living()]
                assert max(ages) < CALM_AGE_S
                await asyncio.sleep(0.05)

        play(work)

    @pytest.mark.parametrize("frozen_s", [0.5, 1.0, 1.5, 3.0, 20.0])
    @pytest.mark.parametrize("name", ["edge1", "core1"])
    def test_a_response_unread_during_a_freeze_counts_from_its_request(
        self, name: str, frozen_s: float
    ) -> None:
        async def work(cluster: Cluster) -> None:
            await cluster.bootstrap()
            await asyncio.sleep(2.0)
            node = cluster.nodes[name]
            cluster.loop.freeze(node.process)
            frozen_at = cluster.loop.time()
            await asyncio.sleep(0.01)
            publish(cluster, 5, "core0", "core2")  # ends the long polls; the responses stay unread
            await asyncio.sleep(0.1)
            for other in CORES:
                if other != node.host:
                    cluster.network.block(node.host, other)
            await asyncio.sleep(frozen_s)
            publish(cluster, 6, "core0", "core2")
            cluster.loop.thaw(node.process)
            for _ in range(50):
                now = cluster.loop.time()
                assert node.client.seconds_since_majority(now) >= now - frozen_at - SLACK_S
                await asyncio.sleep(0.01)

        play(work)

    def test_a_confirmed_start_is_current_as_of_its_request(self) -> None:
        async def work(cluster: Cluster) -> None:
            await cluster.bootstrap()
            publish(cluster, 5, "core0", "core1", "core2")
            node = cluster.add("edge9", "edge", "10.1.0.9", "z1", 1, False, "")
            await asyncio.sleep(0.001)
            await node.process.run(node.client.wait_for_committed_state())
            assert node.client.seconds_since_majority(cluster.loop.time()) < 0.5
            assert node.state.configuration is not None
            assert node.state.configuration.generation == 5

        play(work)


class TestStart:
    def test_a_process_that_reaches_only_an_isolated_controller_does_not_start(self) -> None:
        async def work(cluster: Cluster) -> None:
            await cluster.bootstrap()
            cut_all(cluster)
            publish(cluster, 5, "core0", "core2")
            node = cluster.add("edge9", "edge", "10.1.0.9", "z1", 1, False, "")
            for other in (CORES[0], CORES[2]):
                cluster.network.block("10.1.0.9", other)
            asked: list[str] = []

            def watch(source: str, target: str, message: object) -> None:
                if isinstance(message, ReadControlState):
                    asked.append(target)

            cluster.network.observer = watch
            cluster.chain.confirms = False  # like a controller without a majority
            await asyncio.sleep(0.001)
            starting = node.process.run(node.client.wait_for_committed_state())
            await asyncio.sleep(20.0)
            assert not starting.done()
            assert asked
            cluster.network.heal_all()
            cluster.chain.confirms = True
            await asyncio.wait_for(starting, 6.0)
            assert node.state.configuration is not None
            assert node.state.configuration.generation == 5

        play(work)


class TestIntake:
    """The intake returns 404 only if it is certain that there is no such route or service."""

    def intake(self, world: IntakeHarness, current: bool) -> IntakeService:
        return IntakeService(
            world.state,
            world.store,
            world.dispatcher,
            world.rank_partitions,
            world.loop.time,
            is_current=lambda: current,
        )

    @pytest.mark.parametrize(("current", "status"), [(True, 404), (False, 503)])
    @pytest.mark.parametrize("path", ["/none/", "/pull/nobody"])
    def test_unknown_paths_get_503_instead_of_404_without_contact(
        self, path: str, current: bool, status: int
    ) -> None:
        async def work(world: IntakeHarness) -> None:
            answer = await self.intake(world, current).handle(request(path))
            assert answer.status == status
            assert ("Retry-After" in dict(answer.headers)) == (status == 503)

        play_intake(work)

    def test_unknown_paths_get_503_before_the_body_arrives(self) -> None:
        async def work(world: IntakeHarness) -> None:
            early = self.intake(world, False).reject_head(request("/none/"), 100_000)
            assert early is not None
            assert early.status == 503

        play_intake(work)

    def test_messages_on_known_routes_are_accepted_without_contact(self) -> None:
        """Accepting a message is safe, because its store has a quorum and applies its own configuration."""

        async def work(world: IntakeHarness) -> None:
            assert (await self.intake(world, False).handle(request("/a/"))).status == 202

        play_intake(work)


def test_age_bounds_are_consistent() -> None:
    assert CALM_AGE_S < 0.95 * 3.0
    assert MAX_CONNECTED_AGE_S < 0.95 * 3.0
