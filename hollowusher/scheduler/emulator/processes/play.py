"""Plays a script on real processes: starts them, does what the script orders, and keeps the history."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from hollowusher.scheduler.emulator.faults.checks import CheckResult, check
from hollowusher.scheduler.emulator.faults.history import (
    RIG,
    HistoryAction,
    HistoryEntry,
    acts,
    pairs,
    reports_of,
)
from hollowusher.scheduler.emulator.faults.links import KINDS, NS, Condition
from hollowusher.scheduler.emulator.http1node import Http1Node
from hollowusher.scheduler.emulator.http2node import NodePlan
from hollowusher.scheduler.emulator.outside import NodeList, OpenLoopClients, free_port, node_rows
from hollowusher.scheduler.emulator.processes.board import Board
from hollowusher.scheduler.emulator.processes.fleet import (
    ProcessFleet,
    Scheduler,
    cpu_s,
    now_s,
    platform_config,
)
from hollowusher.scheduler.emulator.script import RehearsalScript
from hollowusher.scheduler.emulator.traffic import JobClassDemand, draw
from hollowusher.scheduler.settings.model import ConfigError

MOST_PROCESSES = 40  # on one machine
STABILIZE_S = 3.0  # after the script's end, for what is still open
FLOOD_STEP_S = 0.01
BACK_S = (0.1, 0.4)  # before a client comes back
_WIRE_EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
Address = tuple[str, int]


@dataclass(slots=True)
class Played:
    """What came of a play."""

    entries: list[HistoryEntry]
    findings: list[CheckResult]
    figures: dict[str, float] = field(default_factory=dict)


class ProcessPlay:
    """One play of a script, in a folder of its own."""

    def __init__(
        self,
        script: RehearsalScript,
        seed: int,
        folder: Path,
        peers: bool = True,
        more: str = "",
        progress: Callable[[float], None] = lambda at: None,
    ) -> None:
        """`peers`: whether the schedulers keep a view of each other; `more`: sections of their files."""
        if not 2 <= script.members <= MOST_PROCESSES:
            raise ConfigError(f"{script.file}: members: processes are played with 2 to {MOST_PROCESSES}")
        if script.troubles:
            raise ConfigError(f"{script.file}: {script.troubles[0].what} node: is not played on processes")
        self._script, self._seed, self._folder, self._peers, self._more = script, seed, folder, peers, more
        self._progress = progress
        self._chance = random.Random(seed)
        self.names = [f"n{n}" for n in range(1, script.members + 1)]
        self.entries: list[HistoryEntry] = []
        self._acts = acts(script.mishaps, script.length_s)
        self._began = now_s()
        self.fleet = ProcessFleet(self.entries.append, self._at)
        self._nodes: dict[str, Http1Node] = {}
        self._lists: list[NodeList] = []
        self._clients: dict[str, OpenLoopClients] = {}
        self._work_s: dict[str, float] = {}
        self._failing: set[str] = set()
        self._doing: set[asyncio.Task[None]] = set()

    def _at(self) -> float:
        return now_s() - self._began

    async def run(self) -> Played:
        """Play it; all that was started is ended whatever happens."""
        self._board = Board(self._seed)
        try:
            await self._set_up()
            self._began = now_s()
            self.entries.clear()
            await self._play()
            await self.fleet.states()
            spent = {
                one.name: one.cpu_s + (cpu_s(one.process.pid) if one.process else 0.0)
                for one in self.fleet.schedulers.values()
            }
        finally:
            for task in self._doing:
                task.cancel()
            await self.fleet.close()
            for node in self._nodes.values():
                await node.close()
            for one in self._lists:
                await one.close()
            await self._board.close()
        for name, node in self._nodes.items():
            self.entries += [
                HistoryEntry(self._at(), name, "run", job, "once")
                for job, n in node.runs.items()
                for _ in range(n)
                if self._effect(job) == "unsafe"
            ]
        self.entries.sort(key=lambda e: e.at)
        findings = check(self.entries, self._acts, self._script.expects, self.names)
        return Played(self.entries, findings, self._figures(spent))

    # --- the set-up ---------------------------------------------------------------------------------------

    async def _set_up(self) -> None:
        script = self._script
        for number in range(1, len(script.kinds) + 1):
            node = self._nodes[f"s{number}"] = Http1Node(partial(self._plan, f"s{number}"))
            await node.start()
        hole, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
        )  # where names that do not exist would be
        nowhere: Address = hole.get_extra_info("sockname")[:2]
        for name in self.names:
            self.fleet.schedulers[name] = Scheduler(
                name,
                self._folder / name,
                ("127.0.0.1", free_port()),
                ("127.0.0.1", free_port(socket.SOCK_DGRAM)),
                ("127.0.0.1", free_port()),
                more=self._more,
            )
        self._copy_places = {name: ("127.0.0.1", free_port()) for name in self.names}
        for number, one in enumerate(self.fleet.schedulers.values()):
            await self._place(one, number, nowhere)
        await asyncio.gather(*(self.fleet.start(one) for one in self.fleet.schedulers.values()))

    async def _place(self, one: Scheduler, number: int, nowhere: Address) -> None:
        """Its links, its node list and its files."""
        script = self._script
        for other in self.fleet.schedulers.values() if self._peers else ():
            one.peers[other.name] = (
                one.peer_listen
                if other is one
                else await self._board.datagrams((one.name, other.name), other.peer_listen)
            )
        nobody = {f"n{n}" for n in range(script.members + 1, script.configured + 1)}
        later = {name for m in script.mishaps if m.what == "rename" for name in m.to} - set(self.names)
        one.peers.update(dict.fromkeys(nobody if self._peers else (), nowhere))
        one.later.update(dict.fromkeys(later - nobody if self._peers else (), nowhere))
        if script.copies:
            place = self._copy_places[one.name]
            others = {
                o: a if o == one.name else await self._board.streams((one.name, o), a)
                for o, a in self._copy_places.items()
            }
            copied = script.copied or tuple(c.name for c in script.classes)
            one.more = "\n".join(
                [
                    one.more,
                    "[copies]",
                    "enabled yes",
                    f"listen {place[0]}:{place[1]}",
                    f"group {script.copies}",
                    f"classes {' '.join(copied)}",
                    *([f"folder {one.folder / 'copies'}"] if script.on_disk else []),
                    *(f"[copy {o}]\naddress {a[0]}:{a[1]}" for o, a in others.items()),
                ]
            )
        ports = [
            (await self._board.streams((one.name, name), ("127.0.0.1", node.port)))[1]
            for name, node in self._nodes.items()
        ]
        listed = NodeList(node_rows(ports))
        await listed.start()
        self._lists.append(listed)
        classes = [
            {
                "name": c.name,
                "effect": _WIRE_EFFECTS[c.effect.value],
                "goal_time_ns": c.aim_ns,
                "late_share": c.late_share,
                "deadline_ns": c.deadline_ns,
                "value": c.worth,
                "key_scope": "cell",
                "memory_span_ns": c.window_ns,
            }
            for c in script.classes
        ] or [{"name": "any", "effect": "fragile", "goal_time_ns": NS, "deadline_ns": 10 * NS}]
        one.config = platform_config(
            one.name,
            number,
            self._seed,
            len(self.names),
            one.listen,
            ("127.0.0.1", listed.port),
            classes,
            [c.stretch for c in script.classes] or [0.0],
        )
        one.write()
        self._clients[one.name] = OpenLoopClients(one.listen[1])

    def _plan(self, node: str, job: str) -> NodePlan:
        if node in self._failing:
            self.entries.append(HistoryEntry(self._at(), node, "failed", job))
            return NodePlan("failed", report={"x0": 4.0})
        return NodePlan(run_s=self._work_s.get(job, 0.05), report={"x0": 4.0})

    def _effect(self, job: str) -> str:
        name = job.partition(".")[2]
        return next((c.effect.value for c in self._script.classes if c.name == name), "")

    # --- the play -----------------------------------------------------------------------------------------

    async def _play(self) -> None:
        script = self._script
        points: list[tuple[float, HistoryAction | None]] = [(act.at_s, act) for act in self._acts]
        points += [(at_s, None) for at_s in {e.at_s for e in script.expects if e.at_s >= 0}]
        jobs = asyncio.create_task(self._send_jobs())
        self._doing.add(jobs)
        for at_s, act in sorted(points, key=lambda p: p[0]):
            await self._until(at_s)
            if act is None:
                await self.fleet.states()
            else:
                self.entries.append(reports_of(act))
                await self._do(act)
        await self._until(script.length_s)
        if script.serves:
            await jobs
            most_s = STABILIZE_S + max(c.deadline_ns for c in script.classes) / NS
            await asyncio.wait(self._doing, timeout=most_s)

    async def _until(self, at_s: float) -> None:
        while (left := at_s - self._at()) > 0:
            self._progress(self._at())
            await asyncio.sleep(min(left, 0.25))
        self._progress(at_s)

    async def _do(self, act: HistoryAction) -> None:
        fault = act.fault
        if fault.what in KINDS:
            if act.ends:
                self._board.links.end(act.number)
            else:
                amount = fault.amount * (NS if fault.what == "delay" else 1)
                self._board.links.begin(
                    act.number, Condition(fault.what, pairs(fault), amount, fault.spread_s * NS)
                )
        elif fault.what == "fail":
            self._failing = self._failing - set(fault.who) if act.ends else self._failing | set(fault.who)
        elif fault.what == "reset":
            for pair in pairs(fault):
                self._board.reset(pair)
        else:
            for name in fault.who:
                self._befall(self.fleet.schedulers[name], act)

    def _befall(self, one: Scheduler, act: HistoryAction) -> None:
        fault, fleet = act.fault, self.fleet
        match fault.what:
            case "kill":
                fleet.kill(one)
            case "stop":
                self._spawn(fleet.stop(one))
            case "start" | "restart":
                self._clients[one.name].forget()
                self._spawn(fleet.restart(one, fault.fresh, fault.clock_s))
            case "pause":
                fleet.pause(one, not act.ends)
            case "starve":
                fleet.starve(one, None if act.ends else fault.amount)
            case "rename":
                fleet.rename(one, fault.to)
            case "flood" if not act.ends:
                self._spawn(self._flood(one, fault.amount, act.at_s + fault.for_s))
            case "twin":
                self._spawn(self._twin(one, act.ends))

    async def _twin(self, one: Scheduler, ends: bool) -> None:
        """A second process under a name, at a place of its own, or its end."""
        if ends:
            for twin in self.fleet.twins:
                self.fleet.kill(twin)
                await self.fleet.ended(twin)
            return
        twin = Scheduler(
            one.name,
            one.folder.with_name(f"{one.name}-twin"),
            ("127.0.0.1", free_port()),
            ("127.0.0.1", free_port(socket.SOCK_DGRAM)),
            ("127.0.0.1", free_port()),
        )
        twin.peers = {**one.peers, one.name: twin.peer_listen}
        twin.config = {**one.config, "listen": f"127.0.0.1:{twin.listen[1]}"}
        twin.write()
        self.fleet.twins.append(twin)
        await self.fleet.start(twin)

    async def _flood(self, one: Scheduler, per_s: float, until_s: float) -> None:
        """Datagrams that are none, some of them nearly ones."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            while self._at() < until_s:
                for _ in range(max(1, round(per_s * FLOOD_STEP_S))):
                    data = self._chance.randbytes(self._chance.randint(0, 300))
                    sock.sendto(data if self._chance.random() < 0.5 else b"hu\x01" + data, one.peer_listen)
                await asyncio.sleep(FLOOD_STEP_S)

    async def _send_jobs(self) -> None:
        """Jobs in open loop, each to a scheduler that the script has left running."""
        script, loop = self._script, asyncio.get_running_loop()
        if not script.serves:
            return
        for wanted in draw(script.demands, script.spells, script.length_s, self._seed):
            at_s = wanted.at / NS
            if (left := at_s - self._at()) > 0:
                await asyncio.sleep(left)
            up = [
                one
                for one in self.fleet.schedulers.values()
                if one.process is not None and one.process.returncode is None and not one.bidden
            ]
            if not up:
                continue
            job = f"{wanted.name}.{wanted.demand.name}"
            self._work_s[job] = wanted.work_s
            self._spawn(self._job(self._chance.choice(up).name, job, wanted.demand, loop.time()))

    async def _job(self, name: str, job: str, demand: JobClassDemand, at: float) -> None:
        """One client.  Where jobs are copied it comes back elsewhere when its connection breaks or it is
        turned away, under the same id and with what is left of its time."""
        loop, first = asyncio.get_running_loop(), at
        while True:
            left_s = demand.budget_s - (at - first)
            said = await self._clients[name].ask(at, job, demand.name, left_s, again=at > first)
            if not self._script.copies or said not in ("broken", "refused"):
                break
            at = loop.time() + self._chance.uniform(*BACK_S)
            if demand.budget_s - (at - first) < 0.2:
                said = "late" if said == "broken" else said
                break
            up = [
                one.name
                for one in self.fleet.schedulers.values()
                if one.process is not None and one.process.returncode is None and not one.bidden
            ]
            name = self._chance.choice(up or self.names)
        self.entries.append(HistoryEntry(self._at(), name, "job", job, said))

    def _spawn(self, work: object) -> None:
        task: asyncio.Task[None] = asyncio.create_task(work)  # type: ignore[arg-type]
        self._doing.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._doing.discard(task)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self.entries.append(HistoryEntry(self._at(), RIG, "fault", why=repr(fault)))

    def _figures(self, spent: dict[str, float]) -> dict[str, float]:
        """The play in numbers: service, latency, and what the schedulers cost."""
        said = Counter(e.why for e in self.entries if e.what == "job")
        answers = [a for t in self._clients.values() for a in t.answers]
        took = sorted(a.took_s for a in answers if a.status == 200)
        figures = {f"jobs {why}": float(n) for why, n in sorted(said.items())}
        if took:
            figures["p50 ms"] = took[len(took) // 2] * 1e3
            figures["p99 ms"] = took[int(0.99 * (len(took) - 1))] * 1e3
        figures["CPU s a scheduler"] = sum(spent.values()) / max(1, len(spent))
        figures["datagrams a scheduler and s"] = self._board.passed / self._script.length_s / len(self.names)
        return figures
