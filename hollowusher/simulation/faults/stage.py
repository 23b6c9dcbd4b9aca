"""What every trouble works with: the world, chance, the bookkeeping of losses, and the register of kinds."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from hollowusher.simulation.faults.tolerance import Tolerance
from hollowusher.simulation.observations import Trouble
from hollowusher.simulation.world import CATCH_UP_S, Machine, World

GRACE_S = 6.0


class OperatorActions(Protocol):
    """What troubles have the operator do."""

    async def change(self, first: str = "") -> None:
        """Send a change, to the admin address `first` before others."""

    async def race(self, first: str = "", second: str = "") -> None:
        """Send two changes on one version at once."""

    async def change_often(self, count: int) -> None:
        """Send so many changes one after the other."""

    def lose_answers(self, share: float) -> None:
        """From now on lose this share of the answers; an order goes to another machine then."""

    async def retire(self, name: str, duration_s: float) -> bool:
        """Have a store emptied; whether that was completed in time."""

    def lure(self, name: str) -> None:
        """Have pull workers and status questions come to this machine first; empty: to any."""


class WorkerActions(Protocol):
    """What troubles do to workers."""

    async def all_down(self, seconds: float) -> None:
        """All listed workers crash, and others come after so long."""


@dataclass(frozen=True)
class Wanted:
    """What a trouble is to do; what is left out is drawn by lot."""

    kind: str
    machine: str = ""
    for_s: float | None = None
    how: str = ""
    count: int | None = None


@dataclass
class Stage:
    """The place where troubles happen."""

    world: World
    chance: random.Random
    operator: OperatorActions | None = None
    workers: WorkerActions | None = None
    played: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.tolerance = Tolerance(self.world.size.faults, CATCH_UP_S)
        self._lost: dict[int, list[Machine]] = {}

    def now(self) -> float:
        """The virtual time."""
        return self.world.loop.time()

    def begin(self, kind: str, host: str, lost: Iterable[Machine] = (), planned: bool = False) -> Trouble:
        """A trouble begins, in which these machines are lost."""
        self.played.append(f"{self.now():.2f} {kind} {host}")
        trouble = self.world.trouble(kind, host, planned)
        self._lost[id(trouble)] = [machine for machine in lost if machine.counts]
        for machine in self._lost[id(trouble)]:
            self.tolerance.lose(machine.name)
        return trouble

    def end(self, trouble: Trouble, catching_up: bool = False) -> None:
        """It is over, and the machines lost in it are back; with `catching_up` the trouble counts for the
        rules until they have caught up (their disks were lost)."""
        for machine in self._lost.pop(id(trouble), []):
            self.tolerance.returned(machine.name, self.now())
        if catching_up:
            self.world.loop.call_outside(CATCH_UP_S, self._over, trouble)
        else:
            self._over(trouble)

    def _over(self, trouble: Trouble) -> None:
        trouble.ended_at = self.now()

    async def wait_until_allowed(self) -> None:
        """Wait until the deployment bears the next loss, and not a moment longer."""
        while True:
            now = self.now()
            at = self.tolerance.allowed_at(now)
            if at <= now:
                return
            await asyncio.sleep(min(at - now, CATCH_UP_S))

    def counting(self, role: str = "") -> list[Machine]:
        """The running machines whose loss is limited, of one role or all."""
        return [
            machine
            for machine in self.world.machines.values()
            if machine.counts and role in ("", machine.role)
        ]

    def pick(self, wanted: Wanted, candidates: list[Machine] | None = None) -> Machine:
        """The machine that was asked for, else one by lot."""
        if wanted.machine:
            return self.world.machines[wanted.machine]
        return self.chance.choice(self.counting() if candidates is None else candidates)

    async def wait(self, wanted: Wanted, *usual: float) -> None:
        """Wait as long as was asked for, else about one of the usual times."""
        if wanted.for_s is not None:
            await asyncio.sleep(wanted.for_s)
        else:
            await asyncio.sleep(self.chance.choice(usual) * self.chance.uniform(0.7, 1.3))


Play = Callable[[Stage, Wanted], Awaitable[None]]


@dataclass(frozen=True)
class Kind:
    """One kind of trouble and how often it is drawn."""

    name: str
    weight: float
    play: Play


KINDS: dict[str, Kind] = {}


def trouble(name: str, weight: float) -> Callable[[Play], Play]:
    """Register a kind of trouble."""

    def register(play: Play) -> Play:
        KINDS[name] = Kind(name, weight, play)
        return play

    return register
