"""HTTP client of the command line for the admin addresses of a running system."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import attrs
import orjson
from expression import Error, Ok, Result

CALL_TIMEOUT_S = 4.0
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
RETRIED_STATUSES = (408, 429)  # retried like 5xx, because another process may be able to respond


@attrs.frozen
class AdminCallError:
    """A call without a definite response: the step that failed, the last peer called, and the reason."""

    step: str
    peer: str
    reason: str
    sent: bool = True  # False if the peer certainly did not receive the request

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.reason}"


@attrs.frozen
class AdminResponse:
    """A definite response: the address of the process that sent it, its HTTP status and its body."""

    peer: str
    status: int
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    def json_value(self) -> Any:
        """Return the decoded JSON body, or None if the body is not JSON."""
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError:
            return None

    @property
    def reason(self) -> str:
        """The error text of a rejection: the `error` field of the body, else the body or the status."""
        json_value = self.json_value()
        if isinstance(json_value, dict) and isinstance(json_value.get("error"), str):
            return str(json_value["error"])
        return self.body.decode(errors="replace").strip() or f"status {self.status}"


class AdminClient:
    """Sends requests to the admin addresses ("host:port") in turn until one gives a definite response.

    A response is definite unless its status is 5xx or one of `RETRIED_STATUSES`.
    """

    def __init__(self, session: aiohttp.ClientSession, addresses: Sequence[str]) -> None:
        self._session = session
        self._addresses = list(addresses)

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        within_s: float = CALL_TIMEOUT_S,
    ) -> Result[AdminResponse, AdminCallError]:
        """Return the first definite response, or the last error after `within_s` seconds.

        The same request is retried on all addresses in turn with exponential backoff, so it must be safe to
        repeat.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within_s
        step = f"{method} {path}"
        backoff_s = FIRST_BACKOFF_S
        while True:
            for address in self._addresses:
                result = await self._call(step, address, body, headers, deadline - loop.time())
                if result.is_ok():
                    return result
            if loop.time() + backoff_s >= deadline:
                return result
            await asyncio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def request_once(
        self, method: str, path: str, body: bytes, within_s: float
    ) -> Result[AdminResponse, AdminCallError]:
        """Send a request that must be executed at most once, with a timeout of `within_s` seconds per call.

        The next address is tried only if the previous process certainly did not receive the request.
        """
        for address in self._addresses:
            result = await self._call(f"{method} {path}", address, body, None, within_s)
            if result.is_ok() or result.error.sent:
                return result
        return result

    async def get_from(
        self, address: str, path: str, timeout_s: float
    ) -> Result[AdminResponse, AdminCallError]:
        """Send one GET to one process, without retries."""
        return await self._call(f"GET {path}", address, None, None, timeout_s)

    async def _call(
        self,
        step: str,
        address: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
        remaining_s: float,
    ) -> Result[AdminResponse, AdminCallError]:
        method, _, path = step.partition(" ")
        url = f"http://{address}{path}"
        timeout = aiohttp.ClientTimeout(total=min(CALL_TIMEOUT_S, max(0.1, remaining_s)))
        try:
            async with self._session.request(
                method, url, data=body, headers=headers, timeout=timeout
            ) as response:
                answer = AdminResponse(address, response.status, await response.read())
        except TimeoutError:
            return Error(AdminCallError(step, address, "no answer in time"))
        except aiohttp.ClientConnectorError as error:
            reason = f"no connection: {os.strerror(error.errno or 0)}"
            return Error(AdminCallError(step, address, reason, sent=False))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Error(AdminCallError(step, address, str(error) or type(error).__name__))
        if answer.status >= 500 or answer.status in RETRIED_STATUSES:
            return Error(AdminCallError(step, address, f"status {answer.status}: {answer.reason}"))
        return Ok(answer)
