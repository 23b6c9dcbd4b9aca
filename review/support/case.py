"""Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from support.system import CouldNotRun, Record, System

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_S = float(os.environ.get("LONGEST_S", "115"))
Scenario = Callable[[System, Record], Awaitable[bool]]  # returns whether the rule was broken


def run_case(folder: Path, scenario: Scenario, *, edges: int = 3, stores: int = 3, **bounds: float) -> None:
    """Start a system, play the scenario, end all processes, and exit with the case's code."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends the processes that were started, too
    try:
        broken = asyncio.run(_play(folder, scenario, lambda record: System(record, edges, stores, **bounds)))
    except CouldNotRun as reason:
        print(f"could not run: {reason}")
        sys.exit(2)
    sys.exit(1 if broken else 0)


async def _play(folder: Path, scenario: Scenario, make_system: Callable[[Record], System]) -> bool:
    record = Record(folder / os.environ.get("RECORD", "record.txt"))
    record.line("with the disruption" if TROUBLE else "without the disruption")
    system = make_system(record)
    try:
        async with asyncio.timeout(LONGEST_S):
            broken = await scenario(system, record)
    except TimeoutError:
        record.line("could not run: it takes too long")
        raise CouldNotRun("it takes too long") from None
    except CouldNotRun as reason:
        record.line(f"could not run: {reason}")
        raise
    finally:
        system.stop()
    record.line("the rule was broken" if broken else "the rule held")
    return broken
