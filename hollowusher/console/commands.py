"""The command line of the whole service: `python -m hollowusher local` and `python -m hollowusher system`."""

from __future__ import annotations

import click

from hollowusher.console.local.command import local
from hollowusher.console.system_commands import system


@click.group()
def cli() -> None:
    """The whole service: operate a running system, or start a small one here."""


cli.add_command(local)
cli.add_command(system)
