"""Planted faults: small changes of the real parts.  Each breaks a promise, which the checks must notice."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

import attrs

from hollowusher.configuration import orders
from hollowusher.coordination import replicator as chain_replicator
from hollowusher.coordination.agreement import Agreement
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.intake import store_client
from hollowusher.messages import records
from hollowusher.messages.adoption import Adoption
from hollowusher.messages.hosting import PartitionHost
from hollowusher.messages.leases import MessageLeases
from hollowusher.messages.lifecycle import MessageLifecycle
from hollowusher.messages.primary import ActiveMessage, PartitionPrimary
from hollowusher.messages.queue import MessageQueue, Stage, TokenBucket
from hollowusher.messages.records import Status
from hollowusher.messages.service import StoreService
from hollowusher.messages.table import PartitionTable
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control import ChainWritten
from hollowusher.protocol.store import Finish, LeaseAnswer, PutAnswer
from hollowusher.simulation.day import DayPlan
from hollowusher.simulation.stand_ins import ProcessParts, SimulatedCallbackClient
from hollowusher.storage.memory import MemoryLog, MemorySlot
from hollowusher.transport.interface import PeerError

HERDS = ("herd_kill", "herd_power", "herd_disk")
MOVES = ("kill", "power", "freeze", "cut", "cut_one_way", "stop")
NEVER_S = 1e9


class Patches:
    """Changes of classes and modules that are taken back at the end."""

    def __init__(self) -> None:
        self._saved: list[tuple[Any, str, Any]] = []

    def set(self, owner: Any, name: str, value: Any) -> Any:
        """Replace an attribute; the one before."""
        before = owner.__dict__[name]
        self._saved.append((owner, name, before))
        setattr(owner, name, value)
        return before

    def undo(self) -> None:
        """Put everything back."""
        for owner, name, before in reversed(self._saved):
            setattr(owner, name, before)
        self._saved.clear()


Plant = Callable[[Patches], None]


@dataclass(frozen=True)
class Planted:
    """One planted fault, the troubles that bring it to light, and the rules of which one must be broken."""

    name: str
    plant: Plant
    rules: tuple[str, ...]
    kinds: tuple[str, ...] | None = None

    def plan(self, base: DayPlan) -> DayPlan:
        """The day that is played with it."""
        return replace(base, kinds=self.kinds)


PLANTED: dict[str, Planted] = {}


def planted(*rules: str, kinds: tuple[str, ...] | None = None) -> Callable[[Plant], Plant]:
    """Register a planted fault by its function's name."""

    def register(plant: Plant) -> Plant:
        name = plant.__name__.strip("_").replace("_", "-")
        PLANTED[name] = Planted(name, plant, rules, kinds)
        return plant

    return register


@contextmanager
def planting(name: str) -> Iterator[None]:
    """Have a planted fault in place."""
    patches = Patches()
    PLANTED[name].plant(patches)
    try:
        yield
    finally:
        patches.undo()


# ---- storage


@planted("LOST", "MIXED", "UNSERVED", kinds=HERDS)
def _no_sync_before_202(patches: Patches) -> None:
    async def sync(log: MemoryLog) -> None:
        await asyncio.sleep(0)

    patches.set(MemoryLog, "sync", sync)


@planted("LOST", "CONFIG", kinds=HERDS)
def _control_state_not_saved(patches: Patches) -> None:
    async def save(replicator: Any) -> bool:
        return True

    patches.set(chain_replicator.Replicator, "_save", save)


@planted("LOST", "CONFIG", kinds=HERDS)
def _slots_saved_later(patches: Patches) -> None:
    real = MemorySlot.save

    async def save(slot: MemorySlot, value: bytes) -> None:
        asyncio.get_running_loop().create_task(_later(real(slot, value)))

    async def _later(work: Any) -> None:
        await asyncio.sleep(0.5)
        await work

    patches.set(MemorySlot, "save", save)


# ---- replication


@planted("LOST", "MIXED", "UNSERVED", kinds=("store_alone",))
def _one_replica_commits(patches: Patches) -> None:
    real = PartitionHost.place

    def place(host: PartitionHost, placement: Any, tolerated: int) -> None:
        real(host, placement, tolerated)
        host.commit_quorum = 1

    patches.set(PartitionHost, "place", place)


@planted("LOST", "MIXED", "TWICE", "ORDER", "UNSERVED", kinds=("split",))
def _fence_not_checked(patches: Patches) -> None:
    patches.set(PartitionTable, "promise", lambda table, epoch: None)


