"""The commands `hollowusher ready`, `vars`, `detach` and `attach`, which call the operators' interface."""

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
    help="The operators' address of the process; default: the value of PROXY_ADMIN_ADDR.",
)
_WORKER = click.argument("worker")


def _request(where: str, method: str, target: str) -> str:
    """Send one request and return the body; an error status or a missing response ends the command with 1."""
    try:
        status, body = asyncio.run(call(parse_address(where), method, target))
    except ValueError:
        raise click.ClickException(f"{where!r} is not HOST:PORT") from None
    except (OSError, TimeoutError) as wrong:
        raise click.ClickException(f"no answer from {where}: {wrong or type(wrong).__name__}") from None
    text = body.decode("utf-8", "replace").rstrip("\n")
    if status // 100 != 2:
        raise click.ClickException(f"the scheduler rejected the request with status {status}: {text}")
    return text


@click.command()
@_AT
def ready(where: str) -> None:
    """Check whether the process accepts clients; the exit code is 1 if it does not."""
    click.echo(_request(where, "GET", READY))


@click.command(name="vars")
@_AT
def figures(where: str) -> None:
    """Print the metrics of the process."""
    click.echo(_request(where, "GET", FIGURES))


@click.command()
@_WORKER
@_AT
def detach(worker: str, where: str) -> None:
    """Send no new jobs to a worker until it is attached again."""
    click.echo(_request(where, "PUT", f"{DETACH}?{urlencode({'name': worker})}"))


@click.command()
@_WORKER
@_AT
def attach(worker: str, where: str) -> None:
    """Send jobs to a detached worker again."""
    click.echo(_request(where, "PUT", f"{ATTACH}?{urlencode({'name': worker})}"))
