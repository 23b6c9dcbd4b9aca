"""The worker list of the platform, which the head reads and distributes to every process."""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(34)
class PlatformWorker:
    """One worker in the list of the platform."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: str  # "ready" | "draining"
    warm_in_ms: int = 0  # remaining warm-up time, during which the worker is slow
    generation: str = ""


@message(35)
class PlatformWorkerList:
    """The complete worker list of the platform at the time of a read by the head."""

    workers: list[PlatformWorker]
