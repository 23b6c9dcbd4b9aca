"""The command line for edge and store processes: `python -m hollowusher local` and `... system`."""

from __future__ import annotations

import click

from hollowusher.console.local.command import local
from hollowusher.console.system_commands import system


@click.group()
def cli() -> None:
    """The whole service: operate a running system, or start a small one here."""


cli.add_command(local)
cli.add_command(system)
