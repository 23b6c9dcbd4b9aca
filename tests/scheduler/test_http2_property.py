"""Any order of limits, GOAWAYs, resets, breaks, drains and deadlines: no job is lost, none is
said never to have run that did, none waits for ever.

The stream book and the sessions are the program's own; the other side is h2's server, with books of its own
of what it ran.  Bytes travel in pieces, cut anywhere.
"""

from __future__ import annotations

from typing import Any

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import DataReceived, RequestReceived, SettingsAcknowledged, StreamEnded, StreamReset
from h2.exceptions import H2Error
from h2.settings import SettingCodes, Settings
from hyperframe.frame import GoAwayFrame
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.net.http2.exchange import Headers, StreamExchange
from hollowusher.scheduler.net.http2.session import Http2Session
from hollowusher.scheduler.net.http2.settings import Http2Config
from hollowusher.scheduler.rules.stream_ends import Cause
from hollowusher.scheduler.rules.streams import (
    AssignStream,
    CloseConnection,
    OpenConnection,
    RejectJob,
    RejectReason,
    StreamInstruction,
    StreamLimits,
    StreamTable,
)
from tests.support.balancer import MS, S

CONFIG = Http2Config(True, ("*",), control_frames=1000, max_lifetime_streams=10)
LIMITS = StreamLimits(connections=2, streams=3, waiting=8, wait_ns=S, idle_ns=5 * S, max_lifetime_streams=10)
NEVER_RAN = (Outcome.FULL, Outcome.NOT_SENT, Outcome.UNREACHABLE, *RejectReason)


class Reply:
    """Reads an answer: any piece of a body is the result."""

    held = 0

    def head(self, headers: Headers) -> str | None:
        return None

    def piece(self, data: bytes) -> str | None:
        return "served"

    def end(self, trailers: Headers) -> str | None:
        return None


class Far:
    """The node's side of a connection."""

    def __init__(self, number: int, limit: int, window: int) -> None:
        self.number = number
        self.conn = H2Connection(H2Configuration(client_side=False, validate_inbound_headers=False))
        self.conn.local_settings = Settings(
            client=False,
            initial_values={
                SettingCodes.MAX_CONCURRENT_STREAMS: limit,
                SettingCodes.INITIAL_WINDOW_SIZE: window,
            },
        )
        self.conn.initiate_connection()
        self.to_node, self.to_us = bytearray(), bytearray()
        self.names: dict[int, str] = {}
        self.complete: dict[int, str] = {}  # that may be answered
        self.last = 2**31 - 1
        self.acknowledged = False


