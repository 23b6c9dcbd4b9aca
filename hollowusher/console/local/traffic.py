"""Sends messages to a local system, reads their states, checks their outcomes and formats them as tables."""

from __future__ import annotations

import asyncio
import random
import statistics
from collections.abc import Sequence
from contextlib import suppress
from typing import Any

import aiohttp
import attrs
import orjson

from hollowusher.console.local.stub_services import (
    FAILING_BODY,
    FAILING_ONCE_BODY,
    StubCallbackReceiver,
    StubWorkerHistory,
)
from hollowusher.console.text_table import Cell, format_table

HOST = "local.example"
GENERATION = 1
RATE_LIMIT_PER_S = 50.0
ORDERING_KEYS = 3
SENDERS = 8
MAX_ATTEMPTS = 8
CLIENT_DEADLINE_MS = 2000
CALL_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.1
FAILING_EVERY = 10  # every 10th message to listed workers fails permanently
FAILING_ONCE_EVERY = 7  # the first delivery of every 7th message to pull workers fails
COMPLETED = "completed"
DEAD_LETTER = "dead_letter"


@attrs.frozen
class TrafficClass:
    """One kind of message: its service, the path of its route, and the kind of worker that executes it."""

    service: str
    path: str
    worker: str
    ordered: bool = False
    callback: bool = False


TRAFFIC_CLASSES = (
    TrafficClass("confirmations", "/confirm/", "listed workers", callback=True),
    TrafficClass("reassignments", "/reassign/", "pull workers"),
    TrafficClass("bookings", "/book/", "fixed endpoint", ordered=True, callback=True),
)


@attrs.define
class LocalMessage:
    """One message with the response to it, its last known state and its callback."""

    number: int
    traffic_class: TrafficClass
    body: bytes
    callback_url: str
    id: str = ""
    response_status: int = 0  # HTTP status of the last response, 0 if there was none
    response_ms: float = 0.0
    reference: str = ""
    state: str = ""
    signature: str = ""
    callback_received: bool = False

    @property
    def expected(self) -> str:
        """The expected final state."""
        return DEAD_LETTER if self.body.startswith(FAILING_BODY) else COMPLETED

    @property
    def ended(self) -> bool:
        """Whether the message is in a final state."""
        return self.state in (COMPLETED, DEAD_LETTER)


def make_configuration(fixed_endpoint: str) -> dict[str, Any]:
    """Return the configuration of the local system; `fixed_endpoint` is "host:port"."""
    routes = [
        {
            "name": f"r-{traffic_class.service}",
            "hostname": HOST,
            "pathPrefix": traffic_class.path,
            "type": "async",
            "upstream": traffic_class.service,
            "timeoutMs": 2000,
            "targetLatencyMs": 200,
            "targetStartMs": 2000,
            "priority": 1,
            "maxAttempts": 4,
            "ordered": traffic_class.ordered,
            "retentionS": 60.0,
            "callbackUrl": traffic_class.callback,
        }
        for traffic_class in TRAFFIC_CLASSES
    ]
    services = [
        {
            "name": traffic_class.service,
            "healthCheck": "/healthz",
            "maxConnections": 16,
            "protocol": "h1",
            "tls": False,
            "ratePerS": RATE_LIMIT_PER_S if traffic_class.ordered else 0.0,
            "idempotent": False,
            "pull": traffic_class.worker.startswith("pull"),
            "fixed": fixed_endpoint if traffic_class.ordered else None,
        }
        for traffic_class in TRAFFIC_CLASSES
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"generation": GENERATION, "routes": routes, "upstreams": services, "limits": limits}


def plan_messages(messages: int, receiver: str) -> list[LocalMessage]:
    """Return the messages of a run, with the traffic classes in rotation; `receiver` is "host:port"."""
    sent = []
    for number in range(messages):
        traffic_class = TRAFFIC_CLASSES[number % len(TRAFFIC_CLASSES)]
        turn = number // len(TRAFFIC_CLASSES) + 1
        body = b"message %d" % number
        if traffic_class.service == "confirmations" and turn % FAILING_EVERY == 0:
            body = FAILING_BODY
        elif traffic_class.service == "reassignments" and turn % FAILING_ONCE_EVERY == 0:
            body = FAILING_ONCE_BODY
        url = f"http://{receiver}/done" if traffic_class.callback else ""
        sent.append(LocalMessage(number, traffic_class, body, url))
    return sent


