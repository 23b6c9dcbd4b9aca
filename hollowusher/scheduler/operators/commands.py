"""`hollowusher ready`, `vars`, `detach`, `attach`: the operators' calls from the command line."""

from __future__ import annotations

import asyncio
from urllib.parse import urlencode

import click

from hollowusher.scheduler.operators.server import ATTACH, DETACH, FIGURES, READY, call
from hollowusher.scheduler.settings.model import parse_address

_AT = click.option(
    "--at",
    "where",
    envvar="PROXY_ADMIN_ADDR",
    required=True,
    metavar="HOST:PORT",
    help="The operators' address of the process; else as PROXY_ADMIN_ADDR has it.",
)
_WORKER = click.argument("worker")


def _ask(where: str, method: str, target: str) -> str:
    """The body of a yes; a no, and no answer at all, end the command with 1."""
    try:
        status, body = asyncio.run(call(parse_address(where), method, target))
    except ValueError:
        raise click.ClickException(f"{where!r} is not HOST:PORT") from None
    except (OSError, TimeoutError) as wrong:
        raise click.ClickException(f"no answer from {where}: {wrong or type(wrong).__name__}") from None
    text = body.decode("utf-8", "replace").rstrip("\n")
    if status // 100 != 2:
        raise click.ClickException(f"no ({status}): {text}")
    return text


@click.command()
@_AT
def ready(where: str) -> None:
    """Whether the process takes clients; ends with 1 where it does not."""
    click.echo(_ask(where, "GET", READY))


@click.command(name="vars")
@_AT
def figures(where: str) -> None:
    """The figures of the process."""
    click.echo(_ask(where, "GET", FIGURES))


@click.command()
@_WORKER
@_AT
def detach(worker: str, where: str) -> None:
    """Send nothing more to a worker, until it is attached again."""
    click.echo(_ask(where, "PUT", f"{DETACH}?{urlencode({'name': worker})}"))


@click.command()
@_WORKER
@_AT
def attach(worker: str, where: str) -> None:
    """Let a worker serve again."""
    click.echo(_ask(where, "PUT", f"{ATTACH}?{urlencode({'name': worker})}"))
