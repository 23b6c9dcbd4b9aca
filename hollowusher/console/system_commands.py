"""`python -m hollowusher system ...`: operate a running system over any edge process's admin address.

Exit codes: 0 success, 1 rejected (or the configuration file is invalid), 2 wrong usage, 3 no definite
response, 4 `status --check` found problems.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn, TypeVar
from urllib.parse import quote

import aiohttp
import click
import orjson
from expression import Error, Ok, Result

from hollowusher.configuration.checks import check_document, is_host_port
from hollowusher.console.admin_client import AdminCallError, AdminClient, AdminResponse
from hollowusher.console.status_tables import (
    find_problems,
    format_configuration,
    format_members,
    format_message,
    format_system_status,
    system_status_document,
)
from hollowusher.console.system_status import SystemStatus, collect_system_status

EXIT_REJECTED, EXIT_USAGE, EXIT_NO_ANSWER, EXIT_PROBLEMS = 1, 2, 3, 4
ADDRESS_VARIABLE = "HOLLOWUSHER_AT"
CHANGE_TIMEOUT_S = 15.0
RETIRE_POLL_S = 1.0
DEFAULT_DURATION_S = 30.0
Value = TypeVar("Value")
UseClient = Callable[[AdminClient], Awaitable[Value]]


def _read_addresses(context: click.Context, option: click.Parameter, value: tuple[str, ...]) -> list[str]:
    addresses = [address for text in value for address in text.replace(",", " ").split()]
    for address in addresses:
        if not is_host_port(address):
            raise click.BadParameter(f"{address!r} is not HOST:PORT")
    return addresses


_addresses_option = click.option(
    "--at",
    "addresses",
    multiple=True,
    required=True,
    envvar=ADDRESS_VARIABLE,
    callback=_read_addresses,
    metavar="HOST:PORT",
    help=f"Admin address of an edge process; several are tried in turn [{ADDRESS_VARIABLE}].",
)
_json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of tables.")
_file_argument = click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))


@click.group()
def system() -> None:
    """Operate a running system over any edge process's admin address."""


@system.command()
@_addresses_option
@_json_option
@click.option("--all", "ask_all", is_flag=True, help="Query all edge processes and stores.")
@click.option("--check", is_flag=True, help=f"Exit with {EXIT_PROBLEMS} if there are problems.")
def status(addresses: list[str], as_json: bool, ask_all: bool, check: bool) -> None:
    """Show the view, the chain, the placement, the processes and the problems."""
    system_status = _collect_status(addresses, ask_all)
    _print(system_status_document(system_status) if as_json else format_system_status(system_status))
    if check and find_problems(system_status):
        raise SystemExit(EXIT_PROBLEMS)


@system.command()
@_addresses_option
@_json_option
def members(addresses: list[str], as_json: bool) -> None:
    """Show the processes of the system."""
    system_status = _collect_status(addresses, False)
    _print(system_status.report.members if as_json else format_members(system_status.report))


@system.group()
def config() -> None:
    """Read, check and change the configuration."""


@config.command("get")
@_addresses_option
@_json_option
def get_config(addresses: list[str], as_json: bool) -> None:
    """Show the configuration in force; with --json the document itself."""
    answer = _request(addresses, lambda client: client.request("GET", "/config"))
    if not answer.is_success:
        _fail_rejected(answer)
    if as_json:
        click.echo(answer.body)
    else:
        _print(format_configuration(answer.json_value()))


@config.command("put")
@_file_argument
@_addresses_option
@_json_option
@click.option("--if-match", type=click.IntRange(0), help="The generation to change [the current one].")
@click.option("--patch", is_flag=True, help="FILE holds `upsert` and `delete` only.")
def put_config(file: Path, addresses: list[str], as_json: bool, if_match: int | None, patch: bool) -> None:
    """Replace or patch the configuration with FILE."""
    body = file.read_bytes()

    async def put(client: AdminClient) -> Result[AdminResponse, AdminCallError]:
        version = Ok(if_match) if if_match is not None else await _version_in_force(client)
        if version.is_error():
            return Error(version.error)
        return await client.request(
            "PATCH" if patch else "PUT",
            "/config",
            body=body,
            headers={"If-Match": str(version.ok)},
            within_s=CHANGE_TIMEOUT_S,
        )

    answer = _request(addresses, put)
    if not answer.is_success:
        _fail_rejected(answer)
    _print(answer.json_value() if as_json else f"generation {answer.json_value()['generation']} is in force")


@config.command("check")
@_file_argument
@_json_option
def check_config(file: Path, as_json: bool) -> None:
    """Validate the complete configuration in FILE; needs no running system."""
    try:
        document = orjson.loads(file.read_bytes())
    except orjson.JSONDecodeError as error:
        _fail(EXIT_REJECTED, f"{file.name}: not JSON: {error}")
    if not isinstance(document, dict):
        _fail(EXIT_REJECTED, f"{file.name}: not an object")
    checked = check_document(document)
    if checked.is_error():
        _fail(EXIT_REJECTED, f"{file.name}: {checked.error}")
    valid = checked.ok
    counts = {"generation": valid.generation, "routes": len(valid.routes), "services": len(valid.upstreams)}
    _print(
        counts
        if as_json
        else f"{file.name}: in order: generation {valid.generation}, {len(valid.routes)} routes, "
        f"{len(valid.upstreams)} services"
    )


