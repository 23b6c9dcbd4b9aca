"""Messages through a local system: how they are sent, asked about, and told as tables."""

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

from hollowusher.console.local.standins import FLAKY, POISON, CallbackReceiver, Ledger
from hollowusher.console.tables import Cell, table

HOST = "local.example"
GENERATION = 1
CEILING_PER_S = 50.0
ORDERING_KEYS = 3
SENDERS = 8
TRIES = 8
CLIENT_DEADLINE_MS = 2000
CALL_TIMEOUT_S = 3.0
ASK_EVERY_S = 0.1
POISON_EVERY = 10  # of the messages to listed workers, one in so many can never be done
FLAKY_EVERY = 7  # of those to pull workers, one in so many fails at its first delivery
COMPLETED = "completed"
DEAD_LETTER = "dead_letter"


@attrs.frozen
class Kind:
    """One kind of message: its route and service, and how its worker gets it."""

    service: str
    path: str
    worker: str
    ordered: bool = False
    callback: bool = False


KINDS = (
    Kind("confirmations", "/confirm/", "listed workers", callback=True),
    Kind("reassignments", "/reassign/", "pull workers"),
    Kind("bookings", "/book/", "fixed endpoint", ordered=True, callback=True),
)


@attrs.define
class Sent:
    """One message and what has become of it."""

    number: int
    kind: Kind
    body: bytes
    callback_url: str
    id: str = ""
    answer: int = 0  # the status of the last answer to it, 0 for none
    answer_ms: float = 0.0
    reference: str = ""
    state: str = ""
    signature: str = ""
    told: bool = False  # its call-back has come

    @property
    def expected(self) -> str:
        """How it is to end."""
        return DEAD_LETTER if self.body.startswith(POISON) else COMPLETED

    @property
    def ended(self) -> bool:
        """Whether its state is an end."""
        return self.state in (COMPLETED, DEAD_LETTER)


def configuration(fixed_endpoint: str) -> dict[str, Any]:
    """The configuration that the local system is given."""
    routes = [
        {
            "name": f"r-{kind.service}",
            "hostname": HOST,
            "pathPrefix": kind.path,
            "type": "async",
            "upstream": kind.service,
            "timeoutMs": 2000,
            "targetLatencyMs": 200,
            "targetStartMs": 2000,
            "priority": 1,
            "maxAttempts": 4,
            "ordered": kind.ordered,
            "retentionS": 60.0,
            "callbackUrl": kind.callback,
        }
        for kind in KINDS
    ]
    services = [
        {
            "name": kind.service,
            "healthCheck": "/healthz",
            "maxConnections": 16,
            "protocol": "h1",
            "tls": False,
            "ratePerS": CEILING_PER_S if kind.ordered else 0.0,
            "idempotent": False,
            "pull": kind.worker.startswith("pull"),
            "fixed": fixed_endpoint if kind.ordered else None,
        }
        for kind in KINDS
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"generation": GENERATION, "routes": routes, "upstreams": services, "limits": limits}


def plan(messages: int, receiver: str) -> list[Sent]:
    """The messages of a run, kinds in turn."""
    sent = []
    for number in range(messages):
        kind = KINDS[number % len(KINDS)]
        turn = number // len(KINDS) + 1
        body = b"message %d" % number
        if kind.service == "confirmations" and turn % POISON_EVERY == 0:
            body = POISON
        elif kind.service == "reassignments" and turn % FLAKY_EVERY == 0:
            body = FLAKY
        url = f"http://{receiver}/done" if kind.callback else ""
        sent.append(Sent(number, kind, body, url))
    return sent


