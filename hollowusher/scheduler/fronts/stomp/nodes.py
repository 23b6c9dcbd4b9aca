"""Attempts and probes at route nodes that run a STOMP server.

The scheduler opens one connection to each node for all its jobs.  Each attempt has a unique name, which the
node repeats in its reports.  docs/stomp.md lists the destinations and headers.
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
from hollowusher.scheduler.fronts.stomp.wire import OutgoingFrame, StompLink, WriteResult, read_heartbeat
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import connect

NODE_JOBS, NODE_WITHDRAWN, NODE_LOAD = "/queue/jobs", "/queue/withdrawn", "/queue/load"
NODE_REPORTS = "/queue/reports"
RECONNECT_MIN_S, RECONNECT_MAX_S = 0.25, 4.0
_STATES = {"draining": State.DRAINING, "serving": State.READY, "gone": State.GONE}
_OUTCOMES = {"done": Outcome.OK, "failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}


@dataclass(eq=False, slots=True)
class _OpenAttempt:
    """An attempt at a node: `written` and `withdrawn` are its state, `ending` receives its result."""

    order: Dispatch
    ending: asyncio.Future[AttemptEnding]
    written: bool = False
    withdrawn: bool = False

    def end(self, ending: AttemptEnding) -> None:
        """Set the result of the attempt; later calls have no effect."""
        if not self.ending.done():
            self.ending.set_result(ending)

    def handle_write_result(self, result: WriteResult) -> None:
        """End the attempt if its job frame was not written completely; the node cannot have run it then."""
        if result is WriteResult.WRITTEN:
            self.written = True
        else:
            self.end(
                AttemptEnding(Outcome.NOT_SENT if result is WriteResult.WITHHELD else Outcome.UNREACHABLE)
            )


@dataclass(eq=False, slots=True)
class _Session:
    """One connection to a node, with its tasks and the attempts and probes that wait for reports."""

    wire: StompLink
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    attempts: dict[str, _OpenAttempt] = field(default_factory=dict)
    probes: dict[str, asyncio.Future[Frame]] = field(default_factory=dict)


class StompNodes:
    """Runs attempts and probes at STOMP nodes; reports their drains and starts to the worker registry."""

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
        self._reconnect_tasks: list[asyncio.Task[None]] = []
        self._opening: dict[int, asyncio.Task[_Session]] = {}
        # Unique per start of this process: a node must not confuse its attempts with those before a restart.
        run_id = f"{name}-{time.time_ns():x}"
        self._names = (f"{run_id}-{n}" for n in itertools.count())

    def start(self, nodes: Iterable[RouteNode]) -> None:
        """Keep a connection to each node, to receive its state reports; reconnect with backoff."""
        self._reconnect_tasks = [asyncio.create_task(self._keep_connected(node)) for node in nodes]

    async def _keep_connected(self, node: RouteNode) -> None:
        wait_s = RECONNECT_MIN_S
        while True:
            with contextlib.suppress(OSError, FrameError):
                session = await self._session(node)
                wait_s = RECONNECT_MIN_S
                await session.ended.wait()
            await asyncio.sleep(wait_s)
            wait_s = min(RECONNECT_MAX_S, 2 * wait_s)

    async def attempt(self, order: Dispatch, node: RouteNode) -> None:
        """Run one attempt; always post its result to the dispatcher."""
        name = next(self._names)
        open_attempt = _OpenAttempt(order, asyncio.get_running_loop().create_future())
        left_ns = order.job.deadline_ns - time.monotonic_ns()
        if order.timeout_ns > 0:
            left_ns = min(left_ns, order.timeout_ns)
        ending, session = AttemptEnding(Outcome.UNREACHABLE), None
        try:
            async with asyncio.timeout(max(0.0, left_ns / 1e9)):
                session = await self._session(node)
                session.attempts[name] = open_attempt
                session.wire.put_outgoing(
                    OutgoingFrame(
                        self._job_frame(name, order),
                        # Called just before the first byte: while the connection was opened or other frames
                        # were written, the node may have started to drain, the dispatcher may have cancelled
                        # the attempt, the client may have disconnected, or the time window of a retry may
                        # have passed.
                        lambda: (
                            self._registry.serving(order.attempt.node)
                            and not open_attempt.withdrawn
                            and order.may_begin(time.monotonic_ns())
                        ),
                        open_attempt.handle_write_result,
                    )
                )
                ending = await open_attempt.ending
        except TimeoutError:
            ending = AttemptEnding(Outcome.TIMEOUT if open_attempt.written else Outcome.UNREACHABLE)
        except (OSError, FrameError) as wrong:
            self._log.info("node-unreachable", str(wrong), node=node.name)
        except asyncio.CancelledError:
            # A partly written frame is still completed, so the node may run the job.
            ending = AttemptEnding(Outcome.CANCELLED if session is not None else Outcome.NOT_SENT)
        open_attempt.withdrawn = True
        if session is not None:
            session.attempts.pop(name, None)
            if ending.outcome in (Outcome.CANCELLED, Outcome.TIMEOUT):
                session.wire.put(Frame("SEND", {"destination": NODE_WITHDRAWN, "attempt": name}))
        self._post(AttemptEnded(order.attempt, ending.outcome, ending.reading, ending.result))

    async def probe(self, node: RouteNode) -> None:
        """Request a node's load report; always post the result to the dispatcher."""
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
        """Do nothing: the connection stays open, because the node reports its drain and its return on it."""

    async def close(self) -> None:
        """Close all connections."""
        tasks: list[asyncio.Task[Any]] = [*self._reconnect_tasks, *self._opening.values()]
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
        """Return the connection to a node and open it if necessary; concurrent callers share one opening."""
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
            wire.negotiate_heartbeats(self._heartbeat_ms, read_heartbeat(hello))
        except BaseException:
            writer.cancel()
            wire.close()
            raise
        wire.put(Frame("SUBSCRIBE", {"id": "reports", "destination": NODE_REPORTS}))
        session = _Session(wire)
        self._sessions[node.entry.worker] = session
        self._handle_connected(node.entry.worker, hello)
        session.tasks = [writer, asyncio.create_task(self._listen(node, session))]
        writer.add_done_callback(lambda _: session.tasks[1].cancel())
        return session

    async def _listen(self, node: RouteNode, session: _Session) -> None:
        """Handle the node's reports until its connection ends, then end the attempts that are still open."""
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
            pass  # the writer failed, or the scheduler is stopping
        finally:
            if self._sessions.get(number) is session:
                del self._sessions[number]
            session.ended.set()
            self._log.warning("node-lost", "the connection to a node broke", node=node.name, why=why)
            session.tasks[0].cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await session.tasks[0]  # the writer reports the frames that it has not written
            session.wire.close()
            for open_attempt in list(session.attempts.values()):
                open_attempt.end(
                    AttemptEnding(Outcome.RESET if open_attempt.written else Outcome.UNREACHABLE)
                )

    def _report(self, number: int, session: _Session, frame: Frame) -> None:
        """Handle one report, which belongs to a probe, to an attempt or to the node itself."""
        headers = frame.headers
        state = headers.get("state", "")
        if (waiting := session.probes.get(headers.get("probe", ""))) is not None:
            if not waiting.done():
                waiting.set_result(frame)
        elif "attempt" in headers:
            open_attempt = session.attempts.get(headers["attempt"])
            if open_attempt is None:
                return  # a late report of an attempt that has ended
            attempt = open_attempt.order.attempt
            if state == "started":
                self._post(AttemptStarted(attempt))
            elif state == "progress":
                with contextlib.suppress(ValueError):
                    self._post(AttemptProgress(attempt, float(headers.get("share", "0"))))
            elif state in _OUTCOMES:
                reading = read_load(headers.get("load"), self._meanings)
                open_attempt.end(AttemptEnding(_OUTCOMES[state], reading, frame.body))
        elif state in _STATES:
            self._update_node(number, state=_STATES[state])

    def _handle_connected(self, number: int, hello: Frame) -> None:
        """Pass the start time and the state in a node's CONNECTED frame to the worker registry.

        The start time lets the scheduler send less load to a node that is still cold."""
        started_ns = 0
        with contextlib.suppress(ValueError):
            started_ms = float(hello.headers.get("started-ms", "0"))
            if 0 < started_ms < 1e15:
                started_ns = time.monotonic_ns() - round((time.time() * 1000 - started_ms) * 1e6)
        state = _STATES.get(hello.headers.get("state", ""), State.READY)
        self._update_node(number, state=state, started_ns=started_ns)

    def _update_node(self, number: int, **changes: State | int) -> None:
        reported = self._registry.update_node(number, **changes)
        if reported is not None:
            self._post(reported)
