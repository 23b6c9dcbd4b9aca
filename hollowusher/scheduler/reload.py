"""A new configuration while the program runs: what SIGHUP asks for."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import fields

from hollowusher.scheduler.config import SchedulerConfig
from hollowusher.scheduler.dispatch.metrics import SchedulerMetrics
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.settings.model import ConfigError
from hollowusher.scheduler.settings.platform import lost_keys

REPORTED_ONCE = ("known", "seed", "table")  # news at a start only: a running scheduler knows better


class Reloads:
    """Reads the configuration again when asked, and has what changed followed.

    A file that cannot be used changes nothing: the jobs that are open must not pay for a slip of the pen.
    """

    def __init__(
        self,
        config: SchedulerConfig,
        read: Callable[[], SchedulerConfig],
        follow: Mapping[str, Callable[[SchedulerConfig], None]],
        log: LogWriter,
        figures: SchedulerMetrics | None = None,
    ) -> None:
        """`follow`: what is done about a key that changed; the others need a restart."""
        self._config, self._read, self._follow, self._log = config, read, follow, log
        self._figures = figures or SchedulerMetrics()

    async def follow(self, again: asyncio.Event) -> None:
        """Read it each time `again` is set, until cancelled; asked twice while it reads, it reads twice."""
        while True:
            await again.wait()
            again.clear()
            try:
                new = self._read()
                for key in lost_keys(self._config.table, new.table):  # the first of them
                    raise ConfigError(f"{key}: is missing, and was there before")
            except (ConfigError, ValueError, RecursionError) as wrong:
                self._figures.reloads_failed += 1
                self._log.error("reload-refused", f"{wrong}; the configuration stays as it was")
                continue
            self._take(new)
            self._figures.reloads_ok += 1

    def _take(self, new: SchedulerConfig) -> None:
        changed = [
            f.name for f in fields(new) if f.compare and getattr(new, f.name) != getattr(self._config, f.name)
        ]
        restart = [name for name in changed if name not in (*self._follow, *REPORTED_ONCE)]
        if restart:
            self._log.warning("reload-partly", "some new values need a restart", keys=" ".join(restart))
        where = f"{new.discovery[0]}:{new.discovery[1]}"
        self._log.notice("reloaded", "the configuration was read again", discovery=where)
        for name in self._follow.keys() & set(changed):
            self._follow[name](new)
        self._config = new
