"""What every fault works with: the cluster, the losses so far, and the registry of kinds of faults."""

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
from hollowusher.simulation.worker_list_server import ListFailure

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
    """What faults do to workers and to the platform's list of them."""

    async def fail_list(self, failure: ListFailure, seconds: float) -> None:
        """Have the platform's list down for a while."""

    async def crash_all(self, seconds: float) -> None:
        """All listed workers crash, and others come after so long."""


@dataclass(frozen=True)
class FaultRequest:
    """What a fault is to do; what is left out is drawn at random."""

    kind: str
    machine: str = ""
    for_s: float | None = None
    how: str = ""
    count: int | None = None


@dataclass
class FaultContext:
    """What faults act on and draw from.  It owns the bookkeeping of lost machines."""

    cluster: SimulatedCluster
    random_source: random.Random
    operator: OperatorActions | None = None
    workers: WorkerActions | None = None
    fault_log: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.tolerance = LossTolerance(self.cluster.size.faults, CATCH_UP_S)
        self._lost: dict[int, list[SimulatedMachine]] = {}

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.cluster.loop.time()

    def begin(
        self, kind: str, host: str, lost: Iterable[SimulatedMachine] = (), *, planned: bool = False
    ) -> InjectedFault:
        """Begin a fault in which these machines are lost."""
        self.fault_log.append(f"{self.now():.2f} {kind} {host}")
        fault = self.cluster.record_fault(kind, host, planned=planned)
        self._lost[id(fault)] = [machine for machine in lost if machine.counts_for_quorum]
        for machine in self._lost[id(fault)]:
            self.tolerance.record_loss(machine.name)
        return fault

    def end(self, fault: InjectedFault, *, catching_up: bool = False) -> None:
        """End a fault: the machines lost in it are back.

        With `catching_up` it counts for the rules until they have caught up, as their disks were lost.
        """
        for machine in self._lost.pop(id(fault), []):
            self.tolerance.record_return(machine.name, self.now())
        if catching_up:
            self.cluster.loop.call_outside(CATCH_UP_S, self._over, fault)
        else:
            self._over(fault)

    def _over(self, fault: InjectedFault) -> None:
        fault.ended_at = self.now()

    async def wait_until_allowed(self) -> None:
        """Wait until the deployment bears the next loss, and not a moment longer."""
        while True:
            now = self.now()
            at = self.tolerance.next_loss_allowed_at(now)
            if at <= now:
                return
            await asyncio.sleep(min(at - now, CATCH_UP_S))

    def counted_machines(self, role: str = "") -> list[SimulatedMachine]:
        """Return the machines whose loss is limited, of one role or all."""
        return [
            machine
            for machine in self.cluster.machines.values()
            if machine.counts_for_quorum and role in ("", machine.role)
        ]

    def choose_machine(
        self, request: FaultRequest, candidates: list[SimulatedMachine] | None = None
    ) -> SimulatedMachine:
        """Return the machine that was asked for, else a random one."""
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
