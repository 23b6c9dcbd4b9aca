"""Entry point: `python -m hollowusher` runs the scheduler; with arguments it runs a role or a command."""

from __future__ import annotations

import signal
import sys

ROLES = ("edge", "store")
# Commands for the service of edge and store processes; every other command belongs to the scheduler.
CONSOLE_COMMANDS = ("local", "system")


def main(words: list[str] | None = None) -> int:
    """Run the scheduler, a role or a command, and return the exit code.

    The command line is imported only if there are arguments.
    """
    given = sys.argv[1:] if words is None else words
    if not given:
        # SIGHUP is blocked because its default action would end the process during the imports or the exit.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        from hollowusher.scheduler.app import run

        return run()
    if given[0] in ROLES:  # the roles in deploy/system.toml; the scheduler does not need their libraries
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
            f"hollowusher: {missing.name} is not installed: commands need the packages that {needs} lists",
            file=sys.stderr,
        )
        return 2
    return int(cli(words, prog_name="hollowusher") or 0)


if __name__ == "__main__":
    sys.exit(main())
