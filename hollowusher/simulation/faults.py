"""Random troubles of a day.

Of the machines that count, no more than `faultTolerance` are lost at a time; all of them may be killed or
lose power at once, with their disks.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from hollowusher.simulation.observations import Trouble
from hollowusher.simulation.world import Machine, World

CATCH_UP_S = 4.2
GRACE_S = 6.0
Event = Callable[[], Awaitable[None]]


class Troublemaker:
    """Plays troubles one after the other on the machines that count, and others beside them."""

    def __init__(self, world: World, chance: random.Random, kinds: tuple[str, ...] | None = None) -> None:
        self.world = world
        self.chance = chance
        self.played: list[str] = []
        self._kinds = kinds

    async def play_counting(self, until: float) -> None:
        """Troubles of the machines whose loss is limited."""
        loop = self.world.loop
        while True:
            await asyncio.sleep(self.chance.uniform(0.3, 4.0))
            if loop.time() >= until:
                return
            await self._play_one()
            await asyncio.sleep(CATCH_UP_S + self.chance.uniform(0.5, 3.0))

    async def play_plain_edges(self, until: float) -> None:
        """Troubles of edge machines without a disk."""
        plain = [machine for machine in self.world.of("edge") if not machine.counts]
        while plain:
            await asyncio.sleep(self.chance.uniform(3.0, 12.0))
            if self.world.loop.time() >= until:
                return
            machine = self.chance.choice(plain)
            kind = self.chance.choice((self.kill, self.freeze, self.cut, self.stop))
            await kind(machine)

    async def _play_one(self) -> None:
        events: dict[str, tuple[float, Callable[[Machine], Awaitable[None]]]] = {
            "kill": (3, self.kill),
            "power": (3, self.power),
            "freeze": (2, self.freeze),
            "cut": (2, self.cut),
            "cut_one_way": (2, self.cut_one_way),
            "cut_pair": (1, self.cut_pair),
            "disk": (2, self.disk),
            "stop": (2, self.stop),
            "reset": (1, self.reset),
            "herd_kill": (0.7, self.herd_kill),
            "herd_power": (0.7, self.herd_power),
            "roll": (0.7, self.roll),
            "herd_disk": (0.7, self.herd_disk),
            "slow": (1, self.slow),
            "resets": (1, self.resets),
            "double": (1, self.double),
            "split": (1.5, self.split),
            "lag_kill": (1, self.lag_kill),
            "store_alone": (1.5, self.store_alone),
        }
        names = [name for name in events if self._kinds is None or name in self._kinds]
        if not names:
            return
        chosen = self.chance.choices(names, [events[name][0] for name in names])[0]
        counting = [machine for machine in self.world.machines.values() if machine.counts]
        await events[chosen][1](self.chance.choice(counting))

    def _begin(self, kind: str, host: str, planned: bool = False) -> Trouble:
        self.played.append(f"{self.world.loop.time():.2f} {kind} {host}")
        return self.world.trouble(kind, host, planned)

    def _end(self, trouble: Trouble) -> None:
        trouble.ended_at = self.world.loop.time()

    async def kill(self, machine: Machine) -> None:
        """SIGKILL and a restart after a short delay."""
        trouble = self._begin("kill", machine.name)
        self.world.kill(machine)
        await asyncio.sleep(self.chance.uniform(0.2, 1.5))
        self.world.start(machine)
        self._end(trouble)

    async def power(self, machine: Machine) -> None:
        """A loss of power."""
        trouble = self._begin("power", machine.name)
        self.world.power_off(machine)
        await asyncio.sleep(self.chance.uniform(0.5, 8.0))
        self.world.start(machine)
        self._end(trouble)

    async def disk(self, machine: Machine) -> None:
        """A loss of the disk."""
        trouble = self._begin("disk", machine.name)
        self.world.lose_disk(machine)
        await asyncio.sleep(self.chance.uniform(0.5, 3.0))
        self.world.start(machine)
        await asyncio.sleep(CATCH_UP_S)
        self._end(trouble)

    async def freeze(self, machine: Machine) -> None:
        """The process stands still for a while."""
        trouble = self._begin("freeze", machine.name)
        self.world.freeze(machine)
        await asyncio.sleep(self.chance.choice((0.3, 1.0, 3.0, 6.0)) * self.chance.uniform(0.7, 1.3))
        self.world.thaw(machine)
        self._end(trouble)

    async def cut(self, machine: Machine) -> None:
        """The machine is cut off from all others."""
        await self._cut(machine, True, True, "cut")

    async def cut_one_way(self, machine: Machine) -> None:
        """Nothing comes in, or nothing gets out."""
        inward = self.chance.random() < 0.5
        await self._cut(machine, inward, not inward, "cut_in" if inward else "cut_out")

    async def _cut(self, machine: Machine, inward: bool, outward: bool, kind: str) -> None:
        outside = self.chance.random() < 0.5
        trouble = self._begin(kind if outside else f"{kind}_inside", machine.name)
        self.world.isolate(machine, inward, outward, outside)
        await asyncio.sleep(self.chance.choice((0.3, 1.5, 4.0, 7.0)) * self.chance.uniform(0.7, 1.3))
        self.world.rejoin(machine)
        self._end(trouble)

    async def cut_pair(self, machine: Machine) -> None:
        """Two machines do not reach each other."""
        others = [each for each in self.world.machines.values() if each is not machine]
        other = self.chance.choice(others)
        trouble = self._begin("cut_pair", f"{machine.name}|{other.name}")
        self.world.network.cut(machine.ip, other.ip, both=self.chance.random() < 0.6)
        await asyncio.sleep(self.chance.uniform(0.5, 6.0))
        self.world.network.join(machine.ip, other.ip)
        self._end(trouble)

    async def split(self, machine: Machine) -> None:
        """A store and an edge process reach each other and one more store, but neither the controllers nor
        the remaining stores, which reach that store as well."""
        stores = self.chance.sample(self.world.of("store"), len(self.world.of("store")))
        plain = [each for each in self.world.of("edge") if not each.counts]
        inside = [stores[0], *plain]
        outside = [*self.world.controllers(), *stores[2:]]
        trouble = self._begin("split", " ".join(each.name for each in inside))
        pairs = [(here.ip, there.ip) for here in inside for there in outside]
        for here, there in pairs:
            self.world.network.cut(here, there)
        await asyncio.sleep(self.chance.uniform(3.0, 8.0))
        for here, there in pairs:
            self.world.network.join(here, there)
        self._end(trouble)

    async def store_alone(self, machine: Machine) -> None:
        """A store does not reach the other stores, only edge processes; at times it is lost afterwards."""
        alone = self.chance.choice(self.world.of("store"))
        others = [each for each in self.world.of("store") if each is not alone]
        trouble = self._begin("store_alone", alone.name)
        for other in others:
            self.world.network.cut(alone.ip, other.ip)
        await asyncio.sleep(self.chance.uniform(0.3, 3.0))
        ending = self.chance.choice((None, self.world.kill, self.world.power_off, self.world.lose_disk))
        if ending is not None:
            ending(alone)
        for other in others:
            self.world.network.join(alone.ip, other.ip)
        if ending is not None:
            await asyncio.sleep(self.chance.uniform(0.5, 3.0))
            self.world.start(alone)
        self._end(trouble)

    async def lag_kill(self, machine: Machine) -> None:
        """The links of one store are slow, and another store is killed meanwhile."""
        lagging, killed = self.chance.sample(self.world.of("store"), 2)
        trouble = self._begin("lag_kill", f"{lagging.name} {killed.name}")
        self.world.network.slow_hosts[lagging.ip] = self.chance.choice((0.05, 0.2, 0.6))
        await asyncio.sleep(self.chance.uniform(0.5, 2.0))
        self.world.kill(killed)
        await asyncio.sleep(self.chance.uniform(0.2, 3.0))
        self.world.network.slow_hosts.clear()
        self.world.start(killed)
        self._end(trouble)

    async def reset(self, machine: Machine) -> None:
        """All its connections are reset."""
        trouble = self._begin("reset", machine.name)
        self.world.network.reset_connections(machine.ip)
        self._end(trouble)

    async def stop(self, machine: Machine) -> None:
        """SIGTERM, and a restart."""
        trouble = self._begin("stop", machine.name, planned=True)
        await self.world.terminate(machine, GRACE_S)
        await asyncio.sleep(self.chance.uniform(0.2, 1.0))
        self.world.start(machine)
        self._end(trouble)

    async def roll(self, machine: Machine) -> None:
        """All machines of a role are stopped and started in turn."""
        for each in self.world.of(machine.role):
            await self.stop(each)
            await asyncio.sleep(CATCH_UP_S + 0.5)

    async def herd_kill(self, machine: Machine) -> None:
        """Every process that counts, or of a role, is killed at once and returns within a second."""
        await self._herd("herd_kill", self.world.kill, (0.2, 0.9))

    async def herd_power(self, machine: Machine) -> None:
        """All machines that count lose power at once."""
        await self._herd("herd_power", self.world.power_off, (0.5, 3.0))

    async def herd_disk(self, machine: Machine) -> None:
        """One machine loses its disk while all others that count lose power."""
        await self._herd(
            "herd_disk",
            lambda each: self.world.lose_disk(each) if each is machine else self.world.power_off(each),
            (0.5, 3.0),
        )
        await asyncio.sleep(CATCH_UP_S)

    async def slow(self, machine: Machine) -> None:
        """All links are slow at times."""
        trouble = self._begin("slow", "all")
        delays = self.world.network.delays
        delays.slow_share, delays.slow_most = 0.2, self.chance.choice((0.05, 0.3))
        await asyncio.sleep(self.chance.uniform(1.0, 4.0))
        delays.slow_share = 0.0
        self._end(trouble)

    async def resets(self, machine: Machine) -> None:
        """Some frames reset their connection in place of arriving: calls, or answers, are lost."""
        trouble = self._begin("resets", "all")
        self.world.network.reset_share = self.chance.choice((0.01, 0.05))
        await asyncio.sleep(self.chance.uniform(1.0, 4.0))
        self.world.network.reset_share = 0.0
        self._end(trouble)

    async def double(self, machine: Machine) -> None:
        """A store and a controller have trouble at once, each within its own group's tolerance."""
        store = self.chance.choice(self.world.of("store"))
        controller = self.chance.choice(self.world.controllers())
        events = (self.kill, self.freeze, self.cut_one_way, self.reset)
        await asyncio.gather(self.chance.choice(events)(store), self.chance.choice(events)(controller))

    async def _herd(self, kind: str, end: Callable[[Machine], None], back: tuple[float, float]) -> None:
        hit = [machine for machine in self.world.machines.values() if machine.counts and machine.running]
        trouble = self._begin(kind, "all")
        for machine in hit:
            end(machine)
        await asyncio.gather(*(self._return(machine, back) for machine in hit))
        self._end(trouble)

    async def _return(self, machine: Machine, back: tuple[float, float]) -> None:
        await asyncio.sleep(self.chance.uniform(*back))
        self.world.start(machine)

    def restore(self) -> None:
        """All machines run, nothing is cut or frozen."""
        self.world.network.join_all()
        self.world.network.reset_share = 0.0
        self.world.network.delays.slow_share = 0.0
        self.world.network.slow_hosts.clear()
        for machine in self.world.machines.values():
            self.world.thaw(machine)
            self.world.start(machine)
        for trouble in self.world.seen.troubles:
            if trouble.ended_at is None:
                trouble.ended_at = self.world.loop.time()
