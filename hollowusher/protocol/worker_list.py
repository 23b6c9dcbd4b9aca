"""The list of workers as the platform gives it, read by the head and distributed to every process."""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(34)
class PlatformWorker:
    """One worker of the platform's list."""

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    state: str  # "ready" | "draining"
    warm_in_ms: int = 0  # how much longer it stays slow
    generation: str = ""


@message(35)
class PlatformWorkerList:
    """The complete list as the head read it."""

    workers: list[PlatformWorker]
