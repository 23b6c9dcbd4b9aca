"""Planted faults of a partition's primary: the queue, leases and ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import attrs

from hollowusher.configuration.model import Route
from hollowusher.intake.admission import RouteIndex
from hollowusher.messages.partition import message_lifecycle
from hollowusher.messages.partition.active_messages import ActiveMessage
from hollowusher.messages.partition.message_leases import MessageLeases
from hollowusher.messages.partition.message_lifecycle import MessageLifecycle
from hollowusher.messages.partition.message_queue import MessageQueue, QueueStage
from hollowusher.messages.partition.message_restorer import MessageRestorer
from hollowusher.messages.partition.partition_primary import PartitionPrimary
from hollowusher.messages.partition.token_bucket import TokenBucket
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.leases import FinishLease, LeaseUpdateResponse
from hollowusher.simulation.planted.registry import NEVER_S, TAKEOVER_FAULTS, Patches, fault_at, planted_fault
from hollowusher.simulation.stand_ins import SimulatedCallbackClient

# ---- the queue


@planted_fault("ORDER")
def _ordering_key_ignored(patches: Patches) -> None:
    patches.replace(MessageQueue, "_is_first", lambda queue, message: True)


@planted_fault("ORDER")
def _next_of_key_leaves_with_the_lease(patches: Patches) -> None:
    real = MessageQueue.lease_next

    def take(queue: MessageQueue, service: str) -> Any:
        message = real(queue, service)
        if message is not None and message.ordering_group:
            lane = queue._ordering_groups[message.ordering_group]
            if lane[0] is message and len(lane) > 1:
                lane.append(lane.pop(0))
                if lane[0].stage is QueueStage.WAITING:
                    queue._schedule(lane[0], queue._now)
        return message

    patches.replace(MessageQueue, "lease_next", take)


@planted_fault("ORDER", moves_routes=True)
def _order_within_a_service_only(patches: Patches) -> None:
    real = ActiveMessage

    def with_group_of_service(*, service: str, ordering_group: str, **fields: Any) -> ActiveMessage:
        group = f"{service}/{ordering_group}" if ordering_group else ""
        return real(service=service, ordering_group=group, **fields)

    patches.replace(message_lifecycle, "ActiveMessage", with_group_of_service)


@planted_fault("CONFIG", script=(), moves_routes=True)
def _former_service_kept(patches: Patches) -> None:
    real = RouteIndex.find_route
    first: dict[str, str] = {}

    def find_route(index: RouteIndex, host: str, target: str) -> Route | None:
        route = real(index, host, target)
        if route is None or first.setdefault(route.name, route.upstream) not in index.services:
            return route
        return replace(route, upstream=first[route.name])

    patches.replace(RouteIndex, "find_route", find_route)


@planted_fault("CEILING")
def _ceiling_by_each_alone(patches: Patches) -> None:
    patches.replace(TokenBucket, "RATE_FRACTION", 4.0)


@planted_fault("CEILING", fault_kinds=TAKEOVER_FAULTS)
def _ceiling_saved_up(patches: Patches) -> None:
    patches.replace(TokenBucket, "BURST_S", 10.0)


@planted_fault("EARLY")
def _delay_forgotten(patches: Patches) -> None:
    real = PartitionPrimary.put

    def put(primary: PartitionPrimary, message: Any, now: float, wall_ms: int) -> Any:
        return real(primary, evolve(message, delay_ms=0), now, wall_ms)

    patches.replace(PartitionPrimary, "put", put)


@planted_fault("EARLY", fault_kinds=TAKEOVER_FAULTS)
def _delay_lost_at_takeover(patches: Patches) -> None:
    real = MessageLifecycle.activate

    def activate(lifecycle: MessageLifecycle, *arguments: Any) -> ActiveMessage:
        active = real(lifecycle, *arguments)
        active.due_wall_ms = 0
        return active

    patches.replace(MessageLifecycle, "activate", activate)


# ---- leases and ends


@planted_fault("TWICE")
def _lease_lapses_early(patches: Patches) -> None:
    patches.replace(MessageLeases, "lease_duration_s", lambda leases, active, state: 0.05)


@planted_fault("UNSERVED")
def _lease_never_lapses(patches: Patches) -> None:
    patches.replace(MessageLeases, "lease_duration_s", lambda leases, active, state: NEVER_S)


def _on_finish(patches: Patches, change: Callable[[FinishLease], FinishLease]) -> None:
    real = PartitionPrimary.finish

    def finish(primary: PartitionPrimary, lease: Any, request: FinishLease, now: float, wall_ms: int) -> Any:
        return real(primary, lease, request if lease.is_callback else change(request), now, wall_ms)

    patches.replace(PartitionPrimary, "finish", finish)


@planted_fault("TWICE")
def _every_end_taken(patches: Patches) -> None:
    real = PartitionPrimary.finish
    patches.replace(MessageLeases, "lease_duration_s", lambda leases, active, state: 0.05)

    def finish(primary: PartitionPrimary, lease: Any, request: FinishLease, now: float, wall_ms: int) -> Any:
        answer = real(primary, lease, request, now, wall_ms)
        gone = isinstance(answer, LeaseUpdateResponse) and answer.status == "gone"
        return LeaseUpdateResponse("taken") if gone else answer

    patches.replace(PartitionPrimary, "finish", finish)


@planted_fault("MIXED", "LOST")
def _lost_answer_counts_as_attempt(patches: Patches) -> None:
    _on_finish(patches, lambda end: evolve(end, result="failed") if end.result == "unknown" else end)


@planted_fault("MIXED", "LOST")
def _refusal_counts_as_attempt(patches: Patches) -> None:
    _on_finish(patches, lambda end: evolve(end, result="failed") if end.result == "not_run" else end)


@planted_fault("MIXED", "LOST")
def _lost_answer_taken_for_success(patches: Patches) -> None:
    _on_finish(
        patches, lambda end: evolve(end, result="success", signature="") if end.result == "unknown" else end
    )


@planted_fault("STALE")
def _failed_attempts_not_counted(patches: Patches) -> None:
    _on_finish(patches, lambda end: evolve(end, result="unknown") if end.result == "failed" else end)


@planted_fault("MIXED", "LOST")
def _one_attempt_too_few(patches: Patches) -> None:
    real = MessageLifecycle.activate

    def activate(lifecycle: MessageLifecycle, *arguments: Any) -> ActiveMessage:
        active = real(lifecycle, *arguments)
        active.max_attempts = max(1, active.max_attempts - 1)
        return active

    patches.replace(MessageLifecycle, "activate", activate)


@planted_fault("MIXED", "LOST")
def _retention_too_short(patches: Patches) -> None:
    real = MessageLifecycle.activate

    def activate(lifecycle: MessageLifecycle, key: Any, put: Any, retained_until: float) -> ActiveMessage:
        short = evolve(put.message, retention_ms=min(put.message.retention_ms, 2_000))
        return real(
            lifecycle,
            key,
            put._replace(message=short) if hasattr(put, "_replace") else attrs.evolve(put, message=short),
            min(retained_until, retained_until - 6.0),
        )

    patches.replace(MessageLifecycle, "activate", activate)


@planted_fault("EXPIRED", "STALE", script=(fault_at(2, "workers_down", for_s=14.0),))
def _retention_ignored(patches: Patches) -> None:
    real = MessageLifecycle.activate

    def activate(lifecycle: MessageLifecycle, key: Any, put: Any, retained_until: float) -> ActiveMessage:
        return real(lifecycle, key, put, NEVER_S)

    patches.replace(MessageLifecycle, "activate", activate)


@planted_fault("MIXED")
def _wrong_stamp_after_repeat(patches: Patches) -> None:
    real = PartitionPrimary.status

    def status(primary: PartitionPrimary, key: Any, *, want_body: bool) -> Any:
        answer = real(primary, key, want_body=want_body)
        return evolve(answer, signature=answer.signature[::-1])

    patches.replace(PartitionPrimary, "status", status)


@planted_fault("UNTOLD")
def _failed_callback_counts_as_told(patches: Patches) -> None:
    real = SimulatedCallbackClient.post

    async def post(client: SimulatedCallbackClient, job: Any) -> str:
        await real(client, job)
        return "success"

    patches.replace(SimulatedCallbackClient, "post", post)


@planted_fault("UNTOLD", fault_kinds=TAKEOVER_FAULTS)
def _callback_forgotten_at_takeover(patches: Patches) -> None:
    patches.replace(MessageRestorer, "restore_ended", lambda adoption, entry, now, wall_ms: None)
