"""Processes that hold a view publish it to the seeds, where starting processes find it."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any

import pytest

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.cluster_state import VIEW, ClusterState
from hollowusher.coordination.consensus.seed_service import SeedService
from hollowusher.coordination.consensus.view_cache import ViewCache
from hollowusher.coordination.consensus.view_publisher import SeedSchedule
from hollowusher.coordination.distribution.cluster_client import ClientResources, ClusterClient
from hollowusher.protocol.consensus import ViewDecided
from hollowusher.protocol.membership import Member
from hollowusher.protocol.view import AnnounceController, OfferView, View, ViewResponse, Voter
from tests.support.controller_cluster import ControllerCluster, VirtualSlot, VirtualTransport, run_virtual

SEEDS = ("10.0.9.1", "10.0.9.2", "10.0.9.3")
FOUND_WITHIN_S = 2.5


class Process:
    """A process with a cluster client; an edge also has a seed service, and a store has a view cache."""

    def __init__(
        self, cluster: ControllerCluster, ip: str, seeds: list[str], files: dict[str, bytes] | None = None
    ) -> None:
        settings = BootSettings(node_name=ip, machine_class="edge", ip=ip)
        self.seeds = seeds
        self.state = ClusterState()
        self.transport = VirtualTransport(cluster.network, f"{ip}:7780")
        member = Member(ip, "edge" if files is None else "store", self.transport.address, "z", "r", 1)
        random_source = random.Random(ip)
        self.client = ClusterClient(
            member, settings, ClientResources(self.transport, self.state, None, random_source), self.addresses
        )
        self.cache: ViewCache | None = None
        self.seed: SeedService | None = None
        if files is not None:
            self.cache = ViewCache(VirtualSlot(cluster.network, files, "view"), self.state)
            self.cache.load()
        else:
            self.seed = SeedService(
                settings, self.transport, random.Random(settings.node_name), self.client.learn_view
            )
            self.state.add_listener(self._view_known)
        self.tasks: list[asyncio.Task[Any]] = []

    def addresses(self) -> list[str]:
        return [f"{ip}:7780" for ip in self.seeds]

    async def start(self) -> None:
        await self.transport.start(self.handle)
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.client.run())]
        if self.cache is not None:
            self.tasks += [loop.create_task(self.client.publish_view()), loop.create_task(self.cache.run())]

    async def kill(self) -> None:
        await self.transport.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def handle(self, message: Any) -> Any:
        if self.seed is not None and isinstance(message, SeedService.MESSAGES):
            return await self.seed.handle(message)
        return await self.client.handle(message)

    def _view_known(self, key: str) -> None:
        if key == VIEW and self.seed is not None and self.state.view is not None:
            self.seed.learn(self.state.view)

    @property
    def epoch(self) -> int:
        return self.state.view.epoch if self.state.view is not None else 0


def newest_known_epoch(cluster: ControllerCluster) -> int:
    return max(node.running.view.epoch for node in cluster.nodes.values() if node.running.view is not None)


async def lose_all_power(cluster: ControllerCluster) -> None:
    for node in cluster.nodes.values():
        await node.kill()


@pytest.mark.parametrize("order", list(itertools.permutations(("controllers", "seeds", "store"))))
@pytest.mark.parametrize("pause_s", [0.0, 1.5])
def test_new_seeds_learn_the_view_after_all_power_was_lost(order: tuple[str, ...], pause_s: float) -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        await cluster.put_at_any_node(1, 0)
        await lose_all_power(cluster)
        cluster.seeds = [f"{ip}:8064" for ip in SEEDS]
        seeds = [Process(cluster, ip, list(SEEDS)) for ip in SEEDS]
        store = Process(cluster, "10.0.9.9", list(SEEDS), {})
        for group in order:
            if group == "controllers":
                for node in cluster.nodes.values():
                    await node.start()
            for process in {"seeds": seeds, "store": [store], "controllers": []}[group]:
                await process.start()
            await asyncio.sleep(pause_s)
        await cluster.until(lambda: all(process.epoch > 0 for process in [*seeds, store]), FOUND_WITHIN_S)
        assert all(process.seed is not None and process.seed.view is not None for process in seeds)
        for process in [*seeds, store]:
            await process.kill()
        await lose_all_power(cluster)

    run_virtual(play())


def test_a_wiped_controller_finds_the_view_through_new_seeds() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        await cluster.put_at_any_node(1, 0)
        await lose_all_power(cluster)
        cluster.seeds = [f"{ip}:8064" for ip in SEEDS]
        cluster["b"].wipe()
        seeds = [Process(cluster, ip, list(SEEDS)) for ip in SEEDS]
        for node in cluster.nodes.values():
            await node.start()
        for process in seeds:
            await process.start()
        await cluster.until(lambda: "b" in cluster["b"].views[-1].chain if cluster["b"].views else False, 5.0)
        assert await cluster.put_at_any_node(2, 1) < 1.0
        for process in seeds:
            await process.kill()

    run_virtual(play())


def test_restarted_seeds_receive_the_view_again() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc", seeds=[f"{SEEDS[0]}:8064"])
        seed = Process(cluster, SEEDS[0], [])
        await seed.start()
        for node in cluster.nodes.values():
            await node.start()
        view = View(1, [Voter(n.name, n.disk_id, n.address) for n in cluster.nodes.values()], ["a", "b", "c"])
        await cluster["a"].running.handle(ViewDecided(view))
        for _ in range(3):
            await cluster.until(lambda: seed.epoch > 0, FOUND_WITHIN_S)  # noqa: B023
            await seed.kill()
            seed = Process(cluster, SEEDS[0], [])
            await seed.start()
        await cluster.until(lambda: seed.epoch > 0, FOUND_WITHIN_S)
        await seed.kill()

    run_virtual(play())


def test_seeds_added_to_the_settings_later_receive_the_view() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        late = Process(cluster, SEEDS[1], [])
        await late.start()
        await asyncio.sleep(5.0)
        assert late.epoch == 0  # no controller has it as a seed
        for node in cluster.nodes.values():
            node.use_seeds([f"{SEEDS[1]}:8064"])
        await cluster.until(lambda: late.epoch > 0, FOUND_WITHIN_S)
        await late.kill()

    run_virtual(play())


def test_seeds_receive_each_newer_view() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        seed = Process(cluster, SEEDS[0], [])
        await seed.start()
        for node in cluster.nodes.values():
            node.use_seeds([f"{SEEDS[0]}:8064"])
        for victim in "ab":
            await cluster[victim].kill()
            await cluster.put_at_any_node(newest_live_epoch(cluster), 0) if victim == "a" else None
            await asyncio.sleep(2.0)
            await cluster.until(lambda: seed.epoch == newest_live_epoch(cluster), FOUND_WITHIN_S)
            await cluster[victim].start()
            await asyncio.sleep(4.0)
            await cluster.until(lambda: seed.epoch == newest_live_epoch(cluster), FOUND_WITHIN_S)
        assert seed.epoch > 2
        await seed.kill()

    run_virtual(play())


def newest_live_epoch(cluster: ControllerCluster) -> int:
    views = [node.running.view for node in cluster.nodes.values() if node.controller is not None]
    return max(view.epoch for view in views if view is not None)


def test_a_store_finds_the_voters_by_its_cached_view_if_no_seed_responds() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        files: dict[str, bytes] = {}
        store = Process(cluster, "10.0.9.9", [cluster["a"].ip], files)
        await store.start()
        await cluster.until(lambda: store.epoch > 0 and bool(files), 2.0)
        await store.kill()
        again = Process(cluster, "10.0.9.9", ["10.0.9.77"], files)
        assert again.epoch == 1
        await cluster["a"].kill()
        await asyncio.sleep(2.5)
        await again.start()
        await cluster.until(lambda: again.epoch == 2, 10.0)
        edge = Process(cluster, SEEDS[0], ["10.0.9.9"])  # that store is its only seed
        await edge.start()
        await cluster.until(lambda: edge.epoch == 2, 1.0)
        await edge.kill()
        await again.kill()

    run_virtual(play())


def test_a_controller_with_an_old_view_finds_the_newest_one_through_the_seeds() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc", seeds=[f"{SEEDS[0]}:8064"], tolerated=1)
        seed = Process(cluster, SEEDS[0], [])
        await seed.start()
        for node in cluster.nodes.values():
            await node.start(bootstrap=True)
        view = View(
            1,
            [Voter(n.name, n.disk_id, n.address) for n in cluster.nodes.values()],
            ["a", "b", "c"],
            {"a": 1, "b": 1, "c": 1},
        )
        for node in cluster.nodes.values():
            await node.running.handle(ViewDecided(view))
        old = cluster["c"]
        for number, name in enumerate("cba"):
            await cluster[name].kill()
            if name != "c":
                cluster.remove(name)
            await cluster.add(f"n{number}").start()
            await asyncio.sleep(6.0)
        await old.start()
        await cluster.until(
            lambda: old.running.view is not None and old.running.view.epoch == seed.epoch, 4.0
        )
        assert "c" not in [voter.name for voter in old.running.view.voters] if old.running.view else False
        await seed.kill()

    run_virtual(play())


def test_a_view_of_another_cluster_or_an_older_one_changes_nothing_and_is_counted() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        await cluster.bootstrap_all()
        known = cluster["a"].running.view
        assert known is not None
        assert known.cluster
        foreign = View(9, [Voter("x", "d", "10.0.0.88:7780")], ["x"], {"x": 1}, "other")
        older = View(0, [], ["x"], {}, known.cluster)
        seed = Process(cluster, SEEDS[0], [cluster["a"].ip])
        await seed.start()
        await cluster.until(lambda: seed.epoch == 1, 2.0)
        assert seed.seed is not None
        for view in (foreign, older):
            answers = [await seed.handle(OfferView(view)), await cluster["a"].running.handle(OfferView(view))]
            assert answers == [ViewResponse(known), ViewResponse(known)]
            await cluster["a"].running.handle(ViewDecided(view))
            await seed.handle(ViewDecided(view))
            seed.client.learn_view(view)
        assert seed.state.view == known
        assert cluster["a"].running.view == known
        assert seed.seed.foreign_rejections == 2
        assert seed.client.foreign_views == 1
        assert cluster["a"].running.foreign_rejections == 2
        foreign_controller = AnnounceController(
            Voter("b", "other-disk", cluster["b"].address), cluster="other"
        )
        assert await cluster["a"].running.handle(foreign_controller) == ViewResponse(known)
        assert cluster["a"].running.foreign_rejections == 3
        await asyncio.sleep(3.0)
        assert cluster["a"].running.view == known
        await seed.kill()

    run_virtual(play())


def test_an_unreadable_cached_view_is_ignored() -> None:
    async def play() -> None:
        cluster = ControllerCluster("abc")
        for corrupt in (b"", b"\xc1", b"\x93\x01"):
            assert Process(cluster, "10.0.9.9", [], {"view": corrupt}).epoch == 0

    run_virtual(play())


def test_calls_to_seeds_back_off_until_they_respond_and_then_repeat_slowly() -> None:
    schedule = SeedSchedule(2.0)
    assert schedule.due(["s"], 3, 10.0) == ["s"]
    schedule.on_call_started("s", 10.0)
    assert schedule.due(["s"], 3, 10.5) == []
    now, pauses = 10.0, []
    for _ in range(8):
        schedule.on_no_answer("s", now)
        before = now
        while not schedule.due(["s"], 3, now):
            now = round(now + 0.05, 2)
        pauses.append(round(now - before, 2))
    assert pauses[0] == 0.2
    assert pauses == sorted(pauses)
    assert pauses[-1] == 2.0
    schedule.on_answer("s", 3, now)
    assert schedule.due(["s"], 3, now + 1.9) == []
    assert schedule.due(["s"], 3, now + 2.0) == ["s"]
    schedule.on_answer("s", 3, now)
    assert schedule.due(["s"], 4, now + 0.1) == ["s"]  # a newer view is offered at once
    assert schedule.due(["t"], 4, now + 0.1) == ["t"]  # a new seed is called at once, too
    assert schedule.due(["s"], 4, now + 0.2) == ["s"]
