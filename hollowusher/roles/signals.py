"""Signals and changes of the settings file, for any role.

SIGTERM asks for an orderly end.  SIGHUP says that the settings file has changed; as it may also change
without a signal, its time of change is looked at now and then.  A file that cannot be used changes nothing.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable

from hollowusher.configuration.boot import BootSettings, SettingsError, read_settings
from hollowusher.log_events import SettingsRejected, SettingsReloaded
from hollowusher.roles.logs import log

CHECK_INTERVAL_S = 2.0


class SettingsWatcher:
    """Follows the settings file; `on_change` is called with each new content that is in order."""

    def __init__(self, path: str, settings: BootSettings, on_change: Callable[[BootSettings], None]) -> None:
        self.settings = settings
        self.rejected_count = 0
        self._path = path
        self._on_change = on_change
        self._file_version = self._read_file_version()

    def reload(self) -> None:
        """Read the file again; a fault is logged and changes nothing."""
        self._file_version = self._read_file_version()
        try:
            settings = read_settings(self._path)
        except SettingsError as error:
            self.rejected_count += 1
            log(SettingsRejected(reason=str(error)))
            return
        if settings != self.settings:
            self.settings = settings
            log(SettingsReloaded())
            self._on_change(settings)

    async def run(self) -> None:
        """Look at the file's time of change now and then."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._read_file_version() != self._file_version:
                self.reload()

    def _read_file_version(self) -> tuple[int, int]:
        try:
            status = os.stat(self._path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size


def install_signal_handlers(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call `stop` at SIGTERM or SIGINT and `reload` at SIGHUP."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
