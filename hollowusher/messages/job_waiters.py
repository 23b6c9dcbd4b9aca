"""Long polls of dispatchers for jobs of this store, and notifications if no dispatcher polls."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from hollowusher.coordination import rendezvous
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.protocol.leases import JobsWaiting
from hollowusher.protocol.messages import CALLBACK_PREFIX
from hollowusher.transport.interface import Transport

NOTIFY_DELAY_S = 0.06
NOTIFY_INTERVAL_S = 0.3
NEVER_REQUESTED_AT = -1e9
# Number of processes, besides the last to request, that get the first notification about a fixed endpoint.
PROBABLE_OWNERS = 3


class JobWaiters:
    """The waiting lease requests of each service, oldest first.

    `has_ready` takes the name of a service and returns whether one of its jobs can be leased now.
    """

    def __init__(
        self, store_id: str, transport: Transport, state: ClusterState, has_ready: Callable[[str], bool]
    ) -> None:
        self._store_id = store_id
        self._transport = transport
        self._state = state
        self._has_ready = has_ready
        self._waiting: dict[str, deque[asyncio.Future[None]]] = {}
        self._requested_at: dict[str, float] = {}
        self._requested_by: dict[str, str] = {}
        self._notifying: dict[str, asyncio.TimerHandle] = {}
        self._unanswered: set[str] = set()  # services with a fixed endpoint, notified since its last request
        self._closed = False

    def record_request(self, service: str, dispatcher: str) -> None:
        """Record that a dispatcher has requested jobs of a service."""
        self._requested_at[service] = self._now()
        self._requested_by[service] = dispatcher
        self._unanswered.discard(service)

    async def wait(self, service: str, until: float) -> None:
        """Wait until jobs of a service may be ready, or until the event loop's clock reaches `until`."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue = self._waiting.setdefault(service, deque())
        queue.append(waiter)
        try:
            async with asyncio.timeout_at(until):
                await waiter
        except TimeoutError:
            pass
        finally:
            with suppress(ValueError):
                queue.remove(waiter)
            if not queue and self._waiting.get(service) is queue:
                del self._waiting[service]

    def wake(self, service: str) -> None:
        """Wake the oldest waiting request if a job of the service is ready.

        The request that wakes up calls `wake` again, so the next one wakes if jobs remain.  If no request
        waits, schedule a notification to the dispatchers.
        """
        if not self._has_ready(service):
            return
        for waiter in self._waiting.get(service, ()):
            if not waiter.done():
                waiter.set_result(None)
                return
        self._notify_later(service, self._notify_delay_s(service))

    def wake_all(self, service: str) -> None:
        """Wake all waiting requests, so that a request that its dispatcher has given up can return."""
        for waiter in self._waiting.get(service, ()):
            if not waiter.done():
                waiter.set_result(None)

    def close(self) -> None:
        """Wake all waiting requests and stop notifications."""
        self._closed = True
        for timer in self._notifying.values():
            timer.cancel()
        for service in self._waiting:
            self.wake_all(service)

    def _notify_later(self, service: str, delay_s: float) -> None:
        if service not in self._notifying and not self._closed:
            loop = asyncio.get_running_loop()
            self._notifying[service] = loop.call_later(delay_s, self._notify, service)

    def _notify(self, service: str) -> None:
        del self._notifying[service]
        if service in self._waiting or not self._has_ready(service):
            return
        silent_s = self._silent_s(service)
        if silent_s < NOTIFY_DELAY_S:
            self._notify_later(service, NOTIFY_DELAY_S - silent_s)
            return
        for address in self._dispatchers(service):
            self._transport.send(address, JobsWaiting(service, self._store_id))
        self._notify_later(service, NOTIFY_INTERVAL_S)

    def _dispatchers(self, service: str) -> list[str]:
        """Return the addresses of the dispatchers to notify.

        The owner of a fixed endpoint is probably the process that requested its jobs last, or one of the
        first of its ranking; the bound on the load of a process may pass it on to a later one.
        """
        edges = {member.name: member.address for member in self._state.live_members("edge")}
        if service.startswith(CALLBACK_PREFIX):
            owner = rendezvous.choose(service, edges)
            return [edges[owner]] if owner is not None else []
        destination = self._fixed_destination_key(service)
        if destination is None or service in self._unanswered:
            return list(edges.values())
        self._unanswered.add(service)
        probable = {self._requested_by.get(service), *rendezvous.rank(destination, edges)[:PROBABLE_OWNERS]}
        return [address for name, address in edges.items() if name in probable]

    def _fixed_destination_key(self, service: str) -> str | None:
        configuration = self._state.configuration
        settings = configuration.service(service) if configuration is not None else None
        return None if settings is None else settings.fixed_destination_key

    def _notify_delay_s(self, service: str) -> float:
        """Return how long to wait for a request before the dispatchers are notified.

        A fixed endpoint has one dispatcher, so there is no wait if that one has not requested for a while.
        """
        if self._fixed_destination_key(service) is None:
            return NOTIFY_DELAY_S
        return max(0.0, NOTIFY_DELAY_S - self._silent_s(service))

    def _silent_s(self, service: str) -> float:
        """Return the seconds since a dispatcher last requested jobs of a service."""
        return self._now() - self._requested_at.get(service, NEVER_REQUESTED_AT)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