class Streams(RuleBasedStateMachine):
    """One node's book, its connections, and the node."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000 * S
        self.stream_table = StreamTable(LIMITS)
        self.sessions: dict[int, Http2Session] = {}
        self.far: dict[int, Far] = {}
        self.opening: list[int] = []
        self.jobs: dict[str, StreamExchange[str]] = {}
        self.reported: dict[str, int] = {}
        self.ran: dict[str, int] = {}
        self.serving, self.refuses = True, False
        self.limit, self.window = 3, 65_535

    # --- what the program's owner of connections does

    def do(self, acts: list[StreamInstruction]) -> None:
        for act in acts:
            match act:
                case AssignStream(exchange, number):
                    self.sessions[number].give(exchange)  # type: ignore[arg-type]
                case RejectJob(exchange, why):
                    exchange.finish(why)  # type: ignore[attr-defined]
                case OpenConnection(number):
                    self.opening.append(number)
                case CloseConnection(number):
                    self.sessions.pop(number, None)
                    self.far.pop(number, None)

    def opened(self, session: Http2Session, announced: int) -> None:
        self.do(self.stream_table.opened(self.now, session.number, announced))

    def limited(self, session: Http2Session, announced: int) -> None:
        self.do(self.stream_table.set_stream_limit(self.now, session.number, announced))

    def quiet(self, session: Http2Session, silent: bool) -> None:
        self.do(self.stream_table.set_unresponsive(self.now, session.number, silent))

    def retired(self, session: Http2Session, code: int | None, above: int) -> None:
        self.do(self.stream_table.retired(self.now, session.number))

    def ended(self, session: Http2Session, exchange: StreamExchange[Any]) -> None:
        self.do(self.stream_table.ended(self.now, session.number, exchange))

    def unbegun(self, session: Http2Session, exchange: StreamExchange[Any]) -> None:
        assert not exchange.ended
        exchange.connection = 0
        self.do(self.stream_table.requeue(self.now, session.number, exchange, exchange.until_ns))

    def lost(self, session: Http2Session, why: str, spoken: bool) -> None:
        self.sessions.pop(session.number, None)
        self.far.pop(session.number, None)
        lost = self.stream_table.lost if session.greeted else self.stream_table.failed
        self.do(lost(self.now, session.number))

    # --- bytes

    def travel(self, number: int, share: float) -> None:
        """Some of what is under way arrives on each side, cut anywhere."""
        session, far = self.sessions.get(number), self.far.get(number)
        if session is None or far is None:
            return
        while data := session.make():
            far.to_node += data
        self.arrive(far, max(1, round(len(far.to_node) * share)))
        far.to_us += far.conn.data_to_send()
        piece = bytes(far.to_us[: max(1, round(len(far.to_us) * share))])
        del far.to_us[: len(piece)]
        if piece and not session.over:
            session.receive(memoryview(piece))

    def arrive(self, far: Far, count: int) -> None:
        piece = bytes(far.to_node[:count])
        del far.to_node[:count]
        for event in far.conn.receive_data(piece):  # raises where we break its limit or the protocol
            if isinstance(event, RequestReceived):
                assert event.stream_id and event.headers
                if event.stream_id <= far.last:
                    far.names[event.stream_id] = dict(event.headers)[b"x-call-id"].decode()
            elif isinstance(event, DataReceived):
                assert event.stream_id is not None
                far.conn.acknowledge_received_data(event.flow_controlled_length or 0, event.stream_id)
            elif isinstance(event, SettingsAcknowledged):
                far.acknowledged = True
            elif isinstance(event, StreamEnded) and event.stream_id in far.names:
                name = far.names[event.stream_id]
                self.ran[name] = self.ran.get(name, 0) + 1
                far.complete[event.stream_id] = name
            elif isinstance(event, StreamReset):
                far.names.pop(event.stream_id or 0, None)
                far.complete.pop(event.stream_id or 0, None)

    # --- what can happen

    @initialize(limit=st.sampled_from([4, 3, 2, 1, 0]), window=st.sampled_from([65_535] * 4 + [10, 0]))
    def begin(self, limit: int, window: int) -> None:
        self.limit, self.window = limit, window

    @rule(
        sizes=st.lists(st.sampled_from([0, 5, 5, 40_000]), min_size=1, max_size=4),
        budget=st.sampled_from([500, 2000, 4000]),
        urgent=st.sampled_from([False, False, False, True]),
    )
    def ask(self, sizes: list[int], budget: int, urgent: bool) -> None:
        for size in sizes:
            self.ask_one(size, budget, urgent)
            while self.opening:  # mostly a connection comes up at once; `refuse_next` says otherwise
                self.connect(not self.refuses)
        for number in list(self.sessions):
            self.travel(number, 1.0)

    def ask_one(self, size: int, budget: int, urgent: bool) -> None:
        name = f"j{len(self.jobs)}"
        headers = [
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":authority", b"n"),
            (b":path", b"/"),
            (b"x-call-id", name.encode()),
        ]
        exchange = StreamExchange[str](
            lambda: headers, b"." * size, Reply(), self.now + budget * MS, lambda: self.serving, urgent
        )
        self.jobs[name] = exchange

        def tell() -> None:
            self.reported[name] = self.reported.get(name, 0) + 1

        exchange.tell = tell
        self.do(self.stream_table.request_stream(self.now, exchange, exchange.until_ns, urgent))

    @rule()
    def refuse_next(self) -> None:
        self.refuses = not self.refuses

    def connect(self, works: bool) -> None:
        number = self.opening.pop(0)
        if not self.stream_table.holds(number):
            return
        if not works:
            self.do(self.stream_table.failed(self.now, number))
            return
        session = self.sessions[number] = Http2Session(number, CONFIG, self, lambda: self.now, lambda: None)
        self.far[number] = Far(number, self.limit, self.window)
        session.greet()
        self.travel(number, 1.0)

    @rule(shares=st.lists(st.sampled_from([0.1, 0.5, 1.0, 1.0]), min_size=1, max_size=4))
    def exchange_bytes(self, shares: list[float]) -> None:
        for share in shares:
            for number in list(self.sessions):
                self.travel(number, share)

    @rule(pick=st.integers(0, 20), how=st.sampled_from(["serve", "serve", "refuse", "reset", "open"]))
    def answer(self, pick: int, how: str) -> None:
        """The node answers a whole request, refuses one of which it ran nothing, or breaks one off."""
        for number in list(self.sessions):
            self.travel(number, 0.5 if how == "refuse" else 1.0)
        for far in self.far.values():
            known = far.complete if how in ("serve", "open") else far.names
            if not known:
                continue
            stream = sorted(known)[pick % len(known)]
            if how == "refuse" and stream in far.complete:
                continue  # it ran: a node that keeps to the protocol does not say otherwise
            try:
                if how in ("serve", "open"):
                    far.conn.send_headers(stream, [(":status", "200")])
                    far.conn.send_data(stream, b"served", end_stream=how == "serve")
                else:
                    code = ErrorCodes.REFUSED_STREAM if how == "refuse" else ErrorCodes.INTERNAL_ERROR
                    far.conn.reset_stream(stream, code)
                    del far.names[stream]
            except H2Error:
                pass
            far.complete.pop(stream, None)
        for number in list(self.sessions):
            self.travel(number, 1.0)

    @rule(graceful=st.booleans(), spare=st.integers(0, 2))
    def goaway(self, graceful: bool, spare: int) -> None:
        """The node takes nothing more on a connection; what it has begun to read it may still run."""
        for far in list(self.far.values())[:1]:
            far.to_us += far.conn.data_to_send()
            # It may leave out what it has not run, never what it has.
            ran = [s for s, name in far.names.items() if name in self.ran]
            unrun = sorted(set(far.names) - set(ran))[:spare]
            last = 2**31 - 1 if graceful else max([0, *ran, *unrun])
            if last != 2**31 - 1:
                far.last = min(far.last, last)
                far.names = {s: n for s, n in far.names.items() if s <= far.last}
            far.to_us += GoAwayFrame(0, last_stream_id=min(far.last, last)).serialize()

    @rule(limit=st.sampled_from([4, 3, 2, 1, 0]), window=st.sampled_from([65_535] * 4 + [10, 0]))
    def announce(self, limit: int, window: int) -> None:
        self.limit, self.window = limit, window
        for far in self.far.values():
            if far.acknowledged:  # h2 would take the ACK of one SETTINGS for that of the next
                far.acknowledged = False
                far.conn.update_settings(
                    {SettingCodes.MAX_CONCURRENT_STREAMS: limit, SettingCodes.INITIAL_WINDOW_SIZE: window}
                )

    @precondition(lambda self: any(s.open_streams > 1 for s in self.sessions.values()))
    @rule(pick=st.integers(0, 5), arrives=st.floats(0, 1), written=st.booleans())
    def lose(self, pick: int, arrives: float, written: bool) -> None:
        """A connection breaks; of what was under way some has arrived."""
        number = sorted(self.sessions)[pick % len(self.sessions)]
        session, far = self.sessions[number], self.far[number]
        data = session.make()
        if data and not written:
            session.broke()
            data = data[:-1]
        far.to_node += data
        self.arrive(far, round(len(far.to_node) * arrives))
        session.end("broken")

    @rule(pick=st.integers(0, 50), cause=st.sampled_from([Cause.WITHDRAWN, Cause.TIMED_OUT]))
    def withdraw(self, pick: int, cause: Cause) -> None:
        open_jobs = [e for e in self.jobs.values() if not e.ended]
        if open_jobs:
            self.give_up(open_jobs[pick % len(open_jobs)], cause)

    def give_up(self, exchange: StreamExchange[str], cause: Cause) -> None:
        if self.stream_table.cancel_wait(self.now, exchange):
            exchange.finish(Outcome.NOT_SENT)
        else:
            exchange.finish(self.sessions[exchange.connection].withdraw(exchange, cause))

    @rule(share=st.sampled_from([0.1, 1.0]))
    def drain(self, share: float) -> None:
        """The node drains, is heard of for a while, and comes back."""
        self.serving = False
        self.do(self.stream_table.node_leaving(self.now))
        assert self.stream_table.waiting == 0
        begun = {s.number: s.open_streams for s in self.sessions.values()}
        self.exchange_bytes([share, share])
        assert all(s.open_streams <= begun[s.number] for s in self.sessions.values()), "begun in a drain"
        self.serving = True

    @rule(span=st.sampled_from([10, 10, 10, 100, 100, 100, 400, 1500]))
    def time_passes(self, span: int) -> None:
        self.now += span * MS
        for session in list(self.sessions.values()):
            session.heartbeat(self.now)
        self.do(self.stream_table.tick(self.now))
        while self.opening:
            self.connect(not self.refuses)
        for exchange in self.jobs.values():  # as the attempt's own time limit does
            if not exchange.ended and self.now >= exchange.until_ns:
                self.give_up(exchange, Cause.TIMED_OUT)

    # --- what must hold

    @invariant()
    def what_is_said_never_to_have_run_has_not(self) -> None:
        for name, exchange in self.jobs.items():
            assert self.reported.get(name, 0) == int(exchange.ended), name
            assert self.ran.get(name, 0) <= 1, f"{name} ran twice"
            if exchange.result in NEVER_RAN:
                assert name not in self.ran, f"{name} ran, and is said never to have: {exchange.result}"
            if exchange.result == "served":
                assert name in self.ran

    @invariant()
    def books_agree_and_are_bounded(self) -> None:
        assert self.stream_table.waiting <= LIMITS.waiting + sum(e.urgent for e in self.jobs.values()) + 6
        assert self.stream_table.connections <= LIMITS.connections * 5
        waiting = sum(not e.ended for e in self.jobs.values())
        assert self.stream_table.waiting <= waiting

    def teardown(self) -> None:
        """However it went: with time alone, every job comes to its end and nothing is left over."""
        for _ in range(12):
            self.time_passes(400)
            self.what_is_said_never_to_have_run_has_not()
        assert all(e.ended for e in self.jobs.values())
        assert self.stream_table.waiting == 0
        for _ in range(3):
            self.time_passes(5000)
        assert self.stream_table.open_streams == 0


Streams.TestCase.settings = settings(
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestStreams = Streams.TestCase
