"""Planted faults of calls: answers that are not one's own, messages at used addresses, refusals, drains."""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.configuration import orders
from hollowusher.coordination.controller.control_state_service import ControlStateService
from hollowusher.messages.partition.active_messages import GONE, LeaseOutcome
from hollowusher.messages.partition.message_leases import MessageLeases
from hollowusher.messages.partition.partition_primary import PartitionPrimary
from hollowusher.messages.records import MessageStatus
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.leases import LeaseUpdateResponse
from hollowusher.roles import edge
from hollowusher.simulation import stand_ins
from hollowusher.simulation.http_network import HttpRequest
from hollowusher.simulation.planted.registry import NEVER_S, Patches, fault_at, planted_fault
from hollowusher.simulation.stand_ins import SimulatedFrontend


def _on_requests(patches: Patches, *dropped: str) -> None:
    """Have requests to workers go out without some of their headers."""
    real = stand_ins.parse_request

    def parse(sent: bytes) -> HttpRequest:
        request = real(sent)
        kept = {name: value for name, value in request.headers.items() if name.lower() not in dropped}
        return HttpRequest(request.method, request.target, kept, request.body)

    patches.replace(stand_ins, "parse_request", parse)


@planted_fault("ROUTE")
def _message_to_a_used_address(patches: Patches) -> None:
    _on_requests(patches, "x-target-instance")


@planted_fault("UNASKED")
def _ordering_key_dropped(patches: Patches) -> None:
    _on_requests(patches, "x-ordering-key")


@planted_fault("MIXED", "TWICE", "LOST")
def _answer_of_another_message_taken(patches: Patches) -> None:
    patches.replace(stand_ins, "matches_message", lambda answer, identifier: True)


@planted_fault("MIXED")
def _repeated_end_refused(patches: Patches) -> None:
    patches.replace(LeaseOutcome, "is_repeat", lambda end, state: False)


@planted_fault("LOST")
def _end_forgotten(patches: Patches) -> None:
    real = PartitionPrimary.status

    def status(primary: PartitionPrimary, key: Any, *, want_body: bool) -> Any:
        answer = real(primary, key, want_body=want_body)
        entry = primary.table.entries.get(key)
        ended = entry is not None and entry.status is MessageStatus.COMPLETED
        return evolve(answer, state="unknown") if ended else answer

    patches.replace(PartitionPrimary, "status", status)


@planted_fault("BUDGET", "STALE")
def _failures_without_end(patches: Patches) -> None:
    real = MessageLeases.finish

    def finish(leases: MessageLeases, lease: Any, request: Any, now: float, wall_ms: int) -> Any:
        failed = request.result in ("failed", "refused")
        return real(leases, lease, evolve(request, result="unknown") if failed else request, now, wall_ms)

    patches.replace(MessageLeases, "finish", finish)


@planted_fault("DRAIN", fault_kinds=("stop", "roll"))
def _ready_after_sigterm(patches: Patches) -> None:
    def drain(frontend: SimulatedFrontend) -> None:
        frontend._intake.drain()

    async def stop(frontend: SimulatedFrontend, grace_s: float) -> None:
        await frontend.frontend.stop(NEVER_S)

    patches.replace(edge, "UNREADY_BEFORE_STOP_S", 5.0)
    patches.replace(SimulatedFrontend, "drain", drain)
    patches.replace(SimulatedFrontend, "stop", stop)


@planted_fault(
    "CONFIG",
    script=(
        fault_at(2, "cut_core", "edge-1", for_s=8.0, how="near"),
        fault_at(6, "flood", how="calm", beside=True),
        fault_at(15, "cut_core", "edge-2", for_s=8.0, how="near"),
        fault_at(19, "flood", how="calm", beside=True),
    ),
)
def _refusal_without_a_majority(patches: Patches) -> None:
    real = ControlStateService._apply_order

    async def take(service: ControlStateService, order: Any) -> Any:
        outcome = orders.apply_order(service._chain_member.state, order)
        return outcome.answer if outcome.answer.status != 200 else await real(service, order)

    patches.replace(ControlStateService, "_apply_order", take)


@planted_fault(
    "CONFIG",
    script=(
        fault_at(1, "ack_lost", for_s=25.0),
        fault_at(2, "flood", beside=True),
        fault_at(2.5, "flood", beside=True),
        fault_at(9, "race", beside=True),
    ),
)
def _order_history_cut_short(patches: Patches) -> None:
    patches.replace(orders, "pruned", lambda history, *bounds: history[-1:])


@planted_fault("CONFIG", fault_kinds=("ack_lost", "flood", "race"))
def _same_order_taken_twice(patches: Patches) -> None:
    real = orders.apply_order

    def apply(state: Any, order: Any) -> Any:
        matching = attrs.evolve(order, if_match=state.generation)
        return real(state, matching if order.if_match else order)

    patches.replace(orders, "apply_order", apply)


@planted_fault("TWICE", "MIXED")
def _end_of_a_lost_lease_taken(patches: Patches) -> None:
    real = MessageLeases.finish
    patches.replace(MessageLeases, "lease_duration_s", lambda leases, active, state: 0.05)

    def finish(leases: MessageLeases, lease: Any, request: Any, now: float, wall_ms: int) -> Any:
        answer = real(leases, lease, request, now, wall_ms)
        return LeaseUpdateResponse("taken") if answer is GONE else answer

    patches.replace(MessageLeases, "finish", finish)
