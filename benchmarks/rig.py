"""What the measurements share: the program in this process, a node list, and clients in open loop."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from hollowusher.balancing import Discovery, Effect, Group, JobClass, Limits, Settings, Via
from hollowusher.scheduler.app import serve
from hollowusher.scheduler.config import SchedulerConfig
from hollowusher.scheduler.emulator.outside import NodeList, free_port, node_rows
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.http2.settings import Http2Config

MS, S = 1_000_000, 1_000_000_000
_EFFECTS = {"eta-quote": Effect.SAFE, "assign-rider": Effect.KEYED, "settle-shift": Effect.UNSAFE}


def settings_for(classes: Iterable[tuple[str, float, float]]) -> Settings:
    """The platform's settings for these classes: name, share, budget in seconds."""
    return Settings(
        classes=tuple(
            JobClass(
                name,
                200 * MS,
                round(budget * S),
                effect=_EFFECTS[name],
                stretch=2.0,
                group=Group.CELL,
                window_ns=7500 * MS if name == "assign-rider" else 0,
            )
            for name, _, budget in classes
        ),
        zone="a",
        tick_ns=2 * MS,
        discovery=Discovery.ASK,
        readings=Via.ANSWERS,
        tells_start=True,
        progress_ns=2 * S,
        limits=Limits(True, True, True, True, 2 * S, 3),
    )


class SchedulerProgram:
    """One scheduler in this process, with its node list."""

    def __init__(self, settings: Settings, ports: list[int], http2: Http2Config, sockets: int = 1024) -> None:
        self._list = NodeList(node_rows(ports))
        self._settings, self._http2, self._sockets = settings, http2, sockets
        self.port = free_port()
        self._stop = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> SchedulerProgram:
        """Start it."""
        await self._list.start()
        config = SchedulerConfig(
            "bench",
            ("127.0.0.1", self.port),
            ("127.0.0.1", self._list.port),
            1,
            self._sockets,
            self._settings,
            {"x0": "free_slots"},
            0.25,
            30.0,
            {},
            http2=self._http2,
        )
        self._task = asyncio.create_task(serve(config, LogWriter("bench", per_s=0, burst=0), self._stop))
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop it in good order."""
        self._stop.set()
        if self._task is not None:
            await self._task
        await self._list.close()
