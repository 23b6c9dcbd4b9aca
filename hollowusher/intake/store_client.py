"""Calls from an edge process to the primaries of partitions, retried until a deadline.

After a put with an unknown outcome, the client retries only at the same partition, so that no message is
stored in two partitions.  Before that, it may choose another candidate partition.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Any, Protocol, TypeVar, cast

import attrs

from hollowusher.coordination.cluster_state import MEMBER_PREFIX, PLACEMENT, ClusterState
from hollowusher.intake.peer_health import PeerHealth
from hollowusher.protocol.leases import ExtendLease, FinishLease, LeaseUpdateResponse
from hollowusher.protocol.membership import Member
from hollowusher.protocol.messages import (
    MessageStatusRequest,
    MessageStatusResponse,
    NewMessage,
    PutRequest,
    PutResponse,
)
from hollowusher.protocol.placement import PartitionPlacement
from hollowusher.transport.interface import PeerError, Transport

CALL_TIMEOUT_S = 0.5  # per call; after a timeout the transport drops the connection and the call is retried
HEALTH_CHECK_TIMEOUT_S = 0.3
FIRST_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.2
RETRIABLE = ("not_primary", "unavailable")  # response states after which a retry may succeed
AnswerType = TypeVar("AnswerType", LeaseUpdateResponse, MessageStatusResponse)


class MessageStore(Protocol):
    """The interface to the stores that the intake uses; `StoreClient` implements it over the network.

    All deadlines are in event loop time."""

    async def put(
        self, message: NewMessage, candidates: Sequence[int], deadline: float, reject_at: float | None = None
    ) -> PutResponse:
        """Store a message in one of the candidate partitions."""

    async def finish(self, request: FinishLease, deadline: float) -> LeaseUpdateResponse:
        """End a lease."""

    async def extend(self, request: ExtendLease, deadline: float) -> LeaseUpdateResponse:
        """Extend a lease."""

    async def status(self, reference: str, includes_body: bool, deadline: float) -> MessageStatusResponse:
        """Read the state of a message, and its body if `includes_body` is true."""


@attrs.frozen
class _PrimaryTarget:
    """A partition and the address of its primary at the start of a call."""

    partition: int
    address: str


class PrimaryMovedError(Exception):
    """Raised if the partition's primary changes during a call, which the old primary may have executed."""


class _Backoff:
    """Exponential backoff between the attempts of one request."""

    def __init__(self) -> None:
        self._next = FIRST_BACKOFF_S

    def next(self) -> float:
        """Return the next pause in seconds."""
        pause = self._next
        self._next = min(pause * 2, MAX_BACKOFF_S)
        return pause


def partition_of(identifier: str) -> int | None:
    """Return the partition in a message reference or lease id, or None if the identifier is invalid."""
    number, dash, _ = identifier.partition("-")
    if not dash or not number.isascii() or not number.isdigit() or len(number) > 9:
        return None
    return int(number)


