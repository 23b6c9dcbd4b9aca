"""What planted faults are: changes of the real parts, the faults that bring them to light, and the rules of
which one must be broken.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from hollowusher.simulation.cluster import DeploymentSize
from hollowusher.simulation.faults.context import FaultRequest
from hollowusher.simulation.faults.script import ScriptedFault
from hollowusher.simulation.simulation_run import SimulationPlan

SIMULTANEOUS_FAULTS = ("herd_kill", "herd_power", "herd_disk")
TAKEOVER_FAULTS = ("kill", "power", "freeze", "cut", "cut_one_way", "stop")
NEVER_S = 1e9


def fault_at(
    at: float,
    kind: str,
    machine: str = "",
    *,
    for_s: float | None = None,
    how: str = "",
    count: int | None = None,
    beside: bool = False,
) -> ScriptedFault:
    """A fault at a time of a planted fault's day."""
    return ScriptedFault(at, FaultRequest(kind, machine, for_s, how, count), beside)


class Patches:
    """Changes of classes and modules that are taken back at the end."""

    def __init__(self) -> None:
        self._saved: list[tuple[Any, str, Any]] = []

    def replace(self, owner: Any, name: str, value: Any) -> Any:
        """Replace an attribute; the one before."""
        before = owner.__dict__[name]
        self._saved.append((owner, name, before))
        setattr(owner, name, value)
        return before

    def undo(self) -> None:
        """Put everything back."""
        for owner, name, before in reversed(self._saved):
            setattr(owner, name, before)
        self._saved.clear()


PlantFunction = Callable[[Patches], None]


@dataclass(frozen=True)
class PlantedFault:
    """One planted fault, the faults that bring it to light, and the rules of which one must be broken."""

    name: str
    plant: PlantFunction
    rules: tuple[str, ...]
    fault_kinds: tuple[str, ...] | None = None
    script: tuple[ScriptedFault, ...] | None = None
    size: DeploymentSize | None = None
    long_delay_s: float = 0.0
    moves_routes: bool = False
    test: str = ""  # the tests that find it where the simulation cannot reach it

    def plan(self, base: SimulationPlan) -> SimulationPlan:
        """The day that is played with it."""
        size = self.size or (DeploymentSize() if self.script else base.size)
        delay_s = self.long_delay_s or base.long_delay_s
        return replace(
            base,
            fault_kinds=self.fault_kinds,
            script=self.script,
            size=size,
            long_delay_s=delay_s,
            moves_routes=self.moves_routes or base.moves_routes,
        )


PLANTED_FAULTS: dict[str, PlantedFault] = {}


def planted_fault(
    *rules: str,
    fault_kinds: tuple[str, ...] | None = None,
    script: tuple[ScriptedFault, ...] | None = None,
    size: DeploymentSize | None = None,
    long_delay_s: float = 0.0,
    moves_routes: bool = False,
    test: str = "",
) -> Callable[[PlantFunction], PlantFunction]:
    """Register a planted fault by its function's name."""

    def register(plant: PlantFunction) -> PlantFunction:
        name = plant.__name__.strip("_").replace("_", "-")
        PLANTED_FAULTS[name] = PlantedFault(
            name, plant, rules, fault_kinds, script, size, long_delay_s, moves_routes, test
        )
        return plant

    return register


@contextmanager
def planting(name: str) -> Iterator[None]:
    """Have a planted fault in place."""
    patches = Patches()
    PLANTED_FAULTS[name].plant(patches)
    try:
        yield
    finally:
        patches.undo()
