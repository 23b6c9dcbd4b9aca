"""`python -m hollowusher local`: start a small system, send messages through it and show their outcomes."""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
import tempfile
import time
from collections.abc import Awaitable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TypeVar

import aiohttp
import click
import orjson

from hollowusher.console.admin_client import AdminCallError, AdminClient
from hollowusher.console.local.layout import EDGE, LayoutError, LocalLayout, make_layout, write_settings
from hollowusher.console.local.processes import LocalProcesses, ProcessEnded
from hollowusher.console.local.stub_services import (
    StubCallbackReceiver,
    StubInstance,
    StubPlatform,
    StubPullWorker,
    StubPushWorker,
    StubWorkerHistory,
)
from hollowusher.console.local.traffic import (
    TRAFFIC_CLASSES,
    TrafficClient,
    find_failures,
    format_messages,
    format_summary,
    make_configuration,
    plan_messages,
)

START_TIMEOUT_S = 40.0
OUTCOME_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
PUSH_WORKERS = 3
PULL_WORKERS = 4
CAPACITY = 4
EXIT_FAILED = 1
Value = TypeVar("Value")


class LocalError(Exception):
    """The local system did not start, or a message did not have the expected outcome; the text says why."""


@click.command("local")
@click.option("--edges", type=click.IntRange(3, 9), default=3, show_default=True, help="Edge processes.")
@click.option("--stores", type=click.IntRange(3, 9), default=3, show_default=True, help="Store processes.")
@click.option("--messages", type=click.IntRange(1, 10_000), default=50, show_default=True)
@click.option("--each", "show_each", is_flag=True, help="Show a line for each message.")
@click.option("--keep", is_flag=True, help="Leave the system running until Ctrl-C.")
def local(edges: int, stores: int, messages: int, show_each: bool, keep: bool) -> None:
    """Start a small but complete system on loopback, send messages through it and show their outcomes.

    The system consists of real processes of both roles.  This command itself contains stubs for the
    platform's worker list, the workers and a callback receiver.  All files are in a temporary folder, which
    is removed at the end unless a failure occurs."""
    folder = Path(tempfile.mkdtemp(prefix="hollowusher-local-"))
    try:
        asyncio.run(_run(folder, edges, stores, messages, show_each, keep))
    except (LocalError, LayoutError, ProcessEnded) as failure:
        click.echo(f"failed: {failure}", err=True)
        click.echo(f"logs and settings: {folder}", err=True)
        raise SystemExit(EXIT_FAILED) from None
    shutil.rmtree(folder)


