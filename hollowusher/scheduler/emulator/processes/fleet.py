"""The schedulers of a play as processes: their folders, their lines, their lives."""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hollowusher.scheduler.emulator.faults.history import HistoryEntry
from hollowusher.scheduler.emulator.outside import platform_settings
from hollowusher.scheduler.emulator.processes.child import CLOCK
from hollowusher.scheduler.net.reports.listener import ask
from hollowusher.scheduler.settings.model import ConfigError

Address = tuple[str, int]
READY_S, END_S = 20.0, 12.0
STARVED_SLICE_S = 0.2
_LINE = re.compile(
    r"<\d+>1 \S+ \S+ hollowusher \d+ (\S+) "
    r"(?:-|\[[^ \]]+((?: [^ =]+=\"(?:[^\"\\]|\\.)*\")*)\]) ?(.*)"
)
_FIELD = re.compile(r" ([^ =]+)=\"((?:[^\"\\]|\\.)*)\"")
_MEMBER = "member-"


@dataclass(slots=True)
class Scheduler:
    """One scheduler: its place is kept over its processes."""

    name: str
    folder: Path
    listen: Address
    peer_listen: Address
    reports: Address
    peers: dict[str, Address] = field(default_factory=dict)  # where it sends what is meant for each
    later: dict[str, Address] = field(default_factory=dict)  # names that its file may get
    config: dict[str, Any] = field(default_factory=dict)
    more: str = ""  # further sections of its settings file
    process: asyncio.subprocess.Process | None = None
    reading: asyncio.Task[None] | None = None
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    bidden: bool = False
    paused: bool = False
    cpu_s: float = 0.0  # of the processes that ended

    def write(self, names: tuple[str, ...] | None = None) -> None:
        """Its two files."""
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "config.json").write_text(json.dumps(self.config))
        shown = (
            self.peers
            if names is None
            else {n: a for n, a in {**self.peers, **self.later}.items() if n in names}
        )
        lines = [f"[reports]\nlisten {self.reports[0]}:{self.reports[1]}"]
        if self.peers:
            lines.append(f"[peers]\nenabled yes\nlisten {self.peer_listen[0]}:{self.peer_listen[1]}")
            lines += [f"[peer {n}]\naddress {host}:{port}" for n, (host, port) in shown.items()]
        new = self.folder / "hollowusher.conf.new"
        new.write_text("\n".join([*lines, self.more, ""]))
        new.replace(self.folder / "hollowusher.conf")


