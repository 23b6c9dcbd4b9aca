"""Starts one scheduler: `python -m hollowusher`; with words, the command line."""

from __future__ import annotations

import signal
import sys

ROLES = ("edge", "store")
CONSOLE_COMMANDS = ("local", "system")  # the whole service's commands


def main(words: list[str] | None = None) -> int:
    """The exit code.  With words it is the command line, which is not even imported without."""
    given = sys.argv[1:] if words is None else words
    if not given:
        # A SIGHUP that comes while the rest is imported, or as the program ends, must wait and not end it.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        from hollowusher.scheduler.app import run  # the scheduler in service

        return run()
    if given[0] in ROLES:  # the roles of deploy/system.toml, whose libraries `run` does not need
        from hollowusher.roles.run_role import run_role

        return run_role(given[0])
    needs = "requirements-system.txt" if given[0] in CONSOLE_COMMANDS else "requirements-tools.txt"
    try:
        if given[0] in CONSOLE_COMMANDS:
            from hollowusher.console.commands import cli
        else:
            from hollowusher.scheduler.cli import cli
    except ModuleNotFoundError as missing:
        print(
            f"hollowusher: {missing.name} is not installed: the command line needs what {needs} lists",
            file=sys.stderr,
        )
        return 2
    return int(cli(words, prog_name="hollowusher") or 0)


if __name__ == "__main__":
    sys.exit(main())
