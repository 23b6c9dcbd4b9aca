"""Interface of long-lived components: `app.serve` starts, drains and stops them and requests reports."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class Component(Protocol):
    """A long-lived component of the running process; `app.serve` keeps a list of them."""

    name: str  # the name under which operators request its report

    async def start(self) -> None:
        """Start the component; raises OSError if a resource that it needs, such as a port, is in use."""

    async def drain(self) -> None:
        """Stop accepting work, and return once all accepted work is answered."""

    async def stop(self) -> None:
        """Stop the component and release its resources."""

    def report(self) -> Mapping[str, object]:
        """Return the current state and counters for on-call engineers."""


class NoDrain:
    """Base class of components that have no open work to finish when the process drains."""

    async def drain(self) -> None:
        """Return at once: the component holds no accepted work."""
