"""The interface between the intake, which receives the calls of pull workers, and the leasing of jobs."""

from __future__ import annotations

from typing import Protocol

from hollowusher.protocol.leases import LeasedJob


class PullDispatcher(Protocol):
    """Leases jobs for the pull calls that wait at this process."""

    async def pull(self, service: str, instance: str, wait_s: float) -> LeasedJob | None:
        """Return a leased job for one free slot of a worker, or None if none arrives in `wait_s` seconds."""