@planted("LOST", "MIXED", "TWICE", "ORDER", "CEILING", "REFUSED", kinds=("split", *MOVES))
def _old_primary_serves_on(patches: Patches) -> None:
    patches.set(PartitionHost, "resign", lambda host: None)


@planted("LOST", "MIXED", "TWICE", "ORDER", "UNSERVED", kinds=("lag_kill",))
def _takeover_without_comparing(patches: Patches) -> None:
    patches.set(PartitionHost, "may_serve", lambda host, now: True)


@planted("MIXED", "TWICE", "ORDER", "LOST", kinds=("herd_kill", "kill"))
def _oldest_state_wins_at_replay(patches: Patches) -> None:
    real = PartitionTable.replayed

    def replayed(table: PartitionTable, record: bytes, header: Any, position: Any, wall_ms: int) -> None:
        if header.kind == records.Kind.STATE:
            key, _ = records.unpack_state(record, header.version)
            entry = table.entries.get(key)
            if entry is not None and entry.state is not None:
                return
        real(table, record, header, position, wall_ms)

    patches.set(PartitionTable, "replayed", replayed)


@planted("MIXED", "LOST", "TWICE", "UNSERVED", kinds=("disk", "stop"))
def _learned_states_ignored(patches: Patches) -> None:
    real = PartitionTable._merge_state

    def merge(table: PartitionTable, record: bytes, version: Any, wall_ms: int, position: Any) -> Any:
        if version[0] < table.promised_epoch and position is None:
            return None
        return real(table, record, version, wall_ms, position)

    patches.set(PartitionTable, "_merge_state", merge)


# ---- answers to edge processes


@planted("LOST", "MIXED", "UNSERVED", kinds=("store_alone",))
def _put_answered_before_commit(patches: Patches) -> None:
    async def put(service: StoreService, request: Any) -> PutAnswer:
        primary = await service._primary(request.partition)
        if primary is None:
            return PutAnswer("not_primary")
        kept = primary.put(request.message, service._now(), service._wall_ms())
        service._after(service._hosts[request.partition])
        if isinstance(kept, PutAnswer):
            return kept
        return PutAnswer("stored", records.reference_of(request.partition, kept.key))

    real_init = StoreService.__init__

    def init(service: StoreService, *arguments: Any) -> None:
        real_init(service, *arguments)
        kind = next(kind for kind in service._handlers if kind.__name__ == "Put")
        service._handlers[kind] = lambda request: put(service, request)

    patches.set(StoreService, "__init__", init)


@planted("TWICE", "MIXED", "LOST", kinds=("store_alone",))
def _end_not_recorded_before_answer(patches: Patches) -> None:
    async def answer(service: StoreService, taken: Any) -> LeaseAnswer:
        return taken if isinstance(taken, LeaseAnswer) else LeaseAnswer("taken")

    patches.set(StoreService, "_lease_answer", answer)


@planted("REFUSED", kinds=(*MOVES, "resets"))
def _put_repeated_to_another_partition(patches: Patches) -> None:
    real = store_client.StoreClient._call

    async def call(client: Any, target: Any, request: Any, deadline: float) -> Any:
        try:
            return await real(client, target, request, deadline)
        except PeerError as error:
            raise PeerError(error.step, error.peer, error.reason, sent=False) from None
        except store_client._PrimaryMoved:
            raise PeerError("Put", target.address, "moved", sent=False) from None

    patches.set(store_client.StoreClient, "_call", call)


@planted("REFUSED", kinds=(*MOVES, "resets"))
def _unknown_put_answered_503(patches: Patches) -> None:
    real = store_client.StoreClient.put

    async def put(client: Any, *arguments: Any, **named: Any) -> PutAnswer:
        answer = await real(client, *arguments, **named)
        return PutAnswer("unavailable") if answer.status == "unknown" else answer

    patches.set(store_client.StoreClient, "put", put)


@planted("TWICE", "MIXED", kinds=(*MOVES, "resets"))
def _repeated_put_kept_twice(patches: Patches) -> None:
    real = PartitionPrimary.put

    def put(primary: PartitionPrimary, message: Any, now: float, wall_ms: int) -> Any:
        primary._lifecycle.keys_by_id.pop(message.id, None)
        return real(primary, message, now, wall_ms)

    patches.set(PartitionPrimary, "put", put)


# ---- the queue


@planted("ORDER")
def _ordering_key_ignored(patches: Patches) -> None:
    patches.set(MessageQueue, "_is_first", lambda queue, message: True)


