"""The one form of parts that have a life of their own: they are started, stopped and asked for a report."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class Part(Protocol):
    """A part of the running program; `app.serve` holds a list of them."""

    async def start(self) -> None:
        """Begin; OSError where what it needs is taken."""

    async def stop(self) -> None:
        """End in good order."""

    def report(self) -> Mapping[str, object]:
        """What people on call ask for."""
