"""Reloads the configuration of the running process on SIGHUP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import fields

from hollowusher.scheduler.config import SchedulerConfig
from hollowusher.scheduler.dispatch.metrics import SchedulerMetrics
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.settings.model import ConfigError
from hollowusher.scheduler.settings.platform import missing_keys

REPORTED_ONCE = ("known", "seed", "table")  # used only at startup: a running scheduler has newer state


class Reloads:
    """Reads the configuration again on request and applies the changed values.

    An invalid file changes nothing, so that a typing error in it cannot affect open jobs.
    """

    def __init__(
        self,
        config: SchedulerConfig,
        read: Callable[[], SchedulerConfig],
        follow: Mapping[str, Callable[[SchedulerConfig], None]],
        log: LogWriter,
        figures: SchedulerMetrics | None = None,
    ) -> None:
        """`follow` maps a field of SchedulerConfig to the function that applies its new value; all other
        fields need a restart, except those in REPORTED_ONCE."""
        self._config, self._read, self._follow, self._log = config, read, follow, log
        self._figures = figures or SchedulerMetrics()

    async def follow(self, again: asyncio.Event) -> None:
        """Reload each time `again` is set, until cancelled; a request during a reload causes another one."""
        while True:
            await again.wait()
            again.clear()
            try:
                new = self._read()
                for key in missing_keys(self._config.table, new.table):  # reports only the first missing key
                    raise ConfigError(f"{key}: is missing, but the previous configuration had it")
            except (ConfigError, ValueError, RecursionError) as wrong:
                self._figures.reloads_failed += 1
                self._log.error("reload-refused", f"{wrong}; the previous configuration stays in effect")
                continue
            self._apply_changes(new)
            self._figures.reloads_ok += 1

    def _apply_changes(self, new: SchedulerConfig) -> None:
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