@planted("ORDER")
def _next_of_key_leaves_with_the_lease(patches: Patches) -> None:
    real = MessageQueue.take

    def take(queue: MessageQueue, service: str) -> Any:
        message = real(queue, service)
        if message is not None and message.ordering_key:
            lane = queue._lanes[message.service, message.ordering_key]
            if lane[0] is message and len(lane) > 1:
                lane.append(lane.pop(0))
                if lane[0].stage is Stage.WAITING:
                    queue._schedule(lane[0], queue._now)
        return message

    patches.set(MessageQueue, "take", take)


@planted("CEILING")
def _ceiling_by_each_alone(patches: Patches) -> None:
    patches.set(TokenBucket, "RATE_SHARE", 4.0)


@planted("CEILING", kinds=MOVES)
def _ceiling_saved_up(patches: Patches) -> None:
    patches.set(TokenBucket, "BURST_S", 10.0)


@planted("EARLY")
def _delay_forgotten(patches: Patches) -> None:
    real = PartitionPrimary.put

    def put(primary: PartitionPrimary, message: Any, now: float, wall_ms: int) -> Any:
        return real(primary, evolve(message, delay_ms=0), now, wall_ms)

    patches.set(PartitionPrimary, "put", put)


@planted("EARLY", kinds=MOVES)
def _delay_lost_at_takeover(patches: Patches) -> None:
    real = MessageLifecycle.activate

    def activate(lifecycle: MessageLifecycle, *arguments: Any) -> ActiveMessage:
        active = real(lifecycle, *arguments)
        active.due_ms = 0
        return active

    patches.set(MessageLifecycle, "activate", activate)


# ---- leases and ends


@planted("TWICE")
def _lease_lapses_early(patches: Patches) -> None:
    patches.set(MessageLeases, "lease_seconds", lambda leases, active, state: 0.05)


@planted("UNSERVED")
def _lease_never_lapses(patches: Patches) -> None:
    patches.set(MessageLeases, "lease_seconds", lambda leases, active, state: NEVER_S)


def _on_finish(patches: Patches, change: Callable[[Finish], Finish]) -> None:
    real = PartitionPrimary.finish

    def finish(primary: PartitionPrimary, lease: Any, request: Finish, now: float, wall_ms: int) -> Any:
        return real(primary, lease, request if lease.callback else change(request), now, wall_ms)

    patches.set(PartitionPrimary, "finish", finish)


@planted("TWICE")
def _every_end_taken(patches: Patches) -> None:
    real = PartitionPrimary.finish
    patches.set(MessageLeases, "lease_seconds", lambda leases, active, state: 0.05)

    def finish(primary: PartitionPrimary, lease: Any, request: Finish, now: float, wall_ms: int) -> Any:
        answer = real(primary, lease, request, now, wall_ms)
        gone = isinstance(answer, LeaseAnswer) and answer.status == "gone"
        return LeaseAnswer("taken") if gone else answer

    patches.set(PartitionPrimary, "finish", finish)


@planted("MIXED", "LOST")
def _lost_answer_counts_as_attempt(patches: Patches) -> None:
    _on_finish(patches, lambda end: evolve(end, result="failed") if end.result == "unknown" else end)


@planted("MIXED", "LOST")
def _refusal_counts_as_attempt(patches: Patches) -> None:
    _on_finish(patches, lambda end: evolve(end, result="failed") if end.result == "not_run" else end)


@planted("MIXED", "LOST")
def _lost_answer_taken_for_success(patches: Patches) -> None:
    _on_finish(
        patches, lambda end: evolve(end, result="success", signature="") if end.result == "unknown" else end
    )


@planted("STALE")
def _failed_attempts_not_counted(patches: Patches) -> None:
    _on_finish(patches, lambda end: evolve(end, result="unknown") if end.result == "failed" else end)


@planted("MIXED", "LOST")
def _one_attempt_too_few(patches: Patches) -> None:
    real = MessageLifecycle.activate

    def activate(lifecycle: MessageLifecycle, *arguments: Any) -> ActiveMessage:
        active = real(lifecycle, *arguments)
        active.max_attempts = max(1, active.max_attempts - 1)
        return active

    patches.set(MessageLifecycle, "activate", activate)


@planted("MIXED", "LOST")
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

    patches.set(MessageLifecycle, "activate", activate)


