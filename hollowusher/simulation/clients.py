"""Clients that post messages and ask after them."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Protocol

import orjson

from hollowusher.simulation.http_network import HttpExchangeError, HttpNetwork, HttpRequest
from hollowusher.simulation.observations import (
    ClientRequest,
    MessageStateResponse,
    Observations,
    SentMessage,
)

QUERY_TIMEOUT_S = 2.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
HOST = "client.example"
SHORT_DELAY_MIN_S, SHORT_DELAY_MAX_S = 0.2, 3.0
MAX_BODY_BYTES = 262_144
LONG_DELAY_SHARE = 0.3  # of the delayed messages, where long delays are wanted


@dataclass(frozen=True)
class MessageStream:
    """Messages on one route."""

    route: str
    service: str
    path_prefix: str
    rate: float  # a second
    deadline_s: float = 1.2
    keys: int = 0  # so many ordering keys; 0: not ordered
    callback_hosts: tuple[str, ...] = ()
    delayed_share: float = 0.0
    long_delay_s: float = 0.0  # the longest delay of a part of the delayed ones; 0: all delays are short
    latest_due_at: float = float("inf")  # no delay ends later
    poison_share: float = 0.01
    failing_share: float = 0.005
    body_bytes: int = 200
    large_body_share: float = 0.0  # of the messages; their bodies have any size up to `maxBodyBytes`
    retries: int = 2


@dataclass(frozen=True)
class EdgeAddress:
    """A scheduler as clients reach it, and which incarnation of its process it is."""

    name: str
    frontend: str
    incarnation: int


class EdgeChoice(Protocol):
    """How clients find an edge machine; see `EdgeSelector`."""

    def choose_edge(self) -> EdgeAddress:
        """Choose the machine of the next request."""

    def record_response(self, edge: EdgeAddress) -> None:
        """Record that a machine has answered."""


class MessageClients:
    """All clients of the day."""

    def __init__(
        self,
        http: HttpNetwork,
        observations: Observations,
        random_source: random.Random,
        host: str,
        edges: EdgeChoice,
    ) -> None:
        self.http = http
        self.observations = observations
        self.random_source = random_source
        self.host = host
        self._edges = edges
        self._sent = 0
        self._requests = 0
        self._tasks: set[asyncio.Task[None]] = set()
        http.network.power_on(host)

    def _now(self) -> float:
        return self.http.network.loop.time()

    async def play(self, stream: MessageStream, until: float) -> None:
        """Send a stream's messages at random times."""
        while True:
            pause = self.random_source.expovariate(stream.rate)
            if self._now() + pause >= until:
                return
            await asyncio.sleep(pause)
            self.post(stream)

    def post(self, stream: MessageStream) -> None:
        """Send one message, with its retries."""
        task = asyncio.get_running_loop().create_task(self._post(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_for_pending(self) -> None:
        """Wait for all that is under way."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _post(self, stream: MessageStream) -> None:
        key = f"key-{self.random_source.randrange(stream.keys)}" if stream.keys else ""
        delay_s = self._draw_delay_s(stream)
        begin = self._now()
        self._requests += 1
        request = ClientRequest(self._requests, begin)
        for _ in range(stream.retries + 1):
            left = begin + stream.deadline_s - self._now()
            if left <= 0.05:
                return
            message = await self._attempt(stream, request, key, delay_s, left)
            if message.status not in NOT_RUN_STATUSES:
                break
            await asyncio.sleep(self.random_source.uniform(0.02, 0.2))
        if message.accepted and self.random_source.random() < 0.15:
            await asyncio.sleep(self.random_source.uniform(0.0, 6.0))
            await self.query_state(message)

    def _draw_delay_s(self, stream: MessageStream) -> float:
        """Draw how long a message of the stream is to be delayed, 0 for not at all."""
        if self.random_source.random() >= stream.delayed_share:
            return 0.0
        delay_s = self.random_source.uniform(SHORT_DELAY_MIN_S, SHORT_DELAY_MAX_S)
        if stream.long_delay_s > SHORT_DELAY_MAX_S and self.random_source.random() < LONG_DELAY_SHARE:
            delay_s = self.random_source.uniform(SHORT_DELAY_MAX_S, stream.long_delay_s)
        return max(SHORT_DELAY_MIN_S, min(delay_s, stream.latest_due_at - self._now()))

    async def _attempt(
        self, stream: MessageStream, request: ClientRequest, key: str, delay_s: float, left: float
    ) -> SentMessage:
        self._sent += 1
        number = self._sent
        identifier = f"m{number:06d}"
        edge = self._edges.choose_edge()
        callback = ""
        if stream.callback_hosts:
            callback = f"http://{self.random_source.choice(stream.callback_hosts)}/done"
        body = self._body(stream, identifier)
        message = SentMessage(
            identifier,
            stream.route,
            stream.service,
            body,
            key,
            delay_s,
            callback,
            edge.name,
            edge.incarnation,
            self._now(),
            reference=identifier,
            request=request,
        )
        self.observations.messages[identifier] = message
        await self._exchange(stream, message, edge, left)
        return message

    def _body(self, stream: MessageStream, identifier: str) -> bytes:
        drawn = self.random_source.random()
        mark = b""
        if drawn < stream.poison_share:
            mark = b"poison "
        elif drawn < stream.poison_share + stream.failing_share:
            mark = b"always-fails "
        start = mark + identifier.encode() + b" "
        return start + self.random_source.randbytes(self._body_bytes(stream, len(start)))

    def _body_bytes(self, stream: MessageStream, used: int) -> int:
        """Draw the size of a body, of which `used` bytes are given."""
        if not stream.large_body_share or self.random_source.random() >= stream.large_body_share:
            return stream.body_bytes
        return self.random_source.randint(stream.body_bytes, MAX_BODY_BYTES - used)

    async def _exchange(
        self, stream: MessageStream, message: SentMessage, edge: EdgeAddress, left: float
    ) -> None:
        headers = {"Host": HOST, "X-Attempt-Id": message.id, "X-Deadline-Ms": str(round(left * 1000))}
        if message.ordering_key:
            headers["X-Ordering-Key"] = message.ordering_key
        if message.delay_s:
            headers["X-Delay-Ms"] = str(round(message.delay_s * 1000))
        if message.callback_url:
            headers["X-Callback-Url"] = message.callback_url
        request = HttpRequest("POST", f"{stream.path_prefix}{message.id}", headers, message.body)
        try:
            answer = await self.http.exchange(self.host, edge.frontend, request, left)
        except HttpExchangeError:
            return
        message.status = answer.status
        message.answered_at = self._now()
        message.reference = answer.header("X-Message-Ref") or message.id
        self._edges.record_response(edge)

    async def query_state(self, message: SentMessage, *, final: bool = False) -> MessageStateResponse | None:
        """Ask for a message's state; for its body too where it has not ended or at the end of the run."""
        answer = await self._get(f"/message/{message.reference}")
        if answer is None:
            return None
        status, body = answer
        seen = MessageStateResponse(message.id, self._now(), status, final=final)
        if status == 200:
            status = orjson.loads(body)
            seen.state, seen.signature = status["state"], status.get("signature", "")
            if seen.state != "completed":
                found = await self._get(f"/message-body/{message.reference}")
                if found is not None and found[0] == 200:
                    seen.body = found[1]
        self.observations.states.append(seen)
        return seen

    async def _get(self, target: str) -> tuple[int, bytes] | None:
        request = HttpRequest("GET", target, {"Host": HOST})
        try:
            answer = await self.http.exchange(
                self.host, self._edges.choose_edge().frontend, request, QUERY_TIMEOUT_S
            )
        except HttpExchangeError:
            return None
        return answer.status, answer.body

    async def query_until_known(self, message: SentMessage, give_up_at: float) -> None:
        """At the end of the day: ask again after every failure."""
        while self._now() < give_up_at:
            seen = await self.query_state(message, final=True)
            if seen is not None and (seen.state == "completed" or seen.body is not None):
                return
            await asyncio.sleep(0.3)
