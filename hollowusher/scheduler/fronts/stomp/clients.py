"""STOMP server for clients, which SEND jobs and receive the answers on their subscription.

A RECEIPT confirms that the scheduler has accepted the job.  Each accepted frame gets exactly one final
answer.  The ledger ensures that a resent frame does not run its job a second time.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial

from hollowusher.balancing.interface import Effect, JobClass
from hollowusher.scheduler.dispatch.model import (
    ClientJob,
    ClientLeft,
    DispatchEvent,
    JobAnswerBody,
    JobTaken,
    Verdict,
)
from hollowusher.scheduler.fronts.common import (
    FIRST_REQUEST_TIMEOUT_S,
    NETWORK_DELAY_NS,
    REQUEST_TIMEOUT_S,
    JobIds,
    printable,
    read_budget_ns,
)
from hollowusher.scheduler.fronts.stomp.frames import FROM_CLIENT, Frame, FrameError
from hollowusher.scheduler.fronts.stomp.job_table import JobTable, JobTableEntry, ResendState, fingerprint
from hollowusher.scheduler.fronts.stomp.settings import StompConfig
from hollowusher.scheduler.fronts.stomp.wire import StompLink, read_heartbeat
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import Link

JOBS, ANSWERS = "/queue/jobs", "/queue/answers"
FLUSH_TIMEOUT_S = 2.0  # timeout for writing the last frames of a session
MAX_OPEN_JOBS = 64  # jobs in flight per session; at this number, the client's next frames are not read
MAX_UNSENT = 64  # maximum number of answers that wait for a subscription, and of unacknowledged answers
MAX_SUBSCRIPTIONS = 16  # per session
MAX_TEXT_LENGTH = 1024  # maximum length of a job id, subject, login or repeat-key, in characters
DISCONNECT_CHECK_INTERVAL_S = 0.05  # used while the session does not read the client's frames
LINGER_S = 1.0  # longest lingering close: a client may read the ERROR that ends its session meanwhile
NEW_CONNECTION_GRACE_S = 0.25  # a connection without a valid CONNECT frame after this time may be evicted
LEDGER_FULL_WAIT_NS = 1_000_000_000  # retry-after of a job that is rejected because the ledger is full
DRAIN_ACCEPT_S = 0.55  # time in a shutdown during which new connections and frames are still accepted


@dataclass(eq=False, slots=True)
class Waiter:
    """One accepted frame that waits for an answer."""

    session: StompClientSession
    job_id: str
    receipt: str


def _printable(frame: Frame, name: str, value: str) -> str:
    """Check and return a text that is copied into headers of other protocols.

    Raises FrameError if the text is not printable ASCII, as it could end the header line."""
    if not printable(value, MAX_TEXT_LENGTH):
        raise FrameError(f"{name} must be printable ASCII without spaces", frame.headers.get("receipt", ""))
    return value


class StompClientSession:
    """One client connection: accepts jobs and sends their answers."""

    def __init__(self, front: StompClients, wire: StompLink) -> None:
        self._front, self._wire = front, wire
        self.identity = ""
        self.open_jobs = 0
        self._paused = self._connected = self._evicted = False
        self._accepted_ns = time.monotonic_ns()
        self.waiting: dict[Waiter, JobTableEntry] = {}
        self._has_capacity = asyncio.Event()
        self._has_capacity.set()
        self._subscriptions: dict[str, str] = {}  # subscription id: ack mode
        self._unsent: deque[tuple[Waiter, JobAnswerBody]] = deque()
        self._to_ack: dict[str, str] = {}  # ack id: subscription id
        self.task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve the connection until either side ends it."""
        writer = asyncio.create_task(self._wire.write())
        writer.add_done_callback(self._writer_broke)
        lost = False
        try:
            async with asyncio.timeout(FIRST_REQUEST_TIMEOUT_S):
                await self._connect()
            going = True
            while going:
                await self._wait_for_capacity()
                frame = await self._wire.receive()
                if self._paused:  # waits until stop(); the frame is not accepted and gets no receipt
                    await self._wait_for_capacity()
                going = self._handle_frame(frame)
        except FrameError as bad:
            self._send_error(bad)
        except OSError:
            lost = True  # the client disconnected, or its heart-beats timed out
        except asyncio.CancelledError:
            pass  # the writer failed, the session was evicted, or the scheduler is stopping
        finally:
            self._front.session_ended(self)
            writer.remove_done_callback(self._writer_broke)
            if not self._evicted:
                await self._close_gracefully(writer, lost)
            await self._close(writer)

    async def _close_gracefully(self, writer: asyncio.Task[None], lost: bool) -> None:
        """Write the last frames and close with linger; an eviction ends this early."""
        with contextlib.suppress(asyncio.CancelledError):
            self._wire.finish()
            await asyncio.wait({writer}, timeout=FLUSH_TIMEOUT_S)
            writer.cancel()
            await asyncio.wait({writer})
            if not lost:
                await self._wire.linger(LINGER_S)

    async def _close(self, writer: asyncio.Task[None]) -> None:
        """Stop the writer and close the socket."""
        writer.cancel()
        try:
            await writer
        except (asyncio.CancelledError, OSError):
            pass  # the frames that the writer had left are dropped
        finally:
            self._wire.close()

    async def _wait_for_capacity(self) -> None:
        """Wait until the session may read its next frame.

        The connection is checked for a disconnect meanwhile, because reading would detect it only behind the
        unread frames.  Raises OSError if the client has disconnected."""
        while self._paused or not self._has_capacity.is_set():
            if self._wire.peer_closed():
                raise ConnectionResetError("the client has disconnected")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DISCONNECT_CHECK_INTERVAL_S):
                    await (asyncio.Event() if self._paused else self._has_capacity).wait()

    def _writer_broke(self, _: asyncio.Task[None]) -> None:
        if self.task is not None:
            self.task.cancel()

    def evict(self) -> bool:
        """Close the session if it had no valid CONNECT frame in time; return whether it was closed.

        Its socket is closed without linger, so that a crowd cannot keep more sockets open than the limit."""
        if (
            self._connected
            or self.task is None
            or time.monotonic_ns() - self._accepted_ns < NEW_CONNECTION_GRACE_S * 1e9
        ):
            return False
        self._evicted = True
        self.task.cancel()
        return True

    def pause(self) -> None:
        """Stop accepting frames; accepted frames are still answered."""
        self._paused = True

    def stop(self) -> None:
        """Send an ERROR that announces the shutdown, and end the session."""
        self._wire.put(Frame("ERROR", {"message": "the scheduler is shutting down; connect again"}))
        if self.task is not None:
            self.task.cancel()

    def answer(self, waiter: Waiter, answer: JobAnswerBody) -> None:
        """Send the answer to a frame, or keep it until the client subscribes."""
        self.waiting.pop(waiter, None)
        if not self._subscriptions:
            self._unsent.append((waiter, answer))
            if len(self._unsent) > MAX_UNSENT:
                self._send_error(
                    FrameError(f"too many answers are waiting without a subscription to {ANSWERS}")
                )
                if self.task is not None:
                    self.task.cancel()
            return
        subscription, ack = next(iter(self._subscriptions.items()))
        number = f"{self._front.next_number()}"
        headers = {
            "subscription": subscription,
            "message-id": number,
            "destination": ANSWERS,
            "job-id": waiter.job_id,
            "verdict": answer.verdict.value,
        }
        if waiter.receipt:
            headers["answers-receipt"] = waiter.receipt
        if answer.wait_ns > 0:
            headers["retry-after"] = f"{answer.wait_ns / 1e9:.3f}"
        if ack != "auto":
            headers["ack"] = number
            self._to_ack[number] = subscription
            while len(self._to_ack) > MAX_UNSENT:  # acks have no effect: the ledger keeps the answer anyway
                del self._to_ack[next(iter(self._to_ack))]
        self._wire.put(Frame("MESSAGE", headers, answer.result))

    def change_open_jobs(self, change: int) -> None:
        """Change the number of jobs in flight; at MAX_OPEN_JOBS, the session stops reading frames."""
        self.open_jobs += change
        if self.open_jobs < MAX_OPEN_JOBS:
            self._has_capacity.set()
        else:
            self._has_capacity.clear()

    def _send_error(self, bad: FrameError) -> None:
        self._front.log.info("bad-frame", bad.why, client=self.identity)
        headers = {"message": bad.why, "content-type": "text/plain"}
        if bad.receipt:
            headers["receipt-id"] = bad.receipt
        self._wire.put(Frame("ERROR", headers, f"{bad.why}\n".encode()))

    async def _connect(self) -> None:
        frame = await self._wire.receive()
        if frame.command not in ("CONNECT", "STOMP"):
            raise FrameError("the first frame must be CONNECT or STOMP")
        if "1.2" not in frame.headers.get("accept-version", "1.0").split(","):
            self._wire.put(
                Frame("ERROR", {"version": "1.2", "message": "only STOMP version 1.2 is supported"})
            )
            raise ConnectionAbortedError
        frame.need("host")
        self.identity = _printable(frame, "login", frame.need("login"))
        theirs, ours = read_heartbeat(frame), self._front.config.heart_beat_ms
        self._wire.put(
            Frame(
                "CONNECTED",
                {
                    "version": "1.2",
                    "heart-beat": f"{ours},{ours}",
                    "server": "hollowusher",
                    "session": f"{self._front.next_number()}",
                },
            )
        )
        self._wire.negotiate_heartbeats(ours, theirs)
        self._connected = True

    def _handle_frame(self, frame: Frame) -> bool:
        """Handle one frame; return whether the session continues."""
        receipt, headers = frame.headers.get("receipt", ""), frame.headers
        match frame.command:
            case "SEND":
                self._send(frame)
                return True  # _send writes the receipt itself, because the receipt must precede the answer
            case "SUBSCRIBE":
                if frame.need("destination") != ANSWERS:
                    raise FrameError(f"the only destination for subscriptions is {ANSWERS}", receipt)
                name, ack = frame.need("id"), headers.get("ack", "auto")
                if ack not in ("auto", "client", "client-individual"):
                    raise FrameError("ack must be auto, client or client-individual", receipt)
                if name in self._subscriptions or len(self._subscriptions) >= MAX_SUBSCRIPTIONS:
                    raise FrameError(
                        "the subscription id is in use, or there are too many subscriptions", receipt
                    )
                self._subscriptions[name] = ack
            case "UNSUBSCRIBE":
                if self._subscriptions.pop(frame.need("id"), None) is None:
                    raise FrameError("no such subscription", receipt)
            case "ACK" | "NACK":
                subscription = self._to_ack.pop(frame.need("id"), None)
                if subscription is None:
                    raise FrameError("no message has this ack id", receipt)
            case "DISCONNECT":
                if receipt:
                    self._wire.put(Frame("RECEIPT", {"receipt-id": receipt}))
                return False
            case "CONNECT" | "STOMP":
                raise FrameError("the session is already connected", receipt)
            case _:
                raise FrameError("transactions are not supported", receipt)
        if receipt:
            self._wire.put(Frame("RECEIPT", {"receipt-id": receipt}))
        while self._unsent and self._subscriptions:
            self.answer(*self._unsent.popleft())
        return True

    def _send(self, frame: Frame) -> None:
        receipt = frame.headers.get("receipt", "")
        if frame.need("destination") != JOBS:
            raise FrameError(f"jobs must be sent to {JOBS}", receipt)
        if "transaction" in frame.headers:
            raise FrameError("transactions are not supported", receipt)
        job_id = _printable(frame, "job-id", frame.need("job-id"))
        name = frame.need("job-class")
        if name not in self._front.classes:
            raise FrameError("unknown job-class", receipt)
        subject = _printable(frame, "subject", frame.headers.get("subject", f"/jobs/{job_id}"))
        if not subject.startswith("/"):
            raise FrameError("subject must begin with /", receipt)
        repeat_key = _printable(frame, "repeat-key", frame.headers.get("repeat-key", ""))
        if not repeat_key and self._front.classes[name].effect is Effect.KEYED:
            raise FrameError("this job-class requires a repeat-key", receipt)
        now = time.monotonic_ns()
        job = ClientJob(
            job_id,
            name,
            subject,
            frame.body,
            now,
            self._budget_ns(frame) - NETWORK_DELAY_NS,
            lambda answer: None,
            repeat_key,
        )
        waiter = Waiter(self, job_id, receipt)
        on_accepted = (lambda: self._wire.put(Frame("RECEIPT", {"receipt-id": receipt}))) if receipt else None
        self._front.submit(waiter, job, frame.headers.get("resend") == "true", on_accepted)

    def _budget_ns(self, frame: Frame) -> int:
        budget_ns = read_budget_ns(frame.need("budget"))
        if budget_ns is None:
            raise FrameError("budget must be a number of seconds", frame.headers.get("receipt", ""))
        return budget_ns


