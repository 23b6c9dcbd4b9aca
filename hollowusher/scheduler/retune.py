"""Applies changed settings, including added and removed job classes, while the scheduler runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace

from hollowusher.balancing.interface import JobClass, Settings
from hollowusher.scheduler.dispatch.model import DispatchEvent, NewSettings
from hollowusher.scheduler.log import LogWriter

DROPPED_S = 1.2  # how long clients may still use a job class after it was removed


class Retuning:
    """Sends new settings to the dispatcher (an event, in order with the jobs) and to the protocol fronts."""

    def __init__(
        self,
        settings: Settings,
        post: Callable[[DispatchEvent], None],
        fronts: list[Callable[[Mapping[str, JobClass]], None]],
        log: LogWriter,
    ) -> None:
        """`post` queues an event for the dispatcher; each function in `fronts` gets the accepted classes."""
        self._settings, self._post, self._fronts, self._log = settings, post, fronts, log
        self._dropping: asyncio.TimerHandle | None = None

    def follow(self, settings: Settings) -> None:
        """Apply these settings; removed job classes are still accepted for DROPPED_S seconds."""
        if self._dropping is not None:
            self._dropping.cancel()
        names = {c.name for c in settings.classes}
        dropped = tuple(c for c in self._settings.classes if c.name not in names)
        self._log.notice(
            "settings-changed",
            "the new settings apply to jobs that arrive from now on",
            classes=" ".join(sorted(names)),
            dropped=" ".join(c.name for c in dropped),
        )
        self._settings = settings
        self._publish(replace(settings, classes=settings.classes + dropped))
        if dropped:
            self._dropping = asyncio.get_running_loop().call_later(DROPPED_S, self._publish, settings)

    def _publish(self, settings: Settings) -> None:
        """Post the settings to the dispatcher, then pass their job classes to the fronts.

        The dispatcher receives added classes before the fronts accept jobs of them."""
        classes = {c.name: c for c in settings.classes}
        self._post(NewSettings(settings))
        for front in self._fronts:
            front(classes)