class TrafficClient:
    """Sends messages to random frontends ("host:port") of a system and polls their states."""

    def __init__(
        self, session: aiohttp.ClientSession, frontends: Sequence[str], random_source: random.Random
    ) -> None:
        self._session = session
        self._frontends = frontends
        self._random_source = random_source

    async def send(self, messages: Sequence[LocalMessage]) -> None:
        """Send all messages with `SENDERS` concurrent senders, each of which sends its share in order."""
        batches = [messages[first::SENDERS] for first in range(SENDERS)]
        async with asyncio.TaskGroup() as tasks:
            for batch in batches:
                tasks.create_task(self._send_each(batch))

    async def follow(
        self, messages: Sequence[LocalMessage], receiver: StubCallbackReceiver, within_s: float
    ) -> None:
        """Poll each accepted message until it is in a final state and its callback has arrived.

        The polling stops after `within_s` seconds.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(within_s), asyncio.TaskGroup() as tasks:
                for message in messages:
                    if message.reference:
                        tasks.create_task(self._follow_message(message, receiver))

    async def _send_each(self, messages: Sequence[LocalMessage]) -> None:
        for message in messages:
            await self._send_one(message)

    async def _send_one(self, message: LocalMessage) -> None:
        """Send one message; after a 429 or 503, retry it under a new id, up to `MAX_ATTEMPTS` times.

        A new id is safe because these statuses guarantee that the rejected message is never executed.
        """
        loop = asyncio.get_running_loop()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            message.id = f"local-{message.number}-{attempt}"
            started = loop.time()
            try:
                async with self._session.post(
                    self._url(f"{message.traffic_class.path}{message.number}"),
                    data=message.body,
                    headers=_headers(message),
                    timeout=_TIMEOUT,
                ) as response:
                    await response.read()
                    message.response_status = response.status
                    message.reference = response.headers.get("X-Message-Ref", message.id)
                    wait_s = float(response.headers.get("Retry-After", 0))
            except (aiohttp.ClientError, TimeoutError, OSError):
                message.response_status = 0
            message.response_ms = 1000 * (loop.time() - started)
            if message.response_status not in (429, 503):
                break
            await asyncio.sleep(wait_s)
        if message.response_status != 202:
            message.reference = ""

    async def _follow_message(self, message: LocalMessage, receiver: StubCallbackReceiver) -> None:
        while True:
            if not message.ended:
                await self._read_state(message)
            message.callback_received = message.id in receiver.received
            if message.ended and (message.callback_received or not message.callback_url):
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _read_state(self, message: LocalMessage) -> None:
        with suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with self._session.get(
                self._url(f"/message/{message.reference}"), headers={"Host": HOST}, timeout=_TIMEOUT
            ) as response:
                body = await response.read()
                if response.status == 200:
                    report = orjson.loads(body)
                    message.state = report["state"]
                    message.signature = report.get("signature") or ""

    def _url(self, path: str) -> str:
        return f"http://{self._random_source.choice(self._frontends)}{path}"


_TIMEOUT = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)


def _headers(message: LocalMessage) -> dict[str, str]:
    headers = {"Host": HOST, "X-Attempt-Id": message.id, "X-Deadline-Ms": str(CLIENT_DEADLINE_MS)}
    if message.traffic_class.ordered:
        headers["X-Ordering-Key"] = f"key-{message.number % ORDERING_KEYS}"
    if message.callback_url:
        headers["X-Callback-Url"] = message.callback_url
    return headers


def find_failures(
    messages: Sequence[LocalMessage], history: StubWorkerHistory, receiver: StubCallbackReceiver
) -> list[str]:
    """Return the messages whose outcome differs from the expected one, one line each."""
    failures = []
    for message in messages:
        label = f"message {message.number} ({message.traffic_class.service})"
        if message.response_status != 202:
            failures.append(f"{label}: not accepted, last answer {message.response_status or 'none'}")
        elif message.state != message.expected:
            failures.append(f"{label}: {message.state or 'unknown'} where {message.expected} was to come")
        elif message.state == COMPLETED and message.signature != history.signatures.get(message.id):
            failures.append(f"{label}: its signature is not that of its run")
        elif message.callback_url and receiver.received.get(message.id) != (message.state, message.signature):
            failures.append(f"{label}: its call-back has not come, or says something else")
    return failures


def format_summary(messages: Sequence[LocalMessage]) -> str:
    """Format a table with one row per traffic class."""
    headers = [
        "service",
        "sent to",
        "sent",
        "accepted",
        "completed",
        "dead letter",
        "not ended",
        "call-backs",
        "202 median ms",
    ]
    rows: list[list[Cell]] = []
    for traffic_class in TRAFFIC_CLASSES:
        of_class = [message for message in messages if message.traffic_class is traffic_class]
        accepted = [message for message in of_class if message.response_status == 202]
        rows.append(
            [
                traffic_class.service,
                traffic_class.worker,
                len(of_class),
                len(accepted),
                _count(of_class, COMPLETED),
                _count(of_class, DEAD_LETTER),
                sum(not message.ended for message in accepted),
                sum(message.callback_received for message in of_class),
                statistics.median(message.response_ms for message in accepted) if accepted else 0.0,
            ]
        )
    return format_table(headers, rows)


def format_messages(messages: Sequence[LocalMessage], history: StubWorkerHistory) -> str:
    """Format a table with one row per message."""
    headers = ["message", "service", "reference", "state", "deliveries", "signature"]
    return format_table(
        headers,
        [
            [
                message.id,
                message.traffic_class.service,
                message.reference or "-",
                message.state or "-",
                history.deliveries.get(message.id, 0),
                message.signature or "-",
            ]
            for message in messages
        ],
    )


def _count(messages: Sequence[LocalMessage], state: str) -> int:
    return sum(message.state == state for message in messages)
