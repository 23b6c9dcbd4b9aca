"""Starts one scheduler: `python -m hollowusher`."""

from __future__ import annotations

import signal
import sys

import uvloop

from hollowusher.app import serve
from hollowusher.config import load
from hollowusher.log import Log
from hollowusher.settings.model import ConfigError


def main() -> int:
    """The exit code."""
    # A SIGHUP that comes before the program can act on it, or as it ends, must wait and not end it.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = load()
    except ConfigError as wrong:
        log = Log("-")
        log.error("config", str(wrong))
        log.close()
        return 2
    log = Log(config.name, forward=config.syslog)
    uvloop.run(serve(config, log))
    log.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
