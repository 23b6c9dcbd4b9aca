"""Route nodes that speak STOMP: each is a server that this program connects to and sends jobs.

One connection a node carries all its jobs; each attempt has a name of its own, under which the node
reports.  docs/stomp.md has the destinations and headers.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from hollowusher.balancing.interface import Outcome, State
from hollowusher.scheduler.dispatch.model import (
    AttemptEnded,
    AttemptProgress,
    AttemptStarted,
    Dispatch,
    DispatchEvent,
    NodeProbed,
)
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.fronts.common import PROBE_TIMEOUT_S, AttemptEnding, read_load
from hollowusher.scheduler.fronts.stomp.frames import FROM_SERVER, Frame, FrameError
from hollowusher.scheduler.fronts.stomp.wire import Fate, OutgoingFrame, StompLink, read_heartbeat
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import connect

NODE_JOBS, NODE_WITHDRAWN, NODE_LOAD = "/queue/jobs", "/queue/withdrawn", "/queue/load"
NODE_REPORTS = "/queue/reports"
RECONNECT_FIRST_S, RECONNECT_MOST_S = 0.25, 4.0
_STATES = {"draining": State.DRAINING, "serving": State.READY, "gone": State.GONE}
_OUTCOMES = {"done": Outcome.OK, "failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}


@dataclass(eq=False, slots=True)
class _UnderWay:
    """An attempt at a node and where it stands."""

    order: Dispatch
    ending: asyncio.Future[AttemptEnding]
    written: bool = False
    withdrawn: bool = False

    def end(self, ending: AttemptEnding) -> None:
        """The first ending counts."""
        if not self.ending.done():
            self.ending.set_result(ending)

    def fate(self, fate: Fate) -> None:
        """What became of its frame: only one that is written to the last byte may have run."""
        if fate is Fate.WRITTEN:
            self.written = True
        else:
            self.end(AttemptEnding(Outcome.NOT_SENT if fate is Fate.WITHHELD else Outcome.UNREACHABLE))


@dataclass(eq=False, slots=True)
class _Session:
    """One connection to a node."""

    wire: StompLink
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    attempts: dict[str, _UnderWay] = field(default_factory=dict)
    probes: dict[str, asyncio.Future[Frame]] = field(default_factory=dict)


class StompNodes:
    """Carries attempts and probes to STOMP nodes, and tells the roster of their drains and starts."""

    def __init__(
        self,
        registry: WorkerRegistry,
        meanings: Mapping[str, str],
        post: Callable[[DispatchEvent], None],
        log: LogWriter,
        name: str,
        heart_beat_ms: int,
        connect_timeout_s: float,
    ) -> None:
        self._registry, self._meanings, self._post, self._log = registry, meanings, post, log
        self._name, self._heartbeat_ms, self._connect_timeout_s = name, heart_beat_ms, connect_timeout_s
        self._sessions: dict[int, _Session] = {}
        self._keepers: list[asyncio.Task[None]] = []
        self._opening: dict[int, asyncio.Task[_Session]] = {}
        liveness = (
            f"{name}-{time.time_ns():x}"  # a node must not take a new life's attempts for the old one's
        )
        self._names = (f"{liveness}-{n}" for n in itertools.count())

    def start(self, nodes: Iterable[RouteNode]) -> None:
        """Keep a connection to each node, so that its drain and its return are heard of."""
        self._keepers = [asyncio.create_task(self._keep(node)) for node in nodes]

    async def _keep(self, node: RouteNode) -> None:
        wait_s = RECONNECT_FIRST_S
        while True:
            with contextlib.suppress(OSError, FrameError):
                session = await self._session(node)
                wait_s = RECONNECT_FIRST_S
                await session.ended.wait()
            await asyncio.sleep(wait_s)
            wait_s = min(RECONNECT_MOST_S, 2 * wait_s)

    async def attempt(self, order: Dispatch, node: RouteNode) -> None:
        """One attempt, of which the desk is told the ending in every case."""
        name = next(self._names)
        under_way = _UnderWay(order, asyncio.get_running_loop().create_future())
        left_ns = order.job.deadline_ns - time.monotonic_ns()
        if order.timeout_ns > 0:
            left_ns = min(left_ns, order.timeout_ns)
        ending, session = AttemptEnding(Outcome.UNREACHABLE), None
        try:
            async with asyncio.timeout(max(0.0, left_ns / 1e9)):
                session = await self._session(node)
                session.attempts[name] = under_way
                session.wire.put_out(
                    OutgoingFrame(
                        self._job_frame(name, order),
                        # Asked just before the first byte: while the connection came up or other frames were
                        # written the node may have begun to drain, the desk have withdrawn the attempt, the
                        # client have left, or the window of a repeat have run out.
                        lambda: (
                            self._registry.serving(order.attempt.node)
                            and not under_way.withdrawn
                            and order.may_begin(time.monotonic_ns())
                        ),
                        under_way.fate,
                    )
                )
                ending = await under_way.ending
        except TimeoutError:
            ending = AttemptEnding(Outcome.TIMEOUT if under_way.written else Outcome.UNREACHABLE)
        except (OSError, FrameError) as wrong:
            self._log.info("node-unreachable", str(wrong), node=node.name)
        except asyncio.CancelledError:
            # Its frame may be half written, and is then finished: it may run all the same.
            ending = AttemptEnding(Outcome.CANCELLED if session is not None else Outcome.NOT_SENT)
        under_way.withdrawn = True
        if session is not None:
            session.attempts.pop(name, None)
            if ending.outcome in (Outcome.CANCELLED, Outcome.TIMEOUT):
                session.wire.put(Frame("SEND", {"destination": NODE_WITHDRAWN, "attempt": name}))
        self._post(AttemptEnded(order.attempt, ending.outcome, ending.reading, ending.result))

    async def probe(self, node: RouteNode) -> None:
        """Ask a node for its load."""
        number, name, answer = node.entry.worker, next(self._names), None
        with contextlib.suppress(OSError, FrameError):
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                session = await self._session(node)
                waiting = session.probes[name] = asyncio.get_running_loop().create_future()
                try:
                    session.wire.put(Frame("SEND", {"destination": NODE_LOAD, "probe": name}))
                    answer = await waiting
                finally:
                    session.probes.pop(name, None)
        reading = read_load(answer.headers.get("load"), self._meanings) if answer else None
        self._post(NodeProbed(number, answer is not None, reading))

    def leaving(self, number: int) -> None:
        """Its one connection stays: on it the node tells of its drain and its return."""

    async def close(self) -> None:
        """End all connections."""
        tasks: list[asyncio.Task[Any]] = [*self._keepers, *self._opening.values()]
        tasks += [s.tasks[1] for s in self._sessions.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _job_frame(self, name: str, order: Dispatch) -> Frame:
        job = order.job
        left_s = max(0.001, (job.deadline_ns - time.monotonic_ns()) / 1e9)
        headers = {
            "destination": NODE_JOBS,
            "attempt": name,
            "job-id": job.job_id,
            "job-class": job.job_class,
            "subject": job.subject,
            "budget": f"{left_s:.3f}",
        }
        if job.repeat_key:
            headers["repeat-key"] = job.repeat_key
        return Frame("SEND", headers, job.body)

    async def _session(self, node: RouteNode) -> _Session:
        """The connection to a node; those who need it while it comes up share the wait."""
        number = node.entry.worker
        if (session := self._sessions.get(number)) is not None:
            return session
        if number not in self._opening:
            task = self._opening[number] = asyncio.create_task(self._open(node))
            task.add_done_callback(lambda _: self._opening.pop(number, None))
        return await asyncio.shield(self._opening[number])

    async def _open(self, node: RouteNode) -> _Session:
        wire = StompLink(await connect(node.address, self._connect_timeout_s), FROM_SERVER)
        writer = asyncio.create_task(wire.write())
        try:
            async with asyncio.timeout(2 * self._connect_timeout_s):
                wire.put(
                    Frame(
                        "CONNECT",
                        {
                            "accept-version": "1.2",
                            "host": node.name,
                            "login": self._name,
                            "heart-beat": f"{self._heartbeat_ms},{self._heartbeat_ms}",
                        },
                    )
                )
                hello = await wire.receive()
            if hello.command != "CONNECTED" or hello.headers.get("version") != "1.2":
                raise ConnectionAbortedError(f"{node.name} does not speak STOMP 1.2")
            wire.agree(self._heartbeat_ms, read_heartbeat(hello))
        except BaseException:
            writer.cancel()
            wire.close()
            raise
        wire.put(Frame("SUBSCRIBE", {"id": "reports", "destination": NODE_REPORTS}))
        session = _Session(wire)
        self._sessions[node.entry.worker] = session
        self._greeted(node.entry.worker, hello)
        session.tasks = [writer, asyncio.create_task(self._listen(node, session))]
        writer.add_done_callback(lambda _: session.tasks[1].cancel())
        return session

    async def _listen(self, node: RouteNode, session: _Session) -> None:
        """Take what the node reports until its connection ends, and end what was under way there."""
        number, why = node.entry.worker, "the connection ended"
        try:
            while True:
                frame = await session.wire.receive()
                if frame.command == "ERROR":
                    raise ConnectionAbortedError(frame.headers.get("message", "ERROR"))
                if frame.command == "MESSAGE":
                    self._report(number, session, frame)
        except FrameError as wrong:
            why = wrong.why
        except OSError as wrong:
            why = str(wrong) or type(wrong).__name__
        except asyncio.CancelledError:
            pass  # the writer broke, or this program stops
        finally:
            if self._sessions.get(number) is session:
                del self._sessions[number]
            session.ended.set()
            self._log.warning("node-lost", "the connection to a node broke", node=node.name, why=why)
            session.tasks[0].cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await session.tasks[0]  # it tells the frames that it has not written
            session.wire.close()
            for under_way in list(session.attempts.values()):
                under_way.end(AttemptEnding(Outcome.RESET if under_way.written else Outcome.UNREACHABLE))

    def _report(self, number: int, session: _Session, frame: Frame) -> None:
        """One report: of an attempt, of a probe, or of the node itself."""
        headers = frame.headers
        state = headers.get("state", "")
        if (waiting := session.probes.get(headers.get("probe", ""))) is not None:
            if not waiting.done():
                waiting.set_result(frame)
        elif "attempt" in headers:
            under_way = session.attempts.get(headers["attempt"])
            if under_way is None:
                return  # late news of an attempt that is closed
            attempt = under_way.order.attempt
            if state == "started":
                self._post(AttemptStarted(attempt))
            elif state == "progress":
                with contextlib.suppress(ValueError):
                    self._post(AttemptProgress(attempt, float(headers.get("share", "0"))))
            elif state in _OUTCOMES:
                reading = read_load(headers.get("load"), self._meanings)
                under_way.end(AttemptEnding(_OUTCOMES[state], reading, frame.body))
        elif state in _STATES:
            self._reported(number, state=_STATES[state])

    def _greeted(self, number: int, hello: Frame) -> None:
        """A node says when it started, so that a cold one is spared, and whether it drains."""
        started_ns = 0
        with contextlib.suppress(ValueError):
            started_ms = float(hello.headers.get("started-ms", "0"))
            if 0 < started_ms < 1e15:
                started_ns = time.monotonic_ns() - round((time.time() * 1000 - started_ms) * 1e6)
        state = _STATES.get(hello.headers.get("state", ""), State.READY)
        self._reported(number, state=state, started_ns=started_ns)

    def _reported(self, number: int, **changes: State | int) -> None:
        reported = self._registry.update_node(number, **changes)
        if reported is not None:
            self._post(reported)
