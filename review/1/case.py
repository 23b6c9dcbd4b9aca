"""Case 1: after a route's time-out was raised, a message runs again after its success, without end."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from support.case import TROUBLE, run_case
from support.system import CouldNotRun, Record, System, configuration, route, service
from support.workers import Listed, Platform, Run, Worker

HOST = "boye61.example"
OLD_MS, NEW_MS = 2_500, 12_000
WORK_S = 8.0  # how long each message takes; less than the new time-out
MESSAGES = 3
DELAY_MS = 6_000  # the messages are due after the change has been applied everywhere
CALM_S = 4.5  # contactMs and a little more
WATCH_S = 42.0
ROUTES = {ms: [route("r-exports", "/export/", "exports", timeoutMs=ms)] for ms in (OLD_MS, NEW_MS)}


async def scenario(system: System, record: Record) -> bool:
    """Send messages that are due later, raise their route's time-out, and watch the workers."""
    runs: list[Run] = []
    platform = Platform(system.outside_ip)
    await platform.server.start()
    for zone in "abc":
        worker = Worker(f"i-{zone}", system.outside_ip, record, runs, lambda _request: WORK_S)
        await worker.server.start()
        platform.workers.append(
            Listed(worker.name, "exports", worker.server.address, f"zone-{zone}", worker.capacity)
        )
    system.start(platform.server.address)
    first = ROUTES[OLD_MS if TROUBLE else NEW_MS]
    await system.order("PUT", configuration(1, first, [service("exports")]), 0)
    await system.ready()
    await asyncio.sleep(CALM_S)
    references = {}
    for number in range(1, MESSAGES + 1):
        answer = await system.send(
            f"edge-{number}", HOST, "/export/day", f"m{number}", X_Delay_Ms=str(DELAY_MS)
        )
        if answer is None or answer.status != 202:
            raise CouldNotRun(f"m{number} was not accepted")
        references[f"m{number}"] = answer.headers["x-message-ref"]
    await system.order("PATCH", {"generation": 2, "upsert": {"routes": ROUTES[NEW_MS]}}, 1)
    await asyncio.sleep(WATCH_S)
    for message, reference in references.items():
        record.line(f"state of {message}: {await system.state('edge-1', HOST, reference)}")
    if system.codes():
        raise CouldNotRun(f"processes ended: {system.codes()}")
    if not any(run.status == 200 for run in runs):
        raise CouldNotRun("no message was run")
    return is_broken(record, runs)


def is_broken(record: Record, runs: list[Run]) -> bool:
    """TWICE: a message runs again after a success that was complete 50 ms before the time-out."""
    broken = False
    for message in sorted({run.message for run in runs}):
        mine = [run for run in runs if run.message == message]
        successes = [
            run
            for run in mine
            if run.status == 200 and (run.ended - run.started) * 1000 < run.deadline_ms - 50
        ]
        again = [run for run in mine if successes and run.started > successes[0].ended]
        record.line(
            f"{message}: {len(mine)} runs, {len(successes)} successes, {len(again)} begun after the first one"
        )
        broken = broken or bool(again)
    return broken


if __name__ == "__main__":
    run_case(HERE, scenario)
