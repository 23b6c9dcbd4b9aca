"""The one form of parts that have a life of their own: they are started, stopped and asked for a report."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class Component(Protocol):
    """A part of the running program; `app.serve` holds a list of them."""

    name: str  # by which people ask for its report

    async def start(self) -> None:
        """Begin; OSError where what it needs is taken."""

    async def drain(self) -> None:
        """Take nothing more, and return once all that was taken is answered."""

    async def stop(self) -> None:
        """End in good order."""

    def report(self) -> Mapping[str, object]:
        """What people on call ask for."""


class Plain:
    """For parts that have nothing to answer when the program drains."""

    async def drain(self) -> None:
        """Nothing that was taken is open here."""