@planted("EXPIRED", "STALE")
def _retention_ignored(patches: Patches) -> None:
    real = MessageLifecycle.activate

    def activate(lifecycle: MessageLifecycle, key: Any, put: Any, retained_until: float) -> ActiveMessage:
        return real(lifecycle, key, put, NEVER_S)

    patches.set(MessageLifecycle, "activate", activate)


@planted("MIXED")
def _wrong_stamp_after_repeat(patches: Patches) -> None:
    real = PartitionPrimary.status

    def status(primary: PartitionPrimary, key: Any, want_body: bool) -> Any:
        answer = real(primary, key, want_body)
        return evolve(answer, signature=answer.signature[::-1])

    patches.set(PartitionPrimary, "status", status)


@planted("UNTOLD")
def _failed_callback_counts_as_told(patches: Patches) -> None:
    real = SimulatedCallbackClient.post

    async def post(client: SimulatedCallbackClient, job: Any) -> str:
        await real(client, job)
        return "success"

    patches.set(SimulatedCallbackClient, "post", post)


@planted("UNTOLD", kinds=MOVES)
def _callback_forgotten_at_takeover(patches: Patches) -> None:
    patches.set(Adoption, "adopt_ended", lambda adoption, entry, now: None)


# ---- the control plane


@planted("LOST", "CONFIG", kinds=("kill", "power", "disk", "cut", "cut_one_way", *HERDS))
def _chain_answers_from_the_head(patches: Patches) -> None:
    async def pass_on(replicator: Any, write: Any) -> ChainWritten:
        asyncio.get_running_loop().create_task(_later(replicator, write))
        committed = replicator.member.commit(write)
        if committed is not None:
            replicator._on_state(committed)
        return ChainWritten(True, write.epoch)

    async def _later(replicator: Any, write: Any) -> None:
        await asyncio.sleep(2.0)
        await real(replicator, write)

    real = patches.set(chain_replicator.Replicator, "_pass_on", pass_on)


@planted("CONFIG", kinds=("cut",))
def _reads_not_confirmed(patches: Patches) -> None:
    async def confirms(agreement: Agreement, epoch: int) -> bool:
        return True

    patches.set(Agreement, "majority_confirms", confirms)
    from hollowusher.coordination.voter_group import VoterGroup

    patches.set(VoterGroup, "hears_majority", lambda group, view: True)


@planted("LOST", "CONFIG", "MIXED", "TWICE", kinds=("disk", "herd_disk"))
def _wiped_voter_votes(patches: Patches) -> None:
    async def disk_id(parts: ProcessParts) -> str:
        return f"disk of {parts.settings.node_name}"

    patches.set(ProcessParts, "_disk_id", disk_id)


@planted("CONFIG")
def _if_match_not_checked(patches: Patches) -> None:
    real = orders.apply_order

    def apply(state: Any, order: Any) -> Any:
        matching = attrs.evolve(order, if_match=state.generation) if attrs.has(type(order)) else order
        return real(state, matching)

    from hollowusher.coordination import state_service

    patches.set(state_service, "apply_order", apply)


@planted("CONFIG")
def _repeated_order_forgotten(patches: Patches) -> None:
    patches.set(orders, "_generation_taken", lambda state, digest: None)


@planted("CONFIG")
def _generation_not_checked(patches: Patches) -> None:
    patches.set(orders, "_check_generation", lambda state, content: None)


@planted("CONFIG", kinds=MOVES)
def _older_items_replace_newer(patches: Patches) -> None:
    def apply(state: ClusterState, item: Any) -> bool:
        state._sources[item.key] = (item.origin, item.counter)
        if state.versions.get(item.key) == list(item.version):
            return False
        state.versions[item.key] = list(item.version)
        state._set(item.key, item.value)
        return True

    patches.set(ClusterState, "_apply", apply)


@planted("CONFIG", "UNSERVED", "ROUTE", "MIXED")
def _configuration_not_distributed(patches: Patches) -> None:
    real = ClusterState._apply

    def apply(state: ClusterState, item: Any) -> bool:
        if item.key == "configuration" and state.configuration is not None:
            return False
        return real(state, item)

    patches.set(ClusterState, "_apply", apply)


@planted("LOST", "MIXED")
def _completed_told_too_soon(patches: Patches) -> None:
    real = PartitionPrimary.status

    def status(primary: PartitionPrimary, key: Any, want_body: bool) -> Any:
        answer = real(primary, key, want_body)
        entry = primary.table.entries.get(key)
        leased = entry is not None and entry.status is Status.LEASED
        return evolve(answer, state="completed") if leased else answer

    patches.set(PartitionPrimary, "status", status)