class ProcessFleet:
    """All schedulers of a play.  `tell` gets what they say, as lines of the history."""

    def __init__(self, tell: Callable[[HistoryEntry], None], clock: Callable[[], float]) -> None:
        self._tell, self._clock = tell, clock
        self.schedulers: dict[str, Scheduler] = {}
        self.twins: list[Scheduler] = []
        self._starving: dict[str, asyncio.Task[None]] = {}

    async def start(self, one: Scheduler, clock_s: float = 0.0) -> None:
        """Start its process; returns once it takes jobs."""
        one.bidden, one.paused, one.ready = False, False, asyncio.Event()
        one.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hollowusher.scheduler.emulator.processes.child",
            stderr=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL,
            env={
                **os.environ,
                "PROXY_CONFIG": str(one.folder / "config.json"),
                CLOCK: str(clock_s),
                "HOLLOWUSHER_CONF": str(one.folder / "hollowusher.conf"),
            },
        )
        self._tell(HistoryEntry(self._clock(), one.name, "started"))
        one.reading = asyncio.create_task(self._read(one, one.process))
        async with asyncio.timeout(READY_S):
            await one.ready.wait()
        if one.process.returncode is not None:
            raise ConfigError(
                f"{one.name}: ended with {one.process.returncode} before it took jobs: {one.folder / 'log'}"
            )

    async def _read(self, one: Scheduler, process: asyncio.subprocess.Process) -> None:
        """Its log lines, until it ends."""
        assert process.stderr is not None
        with (one.folder / "log").open("ab") as log:
            while line := await process.stderr.readline():
                log.write(line)
                self._line(one, line.decode("utf-8", "replace").rstrip())
        code = await process.wait()
        why = "bidden" if one.bidden and code in (0, -signal.SIGKILL) else f"code {code}"
        one.ready.set()  # whoever waits for it waits no longer
        self._tell(HistoryEntry(self._clock(), one.name, "ended", why=why))

    def _line(self, one: Scheduler, line: str) -> None:
        match = _LINE.match(line)
        if match is None:
            self._tell(HistoryEntry(self._clock(), one.name, "said", why=line[:300]))
            return
        what, fields = match[1], dict(_FIELD.findall(match[2] or ""))
        if what == "ready":
            one.ready.set()
        elif what.startswith(_MEMBER):
            self._tell(
                HistoryEntry(
                    self._clock(),
                    one.name,
                    what[len(_MEMBER) :],
                    fields.get("member", ""),
                    match[3],
                    int(fields.get("view", 0)),
                )
            )
        elif what.startswith("shared-"):
            self._tell(
                HistoryEntry(self._clock(), one.name, what, fields.get("node", ""), fields.get("weight", ""))
            )
        elif what.endswith("-fault"):
            self._tell(HistoryEntry(self._clock(), one.name, "fault", why=line[:300]))

    def kill(self, one: Scheduler) -> None:
        """End its process without a word."""
        self._signal(one, signal.SIGKILL, bidden=True)

    async def stop(self, one: Scheduler) -> None:
        """Ask it to end in good order, and wait for it."""
        if one.paused:
            self.pause(one, False)
        self._signal(one, signal.SIGTERM, bidden=True)
        if one.process is not None:
            one.cpu_s += cpu_s(one.process.pid)
        await self.ended(one)

    async def ended(self, one: Scheduler) -> None:
        """Wait until its process is over; one that does not end is killed, which the history shows."""
        if one.reading is None:
            return
        try:
            async with asyncio.timeout(END_S):
                await asyncio.shield(one.reading)
        except TimeoutError:
            one.bidden = False
            self._signal(one, signal.SIGKILL, bidden=False)
            await one.reading

    async def restart(self, one: Scheduler, fresh: bool, clock_s: float) -> None:
        """Start it anew, without its folder's contents where it is to know nothing."""
        if one.process is not None and one.process.returncode is None:
            self.kill(one)
        await self.ended(one)
        if fresh:
            shutil.rmtree(one.folder, ignore_errors=True)
        one.write()
        await self.start(one, clock_s)

    def pause(self, one: Scheduler, whether: bool) -> None:
        """Stop its process, or let it go on."""
        one.paused = whether
        self._signal(one, signal.SIGSTOP if whether else signal.SIGCONT, one.bidden)

    def starve(self, one: Scheduler, share: float | None) -> None:
        """Let it run for that share of the time only; None: all of it again."""
        if (task := self._starving.pop(one.name, None)) is not None:
            task.cancel()
        if share is None:
            self.pause(one, False)
        else:
            self._starving[one.name] = asyncio.create_task(self._starve(one, share))

    async def _starve(self, one: Scheduler, share: float) -> None:
        while True:
            self.pause(one, True)
            await asyncio.sleep((1 - share) * STARVED_SLICE_S)
            self.pause(one, False)
            await asyncio.sleep(share * STARVED_SLICE_S)

    def rename(self, one: Scheduler, names: tuple[str, ...]) -> None:
        """Only these names are configured from now on."""
        one.write(names)
        self._signal(one, signal.SIGHUP, one.bidden)

    async def states(self) -> None:
        """Ask each that runs what it sees; one that does not answer tells nothing."""

        async def state(one: Scheduler) -> None:
            try:
                reported = await ask(one.reports, "members")
            except (OSError, ValueError):
                return
            present = reported.get("present")
            if isinstance(present, list):
                standing = "minority" if reported.get("minority") else "majority"
                self._tell(HistoryEntry(self._clock(), one.name, "state", ",".join(present), standing))

        await asyncio.gather(*(state(one) for one in self.schedulers.values() if not one.paused))

    async def close(self) -> None:
        """End all in good order."""
        for task in self._starving.values():
            task.cancel()
        await asyncio.gather(
            *(
                self.stop(one)
                for one in [*self.schedulers.values(), *self.twins]
                if one.process is not None and one.process.returncode is None
            )
        )

    def _signal(self, one: Scheduler, number: signal.Signals, bidden: bool) -> None:
        one.bidden = bidden
        if one.process is not None and one.process.returncode is None:
            if number is signal.SIGKILL:
                one.cpu_s += cpu_s(one.process.pid)
            one.process.send_signal(number)


def cpu_s(pid: int) -> float:
    """Processor time that a process has used, in seconds; 0 where it is over."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def platform_config(
    name: str,
    number: int,
    seed: int,
    fleet: int,
    listen: Address,
    discovery: Address,
    classes: list[dict[str, Any]],
    stretches: list[float],
) -> dict[str, Any]:
    """The platform's file for one scheduler, with the settings that a rehearsal has."""
    settings = platform_settings(
        classes,
        fleet_size=fleet,
        me=number,
        az="a",
        zones=["a"],
        report={"via": "inline", "names": ["x0"]},
        family_info={
            "report_x0": "free_slots",
            "tells_start": True,
            "progress_ns": 2_000_000_000,
            "class_stretch": stretches,
            "class_kind": [-1] * len(stretches),
            "class_priority": [0] * len(stretches),
        },
    )
    return {
        "name": name,
        "listen": f"{listen[0]}:{listen[1]}",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": f"{seed * 1000 + number + 1:x}",
        "limits": {"sockets": 512},
        "settings": settings,
        "known": {"version": 0, "full": True, "servers": []},
    }


def now_s() -> float:
    """The rig's clock."""
    return time.monotonic()
