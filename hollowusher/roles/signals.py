"""Signal handlers and reloading of the settings file, for all roles.

SIGTERM and SIGINT start an orderly shutdown.  SIGHUP reloads the settings file.  The file may also change
without a signal, so its modification time and size are checked periodically.  If the file is invalid, the
previous settings stay in use.
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
    """Watches the settings file and calls `on_change` with the new settings when they change."""

    def __init__(self, path: str, settings: BootSettings, on_change: Callable[[BootSettings], None]) -> None:
        self.settings = settings
        self.rejected_count = 0
        self._path = path
        self._on_change = on_change
        self._file_version = self._read_file_version()

    def reload(self) -> None:
        """Read the file again; if it is invalid, log that and keep the previous settings."""
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
        """Check the modification time and size of the file every `CHECK_INTERVAL_S` seconds."""
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
    """Call `stop` on SIGTERM or SIGINT, and `reload` on SIGHUP."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