class Traffic:
    """Sends messages to the entries ("host:port") of a system and follows each to its end."""

    def __init__(self, session: aiohttp.ClientSession, entries: Sequence[str], chance: random.Random) -> None:
        self._session = session
        self._entries = entries
        self._chance = chance

    async def send(self, messages: Sequence[Sent]) -> None:
        """Send all, some at a time; those about one thing in their order."""
        waiting = [messages[first::SENDERS] for first in range(SENDERS)]
        async with asyncio.TaskGroup() as tasks:
            for share in waiting:
                tasks.create_task(self._send_each(share))

    async def follow(self, messages: Sequence[Sent], receiver: CallbackReceiver, within_s: float) -> None:
        """Ask for each accepted message's state until it has ended and its call-back has come."""
        with suppress(TimeoutError):
            async with asyncio.timeout(within_s), asyncio.TaskGroup() as tasks:
                for message in messages:
                    if message.reference:
                        tasks.create_task(self._follow_one(message, receiver))

    async def _send_each(self, messages: Sequence[Sent]) -> None:
        for message in messages:
            await self._send_one(message)

    async def _send_one(self, message: Sent) -> None:
        """Send one; after a refusal, which promises that it never runs, again as a new try."""
        loop = asyncio.get_running_loop()
        for attempt in range(1, TRIES + 1):
            message.id = f"local-{message.number}-{attempt}"
            started = loop.time()
            try:
                async with self._session.post(
                    self._url(f"{message.kind.path}{message.number}"),
                    data=message.body,
                    headers=_headers(message),
                    timeout=_TIMEOUT,
                ) as response:
                    await response.read()
                    message.answer = response.status
                    message.reference = response.headers.get("X-Message-Ref", message.id)
                    wait_s = float(response.headers.get("Retry-After", 0))
            except (aiohttp.ClientError, TimeoutError, OSError):
                message.answer = 0
            message.answer_ms = 1000 * (loop.time() - started)
            if message.answer not in (429, 503):
                break
            await asyncio.sleep(wait_s)
        if message.answer != 202:
            message.reference = ""

    async def _follow_one(self, message: Sent, receiver: CallbackReceiver) -> None:
        while True:
            if not message.ended:
                await self._ask(message)
            message.told = message.id in receiver.told
            if message.ended and (message.told or not message.callback_url):
                return
            await asyncio.sleep(ASK_EVERY_S)

    async def _ask(self, message: Sent) -> None:
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
        return f"http://{self._chance.choice(self._entries)}{path}"


_TIMEOUT = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)


def _headers(message: Sent) -> dict[str, str]:
    headers = {"Host": HOST, "X-Attempt-Id": message.id, "X-Deadline-Ms": str(CLIENT_DEADLINE_MS)}
    if message.kind.ordered:
        headers["X-Ordering-Key"] = f"key-{message.number % ORDERING_KEYS}"
    if message.callback_url:
        headers["X-Callback-Url"] = message.callback_url
    return headers


def faults(messages: Sequence[Sent], ledger: Ledger, receiver: CallbackReceiver) -> list[str]:
    """What is not as it has to be, one line each."""
    found = []
    for message in messages:
        label = f"message {message.number} ({message.kind.service})"
        if message.answer != 202:
            found.append(f"{label}: not accepted, last answer {message.answer or 'none'}")
        elif message.state != message.expected:
            found.append(f"{label}: {message.state or 'unknown'} where {message.expected} was to come")
        elif message.state == COMPLETED and message.signature != ledger.signatures.get(message.id):
            found.append(f"{label}: its signature is not that of its run")
        elif message.callback_url and receiver.told.get(message.id) != (message.state, message.signature):
            found.append(f"{label}: its call-back has not come, or says something else")
    return found


def summary(messages: Sequence[Sent]) -> str:
    """A table with a line for each kind."""
    heads = [
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
    for kind in KINDS:
        own = [message for message in messages if message.kind is kind]
        accepted = [message for message in own if message.answer == 202]
        rows.append(
            [
                kind.service,
                kind.worker,
                len(own),
                len(accepted),
                _count(own, COMPLETED),
                _count(own, DEAD_LETTER),
                sum(not message.ended for message in accepted),
                sum(message.told for message in own),
                statistics.median(message.answer_ms for message in accepted) if accepted else 0.0,
            ]
        )
    return table(heads, rows)


def each(messages: Sequence[Sent], ledger: Ledger) -> str:
    """A table with a line for each message."""
    heads = ["message", "service", "reference", "state", "deliveries", "signature"]
    return table(
        heads,
        [
            [
                message.id,
                message.kind.service,
                message.reference or "-",
                message.state or "-",
                ledger.deliveries.get(message.id, 0),
                message.signature or "-",
            ]
            for message in messages
        ],
    )


def _count(messages: Sequence[Sent], state: str) -> int:
    return sum(message.state == state for message in messages)