class StompClients:
    """Accepts client connections and holds the job ledger that all sessions share."""

    def __init__(
        self,
        listener: socket.socket,
        classes: Mapping[str, JobClass],
        config: StompConfig,
        max_wait_ns: int,
        ids: JobIds,
        post: Callable[[DispatchEvent], None],
        log: LogWriter,
    ) -> None:
        self._listener, self.classes, self.config = listener, classes, config
        self._full_wait_ns = min(LEDGER_FULL_WAIT_NS, max_wait_ns)
        self._ids, self._post, self.log = ids, post, log
        self.job_table = JobTable(
            config.ledger_jobs,
            config.ledger_bytes,
            round(config.unsafe_window_s * 1e9),
            round(config.keep_s * 1e9),
        )
        self._sessions: dict[StompClientSession, None] = {}  # ordered from the oldest to the newest
        self._numbers = itertools.count(1)
        self._open: set[JobTableEntry] = set()
        self._none_open = asyncio.Event()
        self._none_open.set()

    def next_number(self) -> int:
        """Return a unique number for a message or a session."""
        return next(self._numbers)

    async def accept(self) -> None:
        """Accept connections until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self._listener)
            except OSError as wrong:  # out of file descriptors
                self.log.error("accept-failed", str(wrong))
                self._free_connection()
                await asyncio.sleep(0.05)
                continue
            sock.setblocking(False)
            if len(self._sessions) >= self.config.most_clients and not self._free_connection():
                self.log.warning("clients-full", "the connection limit is reached; a client was rejected")
                sock.close()
                continue
            session = StompClientSession(self, StompLink(Link(sock), FROM_CLIENT, REQUEST_TIMEOUT_S))
            self._sessions[session] = None
            session.task = asyncio.create_task(session.run())
            session.task.add_done_callback(partial(self._remove, session))

    def _free_connection(self) -> bool:
        """Evict the oldest session without a CONNECT frame; return False if there is none.

        Silent connections must not keep out clients that have jobs."""
        silent = next((s for s in self._sessions if s.evict()), None)
        if silent is not None:
            self._remove(silent)
        return silent is not None

    def _remove(self, session: StompClientSession, _: asyncio.Task[None] | None = None) -> None:
        self._sessions.pop(session, None)

    def submit(
        self, waiter: Waiter, job: ClientJob, resend: bool, on_accepted: Callable[[], None] | None
    ) -> None:
        """Look up a sent job in the ledger and either run it, join the running job, or answer the frame.

        `on_accepted`, if set, sends the receipt and is called before any answer.  Raises FrameError if the
        job id conflicts with another job."""
        effect = self.classes[job.job_class].effect
        mark = fingerprint(job.job_class, job.subject, job.repeat_key, job.body)
        key = (waiter.session.identity, job.job_id)
        state, entry = self.job_table.find(key, mark, effect, len(job.body), resend, job.taken_ns)
        if state is ResendState.CONFLICT:
            raise FrameError("this job-id belongs to another job", waiter.receipt)
        if state is ResendState.NEW and not self._ids.claim(job.job_id, again=True):
            self.job_table.forget(key)
            raise FrameError("another client has an open job with this job-id", waiter.receipt)
        if on_accepted is not None:
            on_accepted()
        if entry is None:
            self.log.warning(
                "ledger-full", "the ledger is full; a job was rejected", jobs=len(self.job_table)
            )
            waiter.session.answer(waiter, JobAnswerBody(Verdict.REFUSED, wait_ns=self._full_wait_ns))
            return
        if state is ResendState.KEPT and entry.answer is not None:
            waiter.session.answer(waiter, entry.answer)
            return
        entry.waiters.append(waiter)
        waiter.session.waiting[waiter] = entry
        waiter.session.change_open_jobs(1)
        if state is ResendState.JOINED:
            return
        # After a restart the ledger cannot show whether the job ran, so the job must not run again.
        if state is ResendState.UNKNOWN:
            self.log.notice("resend-unknown", "a resent job is not in the ledger", job=job.job_id)
            self._answered(entry, JobAnswerBody(Verdict.FAILED))
            return
        job.answer_to = partial(self._answered, entry)
        job.gone = lambda: not entry.waiters
        entry.job = job
        self._open.add(entry)
        self._none_open.clear()
        self._post(JobTaken(job))

    def session_ended(self, session: StompClientSession) -> None:
        """Handle the end of a session.

        No new attempts start for its jobs.  A job that must not run twice and is already at a node runs to
        its end, and the ledger keeps the answer for a resend."""
        for waiter, entry in session.waiting.items():
            entry.waiters.remove(waiter)
            if entry.waiters or entry.job is None:
                continue
            kept = entry.effect is not Effect.SAFE
            self._post(ClientLeft(entry.job, kept))
            if not kept:
                self.job_table.remove(entry)
                self._closed(entry)
        session.waiting.clear()

    def _answered(self, entry: JobTableEntry, answer: JobAnswerBody) -> None:
        self.job_table.answered(entry, answer, time.monotonic_ns())
        waiters, entry.waiters = entry.waiters, []
        for waiter in waiters:
            waiter.session.change_open_jobs(-1)
            waiter.session.answer(waiter, answer)
        self._closed(entry)

    def _closed(self, entry: JobTableEntry) -> None:
        if entry in self._open:
            self._ids.free(entry.key[1])
        self._open.discard(entry)
        if not self._open:
            self._none_open.set()

    async def drain(self, accepting: asyncio.Task[None]) -> None:
        """Accept frames for a short time more, then answer the accepted jobs and end all sessions."""
        await asyncio.sleep(DRAIN_ACCEPT_S)
        accepting.cancel()
        self._listener.close()
        for session in self._sessions:
            session.pause()
        await self._none_open.wait()
        tasks = [s.task for s in self._sessions if s.task is not None]
        for session in list(self._sessions):
            session.stop()
        if tasks:
            await asyncio.wait(tasks)