class StoreClient:
    """The store client of one edge process.

    `clock` returns event loop time; all deadlines use this clock."""

    def __init__(self, transport: Transport, state: ClusterState, clock: Callable[[], float]) -> None:
        self._transport = transport
        self._state = state
        self._clock = clock
        self._health: dict[str, PeerHealth] = {}
        self._pending_calls: dict[asyncio.Timeout, _PrimaryTarget] = {}
        self._changed = asyncio.Event()
        self._health_checks: set[asyncio.Task[None]] = set()
        self._placed = self._placed_partitions()
        self._incarnations = {name: member.incarnation for name, member in state.members.items()}
        state.add_listener(self._on_change)

    async def put(
        self, message: NewMessage, candidates: Sequence[int], deadline: float, reject_at: float | None = None
    ) -> PutResponse:
        """Store a message in the first usable candidate partition.

        The response status is "stored", "unavailable" or "unknown".  "unavailable" means that no store has
        stored the message; the client returns it at `reject_at` if that is before `deadline`.  "unknown"
        means that a put was sent and its outcome is unknown at `deadline`."""
        started = self._clock()
        reject_deadline = deadline if reject_at is None else min(reject_at, deadline)
        rejected: set[int] = set()
        backoff = _Backoff()
        pinned_partition: int | None = None  # the partition that may have stored the message
        while True:
            now = self._clock()
            if now >= (reject_deadline if pinned_partition is None else deadline):
                return PutResponse("unavailable" if pinned_partition is None else "unknown")
            target = (
                self._choose_target(candidates, rejected, now)
                if pinned_partition is None
                else self._primary(pinned_partition)
            )
            if target is None:
                rejected.clear()
                await self._pause(backoff, reject_deadline if pinned_partition is None else deadline)
                continue
            try:
                request = PutRequest(target.partition, _with_delay_left(message, now - started))
                answer = await self._call(target, request, deadline)
            except PrimaryMovedError:
                pinned_partition = target.partition
                continue
            except PeerError as error:
                answer = PutResponse("unknown" if error.sent else "unavailable")
            if answer.status == "stored":
                return PutResponse("stored", answer.reference)
            if answer.status not in RETRIABLE:
                pinned_partition = target.partition
            if pinned_partition is None:
                rejected.add(target.partition)
            else:
                await self._pause(backoff, deadline)

    async def finish(self, request: FinishLease, deadline: float) -> LeaseUpdateResponse:
        """End a lease; the status is "unavailable" if the deadline passes first.

        In that case the lease may still have been ended."""
        return await self._request_until_final(
            request.lease,
            request,
            deadline,
            LeaseUpdateResponse("gone"),
            LeaseUpdateResponse("unavailable"),
            _is_final_lease_answer,
        )

    async def extend(self, request: ExtendLease, deadline: float) -> LeaseUpdateResponse:
        """Extend a lease; the status is "unavailable" if the deadline passes first."""
        return await self._request_until_final(
            request.lease,
            request,
            deadline,
            LeaseUpdateResponse("gone"),
            LeaseUpdateResponse("unavailable"),
            _is_final_lease_answer,
        )

    async def status(self, reference: str, includes_body: bool, deadline: float) -> MessageStatusResponse:
        """Return the state of a message; the state is "unavailable" if the deadline passes first."""
        return await self._request_until_final(
            reference,
            MessageStatusRequest(reference, includes_body),
            deadline,
            MessageStatusResponse("unknown"),
            MessageStatusResponse("unavailable"),
            _is_final_status_answer,
        )

    def is_suspect(self, address: str) -> bool:
        """Return whether new puts should avoid the store at this address now."""
        health = self._health.get(address)
        return health is not None and health.is_suspect(self._clock())

    async def _request_until_final(
        self,
        identifier: str,
        request: Any,
        deadline: float,
        absent: AnswerType,
        unavailable: AnswerType,
        is_final: Callable[[AnswerType], bool],
    ) -> AnswerType:
        """Send a request to the primary of the identifier's partition until a response is final.

        Returns `absent` if the partition does not exist, and `unavailable` if the deadline passes."""
        partition = partition_of(identifier)
        if partition is None:
            return absent
        backoff = _Backoff()
        while self._clock() < deadline:
            if self._state.placement is not None and self._state.partition_placement(partition) is None:
                return absent
            target = self._primary(partition)
            if target is not None:
                try:
                    answer: AnswerType = await self._call(target, request, deadline)
                    if is_final(answer):
                        return answer
                except PrimaryMovedError:
                    continue
                except PeerError:
                    pass
            await self._pause(backoff, deadline)
        return unavailable

    def _primary(self, partition: int) -> _PrimaryTarget | None:
        address = self._state.primary_address(partition)
        return None if address is None else _PrimaryTarget(partition, address)

    def _choose_target(
        self, candidates: Sequence[int], rejected: set[int], now: float
    ) -> _PrimaryTarget | None:
        """Return the first candidate whose primary is known and not suspect, or None.

        It skips the partitions in `rejected`, and starts health checks of suspect primaries that are due."""
        for partition in candidates:
            if partition in rejected:
                continue
            target = self._primary(partition)
            if target is None:
                continue
            health = self._health.get(target.address)
            if health is None or not health.is_suspect(now):
                return target
            if health.is_health_check_due(now):
                self._start_health_check(target)
        return None

    async def _call(self, target: _PrimaryTarget, request: Any, deadline: float) -> Any:
        """Make one call; raise `PrimaryMovedError` if the partition's primary changes in the meantime."""
        health = self._health.setdefault(target.address, PeerHealth())
        now = self._clock()
        number = health.call_started(now)
        scope = asyncio.timeout(None)  # `_on_change` lets it expire if the partition's primary changes
        self._pending_calls[scope] = target
        try:
            async with scope:
                answer = await self._transport.call(
                    target.address, request, min(deadline - now, CALL_TIMEOUT_S)
                )
            health.call_answered(number, self._clock())
            return answer
        except PeerError:
            health.call_failed(number, self._clock())
            raise
        except TimeoutError:
            raise PrimaryMovedError from None
        finally:
            health.call_abandoned(number)
            del self._pending_calls[scope]

    async def _pause(self, backoff: _Backoff, until: float) -> None:
        """Wait for the next backoff, or until the cluster changes or a suspect store responds."""
        seconds = min(backoff.next(), until - self._clock())
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._changed.wait()

    def _start_health_check(self, target: _PrimaryTarget) -> None:
        task = asyncio.get_running_loop().create_task(self._check_health(target))
        self._health_checks.add(task)
        task.add_done_callback(self._health_checks.discard)

    async def _check_health(self, target: _PrimaryTarget) -> None:
        """Probe a suspect store with a status request, which has no side effects."""
        request = MessageStatusRequest(f"{target.partition}-0-0")
        with suppress(PeerError, PrimaryMovedError):
            await self._call(target, request, self._clock() + HEALTH_CHECK_TIMEOUT_S)
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _on_change(self, key: str) -> None:
        if key == PLACEMENT:
            self._reset_new_primaries()
        elif key.startswith(MEMBER_PREFIX):
            self._reset_restarted_store(self._state.members[key.removeprefix(MEMBER_PREFIX)])
        else:
            return
        for scope, target in self._pending_calls.items():
            address = self._state.primary_address(target.partition)
            if address is not None and address != target.address and not scope.expired():
                scope.reschedule(self._clock())
        self._wake()

    def _placed_partitions(self) -> dict[int, PartitionPlacement]:
        placement = self._state.placement
        return {} if placement is None else {entry.partition: entry for entry in placement.partitions}

    def _reset_new_primaries(self) -> None:
        before, self._placed = self._placed, self._placed_partitions()
        for number, entry in self._placed.items():
            known = before.get(number)
            address = self._state.store_address(entry.primary)
            if (known is None or known.epoch != entry.epoch) and address in self._health:
                self._health[address].reset()

    def _reset_restarted_store(self, member: Member) -> None:
        known = self._incarnations.get(member.name)
        self._incarnations[member.name] = member.incarnation
        if known != member.incarnation and member.address in self._health:
            self._health[member.address].reset()


def _with_delay_left(message: NewMessage, waited_s: float) -> NewMessage:
    """Return the message with its delay reduced by the time that it has waited in this process."""
    waited_ms = int(waited_s * 1000)
    if not message.delay_ms or not waited_ms:
        return message
    changed: NewMessage = attrs.evolve(cast(Any, message), delay_ms=max(0, message.delay_ms - waited_ms))
    return changed


def _is_final_lease_answer(answer: LeaseUpdateResponse) -> bool:
    return answer.status not in RETRIABLE


def _is_final_status_answer(answer: MessageStatusResponse) -> bool:
    return answer.state not in RETRIABLE
