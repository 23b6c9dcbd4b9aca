"""Settings that change while the program runs: classes that come and go, and the rest of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace

from hollowusher.balancing.interface import JobClass, Settings
from hollowusher.scheduler.dispatch.model import DispatchEvent, NewSettings
from hollowusher.scheduler.log import LogWriter

DROPPED_S = 1.2  # clients go on using a class for so long after it was dropped


class Retuning:
    """Passes new settings on: to the desk in order with the jobs, and to the fronts."""

    def __init__(
        self,
        settings: Settings,
        post: Callable[[DispatchEvent], None],
        fronts: list[Callable[[Mapping[str, JobClass]], None]],
        log: LogWriter,
    ) -> None:
        """`fronts` are told of the classes that may be taken."""
        self._settings, self._post, self._fronts, self._log = settings, post, fronts, log
        self._dropping: asyncio.TimerHandle | None = None

    def follow(self, settings: Settings) -> None:
        """These settings hold from now on; classes that they drop are taken for a moment more."""
        if self._dropping is not None:
            self._dropping.cancel()
        names = {c.name for c in settings.classes}
        dropped = tuple(c for c in self._settings.classes if c.name not in names)
        self._log.notice(
            "settings-changed",
            "for jobs that come from now on",
            classes=" ".join(sorted(names)),
            dropped=" ".join(c.name for c in dropped),
        )
        self._settings = settings
        self._tell(replace(settings, classes=settings.classes + dropped))
        if dropped:
            self._dropping = asyncio.get_running_loop().call_later(DROPPED_S, self._tell, settings)

    def _tell(self, settings: Settings) -> None:
        """The desk hears of new classes before the fronts take them, and of the end of others after."""
        classes = {c.name: c for c in settings.classes}
        self._post(NewSettings(settings))
        for front in self._fronts:
            front(classes)