@system.group()
def message() -> None:
    """Show single messages."""


@message.command("show")
@click.argument("reference")
@_addresses_option
@_json_option
def show_message(reference: str, addresses: list[str], as_json: bool) -> None:
    """Show the state of the message REFERENCE (the X-Message-Ref header of its 202 response)."""
    answer = _request(
        addresses, lambda client: client.request("GET", f"/messages/{quote(reference, safe='')}")
    )
    if not answer.is_success:
        _fail_rejected(answer)
    _print(answer.json_value() if as_json else format_message(answer.json_value()))


@system.command()
@click.argument("node")
@_addresses_option
@_json_option
@click.option(
    "--duration",
    type=click.FloatRange(0),
    default=DEFAULT_DURATION_S,
    show_default=True,
    help="Time limit in seconds.",
)
@click.option("--wait", is_flag=True, help="Wait until the machine is empty.")
def retire(node: str, addresses: list[str], as_json: bool, duration: float, wait: bool) -> None:
    """Move all replicas off the store machine NODE, so that it can be removed with its disk."""
    path = f"/retire/{quote(node, safe='')}"
    body = orjson.dumps({"durationS": duration})

    async def order(client: AdminClient) -> Result[AdminResponse, AdminCallError]:
        result = await client.request("POST", path, body=body, within_s=CHANGE_TIMEOUT_S)
        while wait and result.is_ok() and result.ok.is_success and _progress(result.ok) != "completed":
            await asyncio.sleep(RETIRE_POLL_S)
            result = await client.request("GET", path, within_s=CHANGE_TIMEOUT_S)
        return result

    answer = _request(addresses, order)
    if not answer.is_success:
        _fail_rejected(answer)
    _print(answer.json_value() if as_json else f"{node}: {_progress(answer)}")


@system.command("recover-partition")
@click.argument("partition", type=click.IntRange(0))
@click.option(
    "--accept-loss",
    "lost_replicas",
    multiple=True,
    required=True,
    metavar="STORE_ID",
    help="A replica to abandon permanently; every replica that is not alive must be named.",
)
@click.option("--yes", "confirmed", is_flag=True, help="Do not ask for confirmation.")
@_addresses_option
@_json_option
def recover_partition(
    partition: int, lost_replicas: tuple[str, ...], confirmed: bool, addresses: list[str], as_json: bool
) -> None:
    """Recover a PARTITION that has lost its majority from its remaining replicas.

    Messages that only the abandoned replicas stored are lost.  `status` shows which partitions are lost."""
    if not confirmed:
        replicas = ", ".join(lost_replicas)
        question = f"Messages that only {replicas} held will be lost.  Recover partition {partition}?"
        click.confirm(question, abort=True, err=True)
    path = f"/recover-partition/{partition}"
    body = orjson.dumps({"acceptLossOf": list(lost_replicas)})
    result = _run(addresses, lambda client: client.request_once("POST", path, body, CHANGE_TIMEOUT_S))
    if result.is_error():
        _fail(EXIT_NO_ANSWER, f"{result.error}; {_outcome_text(result.error)}")
    if not result.ok.is_success:
        _fail_rejected(result.ok)
    _print(result.ok.json_value() if as_json else f"partition {partition}: goes on with what is left")


def _outcome_text(error: AdminCallError) -> str:
    """Describe the possible outcome of an order without a definite response."""
    if not error.sent:
        return "nothing was changed"
    return "it may have been done: check `system status` before you repeat the order"


def _progress(answer: AdminResponse) -> str:
    document = answer.json_value()
    return str(document.get("state")) if isinstance(document, dict) else ""


async def _version_in_force(client: AdminClient) -> Result[int, AdminCallError]:
    """Read the current generation from the system, 0 if there is no configuration yet."""
    result = await client.request("GET", "/config")
    if result.is_error():
        return Error(result.error)
    document = result.ok.json_value()
    return Ok(int(document["generation"]) if result.ok.is_success and isinstance(document, dict) else 0)


def _collect_status(addresses: list[str], ask_all: bool) -> SystemStatus:
    result = _run(addresses, lambda client: collect_system_status(client, ask_all))
    if result.is_error():
        _fail(EXIT_NO_ANSWER, str(result.error))
    return result.ok


def _request(
    addresses: list[str], use_client: UseClient[Result[AdminResponse, AdminCallError]]
) -> AdminResponse:
    """Return the definite response of `use_client`; without one, exit with `EXIT_NO_ANSWER`."""
    result = _run(addresses, use_client)
    if result.is_error():
        _fail(EXIT_NO_ANSWER, str(result.error))
    return result.ok


def _run(addresses: list[str], use_client: UseClient[Value]) -> Value:
    async def run() -> Value:
        async with aiohttp.ClientSession() as session:
            return await use_client(AdminClient(session, addresses))

    return asyncio.run(run())


def _print(value: Any) -> None:
    """Print a text unchanged, and any other value as JSON."""
    click.echo(value if isinstance(value, str) else orjson.dumps(value, option=orjson.OPT_INDENT_2))


def _fail_rejected(answer: AdminResponse) -> NoReturn:
    _fail(EXIT_REJECTED, f"refused ({answer.status}) by {answer.peer}: {answer.reason}")


def _fail(code: int, text: str) -> NoReturn:
    click.echo(f"hollowusher: {text}", err=True)
    raise SystemExit(code)