async def _run(folder: Path, edges: int, stores: int, messages: int, show_each: bool, keep: bool) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    work = loop.create_task(_run_session(folder, edges, stores, messages, show_each, stop if keep else None))
    stopped = loop.create_task(stop.wait())
    await asyncio.wait({work, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if not work.done() and not keep:
        work.cancel()
    stopped.cancel()
    try:
        await work
    except asyncio.CancelledError:
        raise LocalError("stopped") from None


async def _run_session(
    folder: Path, edges: int, stores: int, messages: int, show_each: bool, keep_until: asyncio.Event | None
) -> None:
    """Run the system and the messages once; with `keep_until`, keep the system running until it is set."""
    random_source = random.Random()
    progress = ProgressLines()
    layout = make_layout(edges, stores, random_source)
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        stubs = StubServices(layout, session, random_source)
        stack.push_async_callback(stubs.stop)
        await stubs.start()
        settings = write_settings(layout, folder, stubs.platform.address)
        processes = LocalProcesses(layout, folder, settings)
        stack.push_async_callback(_stop_processes, processes, progress)
        processes.start()
        progress.show(f"{edges} edge and {stores} store processes started, files in {folder}")
        await _configure(layout, session, processes, stubs)
        progress.show(f"configuration accepted: {len(TRAFFIC_CLASSES)} routes")
        await _wait_ready(layout, session, processes)
        progress.show("every edge process is ready")
        sent = plan_messages(messages, stubs.receiver.address)
        traffic = TrafficClient(session, stubs.frontends, random_source)
        await _while_processes_run(processes, traffic.send(sent))
        progress.show(f"{messages} messages sent")
        await _while_processes_run(processes, traffic.follow(sent, stubs.receiver, OUTCOME_TIMEOUT_S))
        progress.show("outcomes of the messages read")
        if show_each:
            click.echo(format_messages(sent, stubs.history) + "\n")
        click.echo(format_summary(sent))
        failures = find_failures(sent, stubs.history, stubs.receiver)
        if keep_until is not None:
            _print_next_steps(layout)
            await keep_until.wait()
    if failures:
        raise LocalError("\n".join(failures))


class ProgressLines:
    """Prints progress lines with the seconds since the start to standard error."""

    def __init__(self) -> None:
        self._started = time.monotonic()

    def show(self, text: str) -> None:
        """Print one line."""
        click.echo(f"{time.monotonic() - self._started:6.1f} s  {text}", err=True)


class StubServices:
    """The stubs of all external services: platform, callback receiver and workers."""

    def __init__(
        self, layout: LocalLayout, session: aiohttp.ClientSession, random_source: random.Random
    ) -> None:
        ip = layout.stand_in_ip
        push, pull, fixed = (traffic_class.service for traffic_class in TRAFFIC_CLASSES)
        self.history = StubWorkerHistory()
        self.platform = StubPlatform(ip)
        self.receiver = StubCallbackReceiver(ip)
        self.fixed = StubPushWorker(ip, f"{fixed}-1", self.history)
        self.frontends = [machine.address("frontend") for machine in layout.of_role(EDGE)]
        self._push = [
            StubPushWorker(ip, f"{push}-{number}", self.history) for number in range(1, PUSH_WORKERS + 1)
        ]
        self._pull = [
            StubPullWorker(f"{pull}-{number}", pull, self.frontends, self.history, session, random_source)
            for number in range(1, PULL_WORKERS + 1)
        ]
        self._service = push
        self._zones = [machine.zone for machine in layout.machines]
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the servers, list the push workers on the platform, and start the pull workers."""
        for server in (self.platform, self.receiver, self.fixed, *self._push):
            await server.start()
        self.platform.workers = [
            StubInstance(worker.name, self._service, worker.address, zone, CAPACITY)
            for worker, zone in zip(self._push, self._zones, strict=False)
        ]
        self._tasks = [asyncio.get_running_loop().create_task(worker.run()) for worker in self._pull]

    async def stop(self) -> None:
        """Stop the pull workers and the servers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in (*self._push, self.fixed, self.receiver, self.platform):
            await server.stop()


async def _configure(
    layout: LocalLayout, session: aiohttp.ClientSession, processes: LocalProcesses, stubs: StubServices
) -> None:
    """Send the configuration, with retries until the system accepts it."""
    client = AdminClient(session, [machine.address("admin") for machine in layout.of_role(EDGE)])
    body = orjson.dumps(make_configuration(stubs.fixed.address))
    result = await _while_processes_run(
        processes,
        client.request("PUT", "/config", body=body, headers={"If-Match": "0"}, within_s=START_TIMEOUT_S),
    )
    if result.is_error():
        failure: AdminCallError = result.error
        raise LocalError(f"no process accepted the configuration: {failure}")
    if not result.ok.is_success:
        raise LocalError(f"the configuration was rejected: {result.ok.reason}")


async def _wait_ready(layout: LocalLayout, session: aiohttp.ClientSession, processes: LocalProcesses) -> None:
    """Wait until the readiness check of every edge process succeeds."""
    client = AdminClient(session, [])
    deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
    for machine in layout.of_role(EDGE):
        while True:
            processes.check()
            answer = await client.get_from(machine.address("readiness"), "/readyz", 1.0)
            if answer.is_ok() and answer.ok.is_success:
                break
            if asyncio.get_running_loop().time() > deadline:
                raise LocalError(f"{machine.name} is not ready within {START_TIMEOUT_S:g} s")
            await asyncio.sleep(POLL_INTERVAL_S)


async def _while_processes_run(processes: LocalProcesses, work: Awaitable[Value]) -> Value:
    """Run an awaitable; raise `ProcessEnded` and cancel it if a process of the system ends meanwhile."""
    task = asyncio.ensure_future(work)
    try:
        while not task.done():
            processes.check()
            await asyncio.wait({task}, timeout=POLL_INTERVAL_S)
    finally:
        task.cancel()
    return task.result()


async def _stop_processes(processes: LocalProcesses, progress: ProgressLines) -> None:
    failed = await asyncio.to_thread(processes.stop)
    progress.show("all processes have ended" + (f", in disorder: {', '.join(failed)}" if failed else ""))


def _print_next_steps(layout: LocalLayout) -> None:
    admin = layout.of_role(EDGE)[0].address("admin")
    click.echo(
        f"\nThe system keeps running until Ctrl-C.  In another terminal:\n"
        f"    export HOLLOWUSHER_AT={admin}\n"
        f"    python -m hollowusher system status"
    )
