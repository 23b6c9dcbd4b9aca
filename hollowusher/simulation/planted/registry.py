"""What planted faults are: changes of the real parts, the troubles that bring them to light, and the rules of
which one must be broken.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from hollowusher.simulation.day import DayPlan
from hollowusher.simulation.faults.script import ScriptedTrouble
from hollowusher.simulation.faults.stage import Wanted
from hollowusher.simulation.world import Size

HERDS = ("herd_kill", "herd_power", "herd_disk")
MOVES = ("kill", "power", "freeze", "cut", "cut_one_way", "stop")
NEVER_S = 1e9


def attack(
    at: float,
    kind: str,
    machine: str = "",
    *,
    for_s: float | None = None,
    how: str = "",
    count: int | None = None,
    beside: bool = False,
) -> ScriptedTrouble:
    """A trouble at a time of a planted fault's day."""
    return ScriptedTrouble(at, Wanted(kind, machine, for_s, how, count), beside)


class Patches:
    """Changes of classes and modules that are taken back at the end."""

    def __init__(self) -> None:
        self._saved: list[tuple[Any, str, Any]] = []

    def set(self, owner: Any, name: str, value: Any) -> Any:
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


Plant = Callable[[Patches], None]


@dataclass(frozen=True)
class Planted:
    """One planted fault, the troubles that bring it to light, and the rules of which one must be broken."""

    name: str
    plant: Plant
    rules: tuple[str, ...]
    kinds: tuple[str, ...] | None = None
    script: tuple[ScriptedTrouble, ...] | None = None
    size: Size | None = None
    test: str = ""  # the tests that find it where the simulation cannot reach it

    def plan(self, base: DayPlan) -> DayPlan:
        """The day that is played with it."""
        size = self.size or (Size() if self.script else base.size)
        return replace(base, kinds=self.kinds, script=self.script, size=size)


PLANTED: dict[str, Planted] = {}


def planted(
    *rules: str,
    kinds: tuple[str, ...] | None = None,
    script: tuple[ScriptedTrouble, ...] | None = None,
    size: Size | None = None,
    test: str = "",
) -> Callable[[Plant], Plant]:
    """Register a planted fault by its function's name."""

    def register(plant: Plant) -> Plant:
        name = plant.__name__.strip("_").replace("_", "-")
        PLANTED[name] = Planted(name, plant, rules, kinds, script, size, test)
        return plant

    return register


@contextmanager
def planting(name: str) -> Iterator[None]:
    """Have a planted fault in place."""
    patches = Patches()
    PLANTED[name].plant(patches)
    try:
        yield
    finally:
        patches.undo()
