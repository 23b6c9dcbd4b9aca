"""Random sequences of limits, GOAWAYs, resets, broken connections, drains and deadlines.

The test fails if a job is lost, waits forever, or is reported as never run although the node ran it.  The
stream table and the sessions are the scheduler's own code.  The node is an h2 server that records which jobs
it ran.  Bytes arrive in chunks with arbitrary boundaries.
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
    """A response parser that takes any chunk of a body as the result."""

    held = 0

    def head(self, headers: Headers) -> str | None:
        return None

    def piece(self, data: bytes) -> str | None:
        return "served"

    def end(self, trailers: Headers) -> str | None:
        return None


class NodeEndpoint:
    """The node's end of a connection."""

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
        self.to_node, self.to_scheduler = bytearray(), bytearray()
        self.names: dict[int, str] = {}
        self.complete: dict[int, str] = {}  # completely received requests that may be answered, by stream
        self.last = 2**31 - 1
        self.acknowledged = False


class Streams(RuleBasedStateMachine):
    """The stream table of one node, its connections and the node."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000 * S
        self.stream_table = StreamTable(LIMITS)
        self.sessions: dict[int, Http2Session] = {}
        self.endpoints: dict[int, NodeEndpoint] = {}
        self.opening: list[int] = []
        self.jobs: dict[str, StreamExchange[str]] = {}
        self.reported: dict[str, int] = {}
        self.ran: dict[str, int] = {}
        self.serving, self.refuses = True, False
        self.limit, self.window = 3, 65_535

    # --- the role of NodeStreams

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
                    self.endpoints.pop(number, None)

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
        self.endpoints.pop(session.number, None)
        lost = self.stream_table.lost if session.greeted else self.stream_table.failed
        self.do(lost(self.now, session.number))

    # --- bytes

    def travel(self, number: int, share: float) -> None:
        """Deliver the fraction `share` of the bytes in flight to each side."""
        session, endpoint = self.sessions.get(number), self.endpoints.get(number)
        if session is None or endpoint is None:
            return
        while data := session.make():
            endpoint.to_node += data
        self.arrive(endpoint, max(1, round(len(endpoint.to_node) * share)))
        endpoint.to_scheduler += endpoint.conn.data_to_send()
        piece = bytes(endpoint.to_scheduler[: max(1, round(len(endpoint.to_scheduler) * share))])
        del endpoint.to_scheduler[: len(piece)]
        if piece and not session.over:
            session.receive(memoryview(piece))

    def arrive(self, endpoint: NodeEndpoint, count: int) -> None:
        piece = bytes(endpoint.to_node[:count])
        del endpoint.to_node[:count]
        # receive_data raises if the session exceeds a limit or violates the protocol.
        for event in endpoint.conn.receive_data(piece):
            if isinstance(event, RequestReceived):
                assert event.stream_id and event.headers
                if event.stream_id <= endpoint.last:
                    endpoint.names[event.stream_id] = dict(event.headers)[b"x-call-id"].decode()
            elif isinstance(event, DataReceived):
                assert event.stream_id is not None
                endpoint.conn.acknowledge_received_data(event.flow_controlled_length or 0, event.stream_id)
            elif isinstance(event, SettingsAcknowledged):
                endpoint.acknowledged = True
            elif isinstance(event, StreamEnded) and event.stream_id in endpoint.names:
                name = endpoint.names[event.stream_id]
                self.ran[name] = self.ran.get(name, 0) + 1
                endpoint.complete[event.stream_id] = name
            elif isinstance(event, StreamReset):
                endpoint.names.pop(event.stream_id or 0, None)
                endpoint.complete.pop(event.stream_id or 0, None)

    # --- rules

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
            while self.opening:  # connections open at once unless `refuse_next` is active
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
        self.endpoints[number] = NodeEndpoint(number, self.limit, self.window)
        session.greet()
        self.travel(number, 1.0)

    @rule(shares=st.lists(st.sampled_from([0.1, 0.5, 1.0, 1.0]), min_size=1, max_size=4))
    def exchange_bytes(self, shares: list[float]) -> None:
        for share in shares:
            for number in list(self.sessions):
                self.travel(number, share)

    @rule(pick=st.integers(0, 20), how=st.sampled_from(["serve", "serve", "refuse", "reset", "open"]))
    def answer(self, pick: int, how: str) -> None:
        """The node answers a complete request, refuses one that it did not run, or resets one."""
        for number in list(self.sessions):
            self.travel(number, 0.5 if how == "refuse" else 1.0)
        for endpoint in self.endpoints.values():
            known = endpoint.complete if how in ("serve", "open") else endpoint.names
            if not known:
                continue
            stream = sorted(known)[pick % len(known)]
            if how == "refuse" and stream in endpoint.complete:
                continue  # a conforming node does not refuse a request that it has run
            try:
                if how in ("serve", "open"):
                    endpoint.conn.send_headers(stream, [(":status", "200")])
                    endpoint.conn.send_data(stream, b"served", end_stream=how == "serve")
                else:
                    code = ErrorCodes.REFUSED_STREAM if how == "refuse" else ErrorCodes.INTERNAL_ERROR
                    endpoint.conn.reset_stream(stream, code)
                    del endpoint.names[stream]
            except H2Error:
                pass
            endpoint.complete.pop(stream, None)
        for number in list(self.sessions):
            self.travel(number, 1.0)

    @rule(graceful=st.booleans(), spare=st.integers(0, 2))
    def goaway(self, graceful: bool, spare: int) -> None:
        """The node sends a GOAWAY; it may still run requests that it has begun to read."""
        for endpoint in list(self.endpoints.values())[:1]:
            endpoint.to_scheduler += endpoint.conn.data_to_send()
            # The last stream id may exclude requests that the node has not run, but none that it has run.
            ran = [s for s, name in endpoint.names.items() if name in self.ran]
            unrun = sorted(set(endpoint.names) - set(ran))[:spare]
            last = 2**31 - 1 if graceful else max([0, *ran, *unrun])
            if last != 2**31 - 1:
                endpoint.last = min(endpoint.last, last)
                endpoint.names = {s: n for s, n in endpoint.names.items() if s <= endpoint.last}
            endpoint.to_scheduler += GoAwayFrame(0, last_stream_id=min(endpoint.last, last)).serialize()

    @rule(limit=st.sampled_from([4, 3, 2, 1, 0]), window=st.sampled_from([65_535] * 4 + [10, 0]))
    def announce(self, limit: int, window: int) -> None:
        self.limit, self.window = limit, window
        for endpoint in self.endpoints.values():
            if endpoint.acknowledged:  # h2 would match the ACK of one SETTINGS to the next one
                endpoint.acknowledged = False
                endpoint.conn.update_settings(
                    {SettingCodes.MAX_CONCURRENT_STREAMS: limit, SettingCodes.INITIAL_WINDOW_SIZE: window}
                )

    @precondition(lambda self: any(s.open_streams > 1 for s in self.sessions.values()))
    @rule(pick=st.integers(0, 5), arrives=st.floats(0, 1), written=st.booleans())
    def lose(self, pick: int, arrives: float, written: bool) -> None:
        """A connection breaks after the fraction `arrives` of the bytes in flight has arrived."""
        number = sorted(self.sessions)[pick % len(self.sessions)]
        session, endpoint = self.sessions[number], self.endpoints[number]
        data = session.make()
        if data and not written:
            session.broke()
            data = data[:-1]
        endpoint.to_node += data
        self.arrive(endpoint, round(len(endpoint.to_node) * arrives))
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
        """The node drains, receives some more bytes, and becomes available again."""
        self.serving = False
        self.do(self.stream_table.node_leaving(self.now))
        assert self.stream_table.waiting == 0
        begun = {s.number: s.open_streams for s in self.sessions.values()}
        self.exchange_bytes([share, share])
        assert all(s.open_streams <= begun[s.number] for s in self.sessions.values()), "opened in a drain"
        self.serving = True

    @rule(span=st.sampled_from([10, 10, 10, 100, 100, 100, 400, 1500]))
    def time_passes(self, span: int) -> None:
        self.now += span * MS
        for session in list(self.sessions.values()):
            session.heartbeat(self.now)
        self.do(self.stream_table.tick(self.now))
        while self.opening:
            self.connect(not self.refuses)
        for exchange in self.jobs.values():  # like the time limit of the attempt
            if not exchange.ended and self.now >= exchange.until_ns:
                self.give_up(exchange, Cause.TIMED_OUT)

    # --- invariants

    @invariant()
    def what_is_said_never_to_have_run_has_not(self) -> None:
        for name, exchange in self.jobs.items():
            assert self.reported.get(name, 0) == int(exchange.ended), name
            assert self.ran.get(name, 0) <= 1, f"{name} ran twice"
            if exchange.result in NEVER_RAN:
                assert name not in self.ran, f"{name} ran, but is reported as never run: {exchange.result}"
            if exchange.result == "served":
                assert name in self.ran

    @invariant()
    def books_agree_and_are_bounded(self) -> None:
        assert self.stream_table.waiting <= LIMITS.waiting + sum(e.urgent for e in self.jobs.values()) + 6
        assert self.stream_table.connections <= LIMITS.connections * 5
        waiting = sum(not e.ended for e in self.jobs.values())
        assert self.stream_table.waiting <= waiting

    def teardown(self) -> None:
        """Without further events, every job ends in time and no stream stays open."""
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
