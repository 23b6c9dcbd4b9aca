"""What every fault works with: the cluster, chance, the bookkeeping of losses, and the register of kinds."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from hollowusher.simulation.cluster import CATCH_UP_S, SimulatedCluster
from hollowusher.simulation.faults.tolerance import LossTolerance
from hollowusher.simulation.machine import SimulatedMachine
from hollowusher.simulation.observations import InjectedFault

GRACE_S = 6.0


class OperatorActions(Protocol):
    """What faults have the operator do."""

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

    def prefer_machine(self, name: str) -> None:
        """Have pull workers and status questions come to this machine first; empty: to any."""


class WorkerActions(Protocol):
    """What faults do to workers."""

    async def crash_all(self, seconds: float) -> None:
        """All listed workers crash, and others come after so long."""


@dataclass(frozen=True)
class FaultRequest:
    """What a fault is to do; what is left out is drawn by lot."""

    kind: str
    machine: str = ""
    for_s: float | None = None
    how: str = ""
    count: int | None = None


@dataclass
class FaultContext:
    """The place where faults happen."""

    cluster: SimulatedCluster
    random_source: random.Random
    operator: OperatorActions | None = None
    workers: WorkerActions | None = None
    fault_log: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.tolerance = LossTolerance(self.cluster.size.faults, CATCH_UP_S)
        self._lost: dict[int, list[SimulatedMachine]] = {}

    def now(self) -> float:
        """The virtual time."""
        return self.cluster.loop.time()

    def begin(
        self, kind: str, host: str, lost: Iterable[SimulatedMachine] = (), planned: bool = False
    ) -> InjectedFault:
        """A fault begins, in which these machines are lost."""
        self.fault_log.append(f"{self.now():.2f} {kind} {host}")
        fault_kind = self.cluster.record_fault(kind, host, planned=planned)
        self._lost[id(fault_kind)] = [machine for machine in lost if machine.counts_for_quorum]
        for machine in self._lost[id(fault_kind)]:
            self.tolerance.record_loss(machine.name)
        return fault_kind

    def end(self, fault_kind: InjectedFault, catching_up: bool = False) -> None:
        """It is over, and the machines lost in it are back; with `catching_up` the fault counts for the
        rules until they have caught up (their disks were lost)."""
        for machine in self._lost.pop(id(fault_kind), []):
            self.tolerance.record_return(machine.name, self.now())
        if catching_up:
            self.cluster.loop.call_outside(CATCH_UP_S, self._over, fault_kind)
        else:
            self._over(fault_kind)

    def _over(self, fault_kind: InjectedFault) -> None:
        fault_kind.ended_at = self.now()

    async def wait_until_allowed(self) -> None:
        """Wait until the deployment bears the next loss, and not a moment longer."""
        while True:
            now = self.now()
            at = self.tolerance.next_loss_allowed_at(now)
            if at <= now:
                return
            await asyncio.sleep(min(at - now, CATCH_UP_S))

    def counted_machines(self, role: str = "") -> list[SimulatedMachine]:
        """The running machines whose loss is limited, of one role or all."""
        return [
            machine
            for machine in self.cluster.machines.values()
            if machine.counts_for_quorum and role in ("", machine.role)
        ]

    def choose_machine(
        self, request: FaultRequest, candidates: list[SimulatedMachine] | None = None
    ) -> SimulatedMachine:
        """The machine that was asked for, else one by lot."""
        if request.machine:
            return self.cluster.machines[request.machine]
        return self.random_source.choice(self.counted_machines() if candidates is None else candidates)

    async def wait(self, request: FaultRequest, *usual: float) -> None:
        """Wait as long as was asked for, else about one of the usual times."""
        if request.for_s is not None:
            await asyncio.sleep(request.for_s)
        else:
            await asyncio.sleep(self.random_source.choice(usual) * self.random_source.uniform(0.7, 1.3))


FaultAction = Callable[[FaultContext, FaultRequest], Awaitable[None]]


@dataclass(frozen=True)
class FaultKind:
    """One kind of fault and how often it is drawn."""

    name: str
    weight: float
    play: FaultAction


FAULT_KINDS: dict[str, FaultKind] = {}


def fault_kind(name: str, weight: float) -> Callable[[FaultAction], FaultAction]:
    """Register a kind of fault."""

    def register(play: FaultAction) -> FaultAction:
        FAULT_KINDS[name] = FaultKind(name, weight, play)
        return play

    return register
