"""One day of the whole system from one seed: start, traffic and troubles, a calm end, and the judgement."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from hollowusher.simulation import plain_model as model
from hollowusher.simulation.actors import Outside, Stamps
from hollowusher.simulation.changes import Changes
from hollowusher.simulation.clients import Clients, Stream
from hollowusher.simulation.deployment import CLIENT_HOST, FIXED, FIXED_RATE, OTHER, PULL, PUSH, RECEIVERS
from hollowusher.simulation.entry import Entry
from hollowusher.simulation.faults.disks import FULL_DISK
from hollowusher.simulation.faults.injector import Troublemaker
from hollowusher.simulation.faults.script import Script, ScriptedTrouble
from hollowusher.simulation.fleet import Fleet
from hollowusher.simulation.health import ailments
from hollowusher.simulation.invariants import Broken, Rules, broken
from hollowusher.simulation.loop import VirtualLoop
from hollowusher.simulation.observations import Trouble, Unwell
from hollowusher.simulation.world import Builder, Size, World

FINAL_READ_S = 8.0
FINAL_ASK_S = 20.0
LIVE_AFTER_S = 8.0  # so long after all is calm an order is taken and every member has caught up
ORDER_S = 5.0
ASKERS = 20
SIZES = (Size(), Size(), Size(), Size(plain_edges=3), Size(4, 3, 4), Size(4, 2, 3), Size(3, 2, 4))


@dataclass(frozen=True)
class DayPlan:
    """How a day is played."""

    size: Size | None = None  # None: drawn by lot
    traffic_s: float = 30.0
    calm_s: float = 30.0
    rate: float = 25.0  # messages a second
    troubles: bool = True
    worker_troubles: bool = True
    changes: bool = True
    kinds: tuple[str, ...] | None = None  # the troubles to be used
    final_fault: bool = True
    script: tuple[ScriptedTrouble, ...] | None = None  # in place of troubles by lot


def scripted(script: Script, rate: float) -> DayPlan:
    """The day of a script."""
    return DayPlan(
        size=script.size,
        traffic_s=script.traffic_s,
        calm_s=script.calm_s,
        rate=rate,
        changes=script.changes,
        final_fault=False,
        script=script.troubles,
    )


def drawn_size(seed: int) -> Size:
    """The machines of a seed's day."""
    chance = random.Random(f"{seed}/size")
    return chance.choice(SIZES)


@dataclass
class Result:
    """What came of a day."""

    seed: int
    broken: list[Broken]
    failures: list[str]  # errors that no code caught
    played: list[str]
    figures: dict[str, float]

    @property
    def first(self) -> str:
        """The first thing that is wrong, empty for none."""
        if self.broken:
            return str(self.broken[0])
        return self.failures[0] if self.failures else ""


