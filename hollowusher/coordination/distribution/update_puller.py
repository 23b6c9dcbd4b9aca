"""Client side of the long polls that pull updates from controllers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hollowusher.coordination.distribution.client_context import ClientContext
from hollowusher.coordination.distribution.contact_log import ContactLog
from hollowusher.coordination.distribution.update_feed import MS_PER_S
from hollowusher.coordination.membership.pause_detector import PauseDetector
from hollowusher.protocol.distribution import PullUpdates, UpdatesResponse
from hollowusher.transport.interface import PeerError

PULL_WAIT_MS = 1_000
PULL_TIMEOUT_MARGIN_S = 0.7  # how much longer than `PULL_WAIT_MS` a pull may take before it times out
MIN_PULL_INTERVAL_S = 0.1  # delay after an immediate response that contained no changes


class UpdatePuller:
    """Pulls updates for one process and records in the contact log until when each response was valid."""

    def __init__(self, context: ClientContext, contacts: ContactLog, pause_detector: PauseDetector) -> None:
        self._context = context
        self._contacts = contacts
        self._pause_detector = pause_detector

    async def pull(
        self,
        address: str,
        version_vector: dict[str, int],
        apply_updates: Callable[[UpdatesResponse], list[str]],
    ) -> bool:
        """Pull once and apply the response; return whether the controller is in contact with a majority.

        `apply_updates` applies a response and returns the keys whose value has changed.

        Raises
        ------
        PeerError
            If no controller answers at `address`.
        """
        started = self._context.now()
        request = PullUpdates(self._context.name, version_vector, PULL_WAIT_MS)
        timeout_s = PULL_WAIT_MS / MS_PER_S + PULL_TIMEOUT_MARGIN_S
        answer = await self._context.transport.call(address, request, timeout_s)
        if not isinstance(answer, UpdatesResponse):
            raise PeerError("PullUpdates", address, "the peer does not serve updates")
        changed = apply_updates(answer)
        self._record(address, answer, started)
        if not changed and self._context.now() - started < MIN_PULL_INTERVAL_S:
            await asyncio.sleep(MIN_PULL_INTERVAL_S)
        return answer.connected

    def _record(self, address: str, answer: UpdatesResponse, started: float) -> None:
        """Record a response to a request sent at `started`.

        If this process was paused since then, the response may have waited unread during the pause.  It
        therefore counts as valid only at the time of the request.
        """
        now = self._context.now()
        self._pause_detector.tick(now)
        valid_at = started if self._pause_detector.paused_since(started) else now
        self._contacts.record_answer(address, valid_at)
        self._context.selector.health(address).record_pull(now, connected=answer.connected)
        if answer.connected:
            self._contacts.record_majority(valid_at - answer.age_ms / MS_PER_S)
