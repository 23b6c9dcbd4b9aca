"""A new configuration while the program runs: what SIGHUP asks for."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import fields

from hollowusher.config import Config
from hollowusher.settings.model import ConfigError
from hollowusher.log import Log

TOLD_ONCE = ("known", "seed")  # news at a start only: a running scheduler knows better


class Reloads:
    """Reads the configuration again when asked, and has what changed followed.

    A file that cannot be used changes nothing: the jobs that are open must not pay for a slip of the pen.
    """

    def __init__(
        self, config: Config, read: Callable[[], Config],
        follow: Mapping[str, Callable[[Config], None]], log: Log,
    ) -> None:
        """`follow`: what is done about a key that changed; the others need a restart."""
        self._config, self._read, self._follow, self._log = config, read, follow, log

    async def follow(self, again: asyncio.Event) -> None:
        """Read it each time `again` is set, until cancelled; asked twice while it reads, it reads twice."""
        while True:
            await again.wait()
            again.clear()
            try:
                self._take(self._read())
            except ConfigError as wrong:
                self._log.error("reload-refused", f"{wrong}; the configuration stays as it was")

    def _take(self, new: Config) -> None:
        changed = [f.name for f in fields(new) if getattr(new, f.name) != getattr(self._config, f.name)]
        restart = [name for name in changed if name not in (*self._follow, *TOLD_ONCE)]
        if restart:
            self._log.warning("reload-partly", "some new values need a restart", keys=" ".join(restart))
        where = f"{new.discovery[0]}:{new.discovery[1]}"
        self._log.notice("reloaded", "the configuration was read again", discovery=where)
        for name in self._follow.keys() & set(changed):
            self._follow[name](new)
        self._config = new