class Day:
    """One seed's play."""

    def __init__(self, loop: VirtualLoop, seed: int, plan: DayPlan, build: Builder) -> None:
        self.loop = loop
        self.plan = plan
        self.size = plan.size or drawn_size(seed)
        self.world = World(loop, seed, self.size, build)
        self.seen = self.world.seen
        self.chance = self.world.random("day")
        self.rules: dict[str, model.RouteRules] = {}
        world = self.world
        self.entry = Entry(world, world.random("edges"))
        self.changes = Changes(world, self.entry, self.rules)
        outside = Outside(world.http, self.seen, Stamps(), world.random("outside"))
        self.fleet = Fleet(world, outside, self.entry.pull_address)
        operators = self.changes if plan.changes else None
        self.troublemaker = Troublemaker(world, world.random("troubles"), plan.kinds, operators, self.fleet)
        self._clients = Clients(
            world.http,
            self.seen,
            world.random("clients"),
            CLIENT_HOST,
            self.entry.choose,
            self.entry.note_answer,
        )

    # ---- traffic

    def _streams(self) -> list[Stream]:
        rate = self.plan.rate
        return [
            Stream("push", PUSH, "/push/", 0.22 * rate, callback_hosts=RECEIVERS),
            Stream("other", OTHER, "/other/", 0.03 * rate),
            Stream("line", PUSH, "/line/", 0.15 * rate, keys=6),
            Stream("short", PUSH, "/short/", 0.05 * rate, callback_hosts=RECEIVERS),
            Stream("pull", PULL, "/pulled/", 0.27 * rate, callback_hosts=RECEIVERS, delayed_share=0.3),
            Stream("ordered", FIXED, "/ordered/", 0.28 * rate, keys=6, callback_hosts=RECEIVERS),
        ]

    async def _extra_traffic(self, until: float) -> None:
        """A few messages to the routes that changes add and drop."""
        chance = self.world.random("extra")
        while self.loop.time() < until:
            await asyncio.sleep(chance.uniform(0.3, 1.2))
            routes = self.changes.document["routes"]
            extras = [route for route in routes if route["name"].startswith("extra-")]
            if extras:
                route = chance.choice(extras)
                self._clients.post_one(Stream(route["name"], OTHER, route["pathPrefix"], 0.0))

    # ---- the course of the day

    async def play(self) -> None:
        """The whole day."""
        background = [
            asyncio.get_running_loop().create_task(work)
            for work in (self.entry.watch_readiness(), self.entry.sample_generations())
        ]
        await self._begin()
        until = self.loop.time() + self.plan.traffic_s
        await self._play_traffic(until)
        self.seen.traffic_ended_at = until
        by_lot = self.plan.troubles and self.plan.script is None
        if self.plan.final_fault and by_lot and self.chance.random() < 0.3:
            await self._final_fault()
        await self._end()
        for task in background:
            task.cancel()

    async def _play_traffic(self, until: float) -> None:
        work = [self._clients.play(stream, until) for stream in self._streams()]
        work.append(self._extra_traffic(until))
        if self.plan.changes:
            work += [self.changes.play(until - 2.0), self.changes.read_often(until)]
        if self.plan.worker_troubles:
            work += [self.fleet.trouble_workers(until), self.fleet.trouble_endpoint(until)]
        if self.plan.script is not None:
            work.append(self.troublemaker.play_script(self.plan.script))
        elif self.plan.troubles:
            work += [self.troublemaker.play_counting(until), self.troublemaker.play_plain_edges(until)]
        await asyncio.gather(*work)

    async def _begin(self) -> None:
        self.fleet.start()
        begun: Trouble = self.world.trouble("begin", "all")
        for machine in self.world.machines.values():
            self.loop.call_outside(self.chance.uniform(0.0, 0.3), self.world.start, machine)
        await asyncio.sleep(0.5)
        if not await self.changes.first():
            self.world.program_failures.append("the first configuration was not acknowledged")
        await asyncio.sleep(4.0)
        begun.ended_at = self.loop.time() - 4.0

    async def _final_fault(self) -> None:
        """All machines that count are killed or lose power right after an acknowledgement."""
        await self.troublemaker.stage.wait_until_allowed()
        await self.changes.send_change(self.loop.time() + 10.0)
        await self.troublemaker.final_fault()

    async def _end(self) -> None:
        self.troublemaker.restore()
        self.seen.calm_since = self.loop.time()
        await self._look_after_calm()
        await self._clients.settle()
        await asyncio.sleep(self.seen.calm_since + self.plan.calm_s - self.loop.time())
        await self.changes.operator.read(self.loop.time() + FINAL_READ_S, final=True)
        await self._ask_all(self.loop.time() + FINAL_ASK_S)
        self.seen.ended_at = self.loop.time()

    async def _look_after_calm(self) -> None:
        """Liveness: all members have caught up, and an order is taken."""
        await asyncio.sleep(LIVE_AFTER_S)
        self.seen.unwell += ailments(self.world)
        if not await self.changes.send_change(self.loop.time() + ORDER_S):
            self.seen.unwell.append(Unwell("order", "was not taken", self.loop.time()))

    async def _ask_all(self, give_up_at: float) -> None:
        waiting = [message for message in self.seen.messages.values() if message.accepted]

        async def ask() -> None:
            while waiting:
                await self._clients.ask_until_known(waiting.pop(), give_up_at)

        await asyncio.gather(*(ask() for _ in range(ASKERS)))

    def judge(self) -> list[Broken]:
        """What was broken."""
        return broken(self.seen, Rules(self.rules, {FIXED: FIXED_RATE}, self.size.clock_skew_s))

    def figures(self) -> dict[str, float]:
        """What happened, in numbers."""
        messages = self.seen.messages.values()
        statuses = [message.status for message in messages]
        successes = {run.id for run in self.seen.runs if run.result == "success"}
        return {
            "messages": len(statuses),
            "accepted": statuses.count(202),
            "503": statuses.count(503),
            "504": statuses.count(504),
            "404": statuses.count(404),
            "unanswered": statuses.count(None),
            "runs": len(self.seen.runs),
            "succeeded": len(successes),
            "run again": len([run for run in self.seen.runs if run.result == "success"]) - len(successes),
            "call-backs": len(self.seen.callbacks),
            "orders": len(self.seen.orders),
            "acknowledged": len([o for o in self.seen.orders if o.acknowledged_at is not None]),
            "internal messages": self.world.network.messages,
            "exchanges": self.world.http.exchanges,
            "callbacks of the loop": self.loop.callbacks,
            "virtual s": self.loop.time() - 1000.0,
        }


def play_day(seed: int, plan: DayPlan, build: Builder) -> Result:
    """Play one seed and judge it."""
    loop = VirtualLoop()
    begun = time.process_time()
    random.seed(seed)
    try:
        day = Day(loop, seed, plan, build)
        loop.play(day.play())
        found = day.judge()
        day.world.collect_failures()
        refused = [text for text in day.world.network.handler_failures if FULL_DISK not in text]
        failures = day.world.program_failures + refused + loop.failures
        figures = day.figures()
        figures["processor s"] = time.process_time() - begun
        return Result(seed, found, failures, day.troublemaker.played, figures)
    finally:
        loop.shut()
