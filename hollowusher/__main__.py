"""Starts one scheduler: `python -m hollowusher`; with words, the command line."""

from __future__ import annotations

import signal
import sys

import uvloop

from hollowusher.app import serve
from hollowusher.config import load
from hollowusher.log import Log
from hollowusher.settings.model import ConfigError


def main(words: list[str] | None = None) -> int:
    """The exit code.  With words it is the command line, which is not even imported without."""
    if sys.argv[1:] if words is None else words:
        try:
            from hollowusher.cli import cli
        except ModuleNotFoundError as missing:
            print(f"hollowusher: {missing.name} is not installed: the command line needs what "
                  "requirements-tools.txt lists", file=sys.stderr)
            return 2
        cli(words, prog_name="hollowusher")
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
