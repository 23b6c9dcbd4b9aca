"""All names of the program that the contract tests use, under aliases that stay.

A rename in the program is followed here and nowhere else.  `MESSAGE_FIELDS` tells which field of a message
stands at which position: two fields of one type that change places look like two renames, so an edit of it
must change names only, never their order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from enum import IntEnum
from pathlib import Path
from random import Random
from typing import Any

import attrs
import click
import orjson
from aiohttp import web

from hollowusher.__main__ import main as start_program
from hollowusher.configuration import orders
from hollowusher.configuration.boot import BootSettings, SettingsError, parse_settings
from hollowusher.configuration.checks import check_document
from hollowusher.configuration.model import Configuration, read_document
from hollowusher.configuration.refusal import MAX_BODY_BYTES
from hollowusher.console import store_report
from hollowusher.console.admin_client import AdminResponse
from hollowusher.console.commands import cli as service_commands
from hollowusher.console.local import command as local_command
from hollowusher.console.local import layout as local_layout
from hollowusher.console.status_api import StatusApi
from hollowusher.console.store_report import DiskReport, HostedPartition, StoreReport
from hollowusher.console.system_status import parse_store_report
from hollowusher.coordination.chain.state_store import StateStore
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.consensus.paxos import Acceptor
from hollowusher.coordination.consensus.view_cache import ViewCache
from hollowusher.coordination.controller.control_state_service import NOT_CONFIGURED, UNAVAILABLE
from hollowusher.coordination.controller.head_roles import UNAVAILABLE as DUTY_UNAVAILABLE
from hollowusher.coordination.controller.operator_api import OperatorApi
from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.placement import store_retirement
from hollowusher.coordination.placement.errors import OrderRejectedError
from hollowusher.coordination.placement.partition_recovery import plan_recovery
from hollowusher.messages.partition.partition_table import PartitionTable, RecordCache
from hollowusher.messages.records import AcceptedMessage as PutContent
from hollowusher.messages.records import MessageState as StateContent
from hollowusher.messages.records import (
    MessageStatus,
    RecordKind,
    pack_epoch,
    pack_put,
    pack_state,
    parse_lease_id,
    parse_reference,
    unpack_put,
    unpack_state,
)
from hollowusher.messages.records import format_lease_id as lease_id_of
from hollowusher.messages.records import format_reference as reference_of
from hollowusher.messages.records import unpack_header as header_of
from hollowusher.protocol import (
    acknowledgement,
    call_rules,
    consensus,
    control_chain,
    control_status,
    distribution,
    identity,
    leases,
    membership,
    messages,
    operator_orders,
    placement,
    replication,
    view,
    worker_list,
)
from hollowusher.protocol.codec import DecodeError, decode, encode, registered_types
from hollowusher.roles.control_plane import RECORD_SLOTS, STATE_SLOT
from hollowusher.roles.store import RING_FOLDER, VIEW_SLOT
from hollowusher.scheduler.cli import cli as scheduler_commands
from hollowusher.scheduler.config import SECTIONS as SETTINGS_SECTIONS
from hollowusher.scheduler.config import load as load_scheduler_configuration
from hollowusher.scheduler.settings.model import ConfigError
from hollowusher.scheduler.settings.reader import read_file as read_settings_file
from hollowusher.simulation.__main__ import main as simulation_command
from hollowusher.simulation.model_check.commands import main as model_check_commands
from hollowusher.storage.identity import claim_incarnation, disk_identity
from hollowusher.storage.interface import StorageError
from hollowusher.storage.memory import MemoryLog
from hollowusher.storage.ring_log import RingLog, ring_size
from hollowusher.storage.slots import SlotFile
from hollowusher.transport.interface import PeerError
from tests.contract.keys import positions

__all__ = [
    "MESSAGE_FIELDS",
    "ORDER_LIMIT_BYTES",
    "PROGRAMS",
    "PUT_FIELDS",
    "REFUSALS_OF_THE_HEAD",
    "STATE_FIELDS",
    "STORED_MESSAGE",
    "BootSettings",
    "ClusterKnowledge",
    "ConfigError",
    "Configuration",
    "DecodeError",
    "MessageStatus",
    "PutContent",
    "RecordKind",
    "SettingsError",
    "StateContent",
    "StorageError",
    "append_records",
    "boot_addresses",
    "call_rule",
    "check_result",
    "claimed_incarnation",
    "decode",
    "encode",
    "field_names",
    "field_values",
    "header_of",
    "hook_local_system",
    "identity_of",
    "keep_view",
    "kept_view",
    "lease_id_of",
    "load_slot",
    "load_state",
    "merged_messages",
    "open_ring",
    "operator_application",
    "order_answer",
    "order_digest",
    "pack_epoch",
    "pack_put",
    "pack_state",
    "parse_lease_id",
    "parse_reference",
    "parse_settings",
    "placed_partitions",
    "plain_configuration",
    "read_document",
    "read_store_answer",
    "recovery_answer",
    "reference_of",
    "registered_types",
    "replayed_records",
    "retirement_answer",
    "run_local_system",
    "save_slot",
    "save_states",
    "scheduler_addresses",
    "settings_sections",
    "start_program",
    "state_document",
    "state_generation",
    "status_application",
    "store_records",
    "store_roles",
    "store_status_body",
    "unpack_put",
    "unpack_state",
    "unreachable",
    "voted",
    "votes_in",
    "written_directives",
]

# Modules whose import registers every message type; nothing else of them is used by name.
MESSAGE_MODULES = (
    acknowledgement,
    consensus,
    control_chain,
    control_status,
    distribution,
    identity,
    leases,
    membership,
    messages,
    operator_orders,
    placement,
    replication,
    view,
    worker_list,
)

STORED_MESSAGE = messages.NewMessage


def field_names(kind: Any) -> tuple[str, ...]:
    """The fields of an attrs class, in their order."""
    return tuple(field.name for field in attrs.fields(kind))


PROGRAMS: dict[str, click.Command] = {
    "hollowusher": scheduler_commands,
    "hollowusher (whole service)": service_commands,
    "hollowusher.simulation": simulation_command,
    "hollowusher.simulation.model_check": model_check_commands,
}


def settings_sections() -> list[tuple[str, bool, list[tuple[str, str, str, bool]]]]:
    """Each section: name, whether titled, and name, kind, default and need of its directives."""
    return [
        (
            section.name,
            section.titled,
            [(each.name, each.kind.wants, repr(each.default), each.needed) for each in section.directives],
        )
        for section in SETTINGS_SECTIONS
    ]


def written_directives(file: Path) -> list[tuple[str, dict[str, Any]]]:
    """What stands in a settings file, by section."""
    return [(block.label, dict(block.values)) for block in read_settings_file(file, SETTINGS_SECTIONS).blocks]


def scheduler_addresses(environment: Mapping[str, str], settings_file: Path | None = None) -> list[Any]:
    """What the environment sets of a scheduler: name, listen, discovery, syslog, operators, shared folder."""
    read = load_scheduler_configuration(environment, settings_file)
    return [read.name, read.listen, read.discovery, read.syslog, read.operators, read.shared_directory]


def boot_addresses(settings: BootSettings) -> list[Any]:
    """The addresses that a role's settings lead to: internal, status, seeds."""
    return [settings.internal_address, settings.status_address, settings.seed_addresses()]


def check_result(document: dict[str, Any]) -> str:
    """What the checks say to a configuration document."""
    checked = check_document(document)
    return "" if checked.is_ok() else str(checked.error)


def hook_local_system(store_disk_mb: int, layout_made: Callable[[Any], None]) -> asyncio.Event:
    """Let the local system's stores have small disks and its layout be known; set once it is kept running."""
    kept = asyncio.Event()
    command: Any = local_command  # its functions are replaced
    local_layout.DISK_MB[local_layout.STORE] = store_disk_mb
    make, print_steps = command.make_layout, command._print_next_steps

    def make_layout(edges: int, stores: int, chance: Random) -> local_layout.LocalLayout:
        layout: local_layout.LocalLayout = make(edges, stores, chance)
        layout_made(layout)
        return layout

    def print_next_steps(layout: local_layout.LocalLayout) -> None:
        print_steps(layout)
        kept.set()

    command.make_layout = make_layout
    command._print_next_steps = print_next_steps
    return kept


async def run_local_system(folder: Path, messages: int) -> None:
    """The small system of `local --keep`, in a folder that stays; SIGTERM ends it in order."""
    await local_command._run(folder, 3, 3, messages, False, True)


def open_ring(folder: Path, segment_bytes: int, segments: int, chance: Random) -> RingLog:
    """A log on disk whose nonces come from `chance`."""
    return RingLog(folder, segment_bytes, segments, rng=chance)


async def append_records(ring: RingLog, records: Sequence[bytes]) -> None:
    """Add records and make them durable."""
    for record in records:
        ring.append(record)
    await ring.sync()


def replayed_records(ring: RingLog) -> tuple[list[bytes], int]:
    """What a log on disk holds, in order, and how many records were damaged; the log is closed."""
    records = [record for _, record in ring.replay()]
    ring.close()
    return records, ring.damaged_records


def store_records(folder: Path, disk_mb: int) -> tuple[list[bytes], int]:
    """What a store's log holds, opened as the role `store` does."""
    size = ring_size(disk_mb)
    return replayed_records(RingLog(folder / RING_FOLDER, size.segment_bytes, size.segments))


def merged_messages(records: Sequence[bytes], wall_ms: int) -> list[tuple[int, int, list[Any]]]:
    """The partitions that records lead to: number, promised epoch, and how each of its messages stands."""
    log = MemoryLog(segment_bytes=1 << 20)
    tables: dict[int, PartitionTable] = {}
    for record in records:
        header = header_of(record)
        number = header.partition
        if number not in tables:
            tables[number] = PartitionTable(number, log, RecordCache(0), 1_000)
        tables[number].replay(record, header, log.append(record), wall_ms)
    return [
        (
            number,
            table.minimum_epoch,
            [
                (entry.key, entry.version, entry.status.value, entry.is_complete)
                for _, entry in sorted(table.entries.items())
            ],
        )
        for number, table in sorted(tables.items())
    ]


def load_slot(path: Path) -> bytes | None:
    """The value of a slot."""
    slot = SlotFile(path)
    value = slot.load()
    slot.close()
    return value


async def save_slot(path: Path, values: Sequence[bytes]) -> None:
    """Save values in a slot, one after the other."""
    slot = SlotFile(path)
    for value in values:
        await slot.save(value)
    slot.close()


def identity_of(folder: Path, seed: int) -> tuple[str, bool]:
    """The id of a disk, and whether it was given just now."""
    return disk_identity(folder, Random(seed))


async def claimed_incarnation(path: Path, wall_ms: int, seed: int) -> int:
    """The number of a new life, durable in a slot."""
    slot = SlotFile(path)
    number = await claim_incarnation(slot, wall_ms, Random(seed))
    slot.close()
    return number


def _state_store(folder: Path) -> tuple[StateStore, list[SlotFile]]:
    slots = [SlotFile(folder / name) for name in (STATE_SLOT, *RECORD_SLOTS)]
    return StateStore(slots[0], slots[1:]), slots


async def save_states(folder: Path, states: Sequence[tuple[int, Any]]) -> None:
    """Save control states with their epochs, one after the other."""
    keeper, slots = _state_store(folder)
    keeper.load()
    for epoch, state in states:
        await keeper.save(epoch, state)
    for slot in slots:
        slot.close()


def load_state(folder: Path) -> tuple[int, Any, bool] | None:
    """The control state of a folder: epoch, state, and whether it is whole."""
    keeper, slots = _state_store(folder)
    saved = keeper.load()
    for slot in slots:
        slot.close()
    return None if saved is None else (saved.epoch, saved.state, saved.intact)


def voted(name: str, disk: str, view: Any, prepare: Any, accept: Any) -> list[bytes]:
    """What a voter saves after it has learnt a view, promised, and accepted."""
    acceptor = Acceptor(name, disk)
    assert acceptor.learn(view)
    saved = [acceptor.dump()]
    assert acceptor.prepare(prepare).granted
    saved.append(acceptor.dump())
    assert acceptor.accept(accept).granted
    return [*saved, acceptor.dump()]


def votes_in(saved: bytes) -> tuple[Any, ...]:
    """What a voter has saved: the decided view, its promise, the accepted ballot and view."""
    acceptor = Acceptor("", "", saved)
    return acceptor.decided, acceptor.promised, acceptor.accepted_ballot, acceptor.accepted


async def keep_view(folder: Path, view: Any) -> None:
    """Keep a view as a process does that is no controller."""
    state, slot = ClusterState(), SlotFile(folder / VIEW_SLOT)
    keeper = ViewCache(slot, state)
    keeper.load()
    task = asyncio.ensure_future(keeper.run())
    state.apply([distribution.DistributedItem("view", [view.epoch], "origin/1", 1, view)], {})
    while slot.load() is None:
        await asyncio.sleep(0.05)
    task.cancel()
    slot.close()


def kept_view(folder: Path) -> Any:
    """The view that such a process finds on its disk."""
    state, slot = ClusterState(), SlotFile(folder / VIEW_SLOT)
    ViewCache(slot, state).load()
    slot.close()
    return state.view


def field_values(value: Any) -> list[Any]:
    """An object's values by position, with those inside it; enumerations as their numbers."""
    return [_plain(getattr(value, name)) for name in field_names(type(value))]


def _plain(value: Any) -> Any:
    if attrs.has(type(value)):
        return field_values(value)
    return int(value) if isinstance(value, IntEnum) else value


def state_generation(state: Any) -> int:
    """The generation of the configuration in a control state."""
    return int(state.generation)


def state_document(state: Any) -> bytes:
    """The configuration document in a control state."""
    return bytes(state.document)


def placed_partitions(state: Any) -> list[list[Any]]:
    """Number, epoch, primary, replicas and learners of each partition."""
    return [
        [each.partition, each.epoch, each.primary, each.replicas, each.learners]
        for each in state.placement.partitions
    ]


def plain_configuration(document: bytes) -> Any:
    """A document as the program reads it, by position."""
    return positions(read_document(document))


ClusterKnowledge = ClusterState
ORDER_LIMIT_BYTES = MAX_BODY_BYTES
REFUSALS_OF_THE_HEAD = (orders.TOO_MANY_ORDERS, UNAVAILABLE, NOT_CONFIGURED, DUTY_UNAVAILABLE)


def operator_application(forward: Callable[[Any], Awaitable[Any]]) -> web.Application:
    """The operator's paths, as an edge process serves them."""
    application = web.Application(client_max_size=MAX_BODY_BYTES + 1)
    OperatorApi(forward).add_routes(application)
    return application


def unreachable() -> Exception:
    """What a call to a process that is gone raises."""
    return PeerError("call", "10.0.0.1:1", "gone")


def status_application(
    me: Any, known: Any, messages: Any, figures: Mapping[str, Mapping[str, int]], control_status: Any
) -> web.Application:
    """The paths that tell how things stand, as an edge process serves them; its clock stands still."""

    async def ask_control() -> Any:
        return control_status

    application = web.Application()
    StatusApi(
        lambda: me, known, messages, lambda: True, lambda: figures, lambda: 100.0, ask_control
    ).add_routes(application)
    return application


def store_status_body(values: list[Any], disk: list[Any], partitions: list[list[Any]], figures: Any) -> bytes:
    """A store's answer, its parts given by position."""
    kept = [HostedPartition(*each) for each in partitions]
    parts: list[Any] = [*values, DiskReport(*disk), kept, figures]
    return orjson.dumps(StoreReport(*parts))


def read_store_answer(body: bytes) -> Any:
    """A store's answer as the command line reads it, by position."""
    read = parse_store_report(AdminResponse("127.0.0.1:1", 200, body))
    return positions(read.ok) if read.is_ok() else str(read.error)


def store_roles() -> list[str]:
    """How a store may stand to a partition."""
    return [
        store_report.PRIMARY,
        store_report.TAKING_OVER,
        store_report.REPLICA,
        store_report.LEARNER,
        store_report.FORMER,
    ]


def order_answer(state: Any, method: str, if_match: int | None, body: bytes) -> tuple[int, bytes, Any]:
    """What an order gets: status, body, and the new control state, if any."""
    read = orders.read_order(method, if_match, body)
    if read.is_error():
        answer = read.error.answer()
        return answer.status, answer.body, None
    outcome = orders.apply_order(state, read.ok)
    return outcome.answer.status, outcome.answer.body, outcome.state


def order_digest(method: str, if_match: int | None, content: dict[str, Any]) -> bytes:
    """What an order is known by."""
    return orders.order_digest(method, if_match, content)


def recovery_answer(
    placement: Any, members: Sequence[Any], tolerance: int, partition: int, lost: list[str]
) -> Any:
    """What an order to recover a partition gets: status and reason, or the new placement."""
    conditions = {member.name: StoreCondition(member, 9.0) for member in members}
    try:
        return plan_recovery(
            placement, conditions, tolerance, operator_orders.RecoverPartition(partition, lost)
        )
    except OrderRejectedError as rejected:
        return rejected.status.value, str(rejected)


def retirement_answer(state: Any, name: str) -> tuple[int, bytes]:
    """What a question about a machine that is being emptied gets."""
    answer = store_retirement.progress_answer(state, name)
    return answer.status, answer.body


def call_rule(message: object) -> tuple[int, bool]:
    """How a message may be sent: the place of its addressee among all kinds of them, and whether again."""
    rule = call_rules.call_rule_of(message)
    return list(call_rules.Addressee).index(rule.addressee), rule.is_idempotent


MESSAGE_FIELDS: dict[int, tuple[str, ...]] = {
    1: (
        "name",
        "role",
        "address",
        "zone",
        "region",
        "incarnation",
        "disk_id",
        "counts",
        "controller",
        "admin",
        "status",
        "leaving",
    ),
    2: ("member",),
    3: ("epoch",),
    4: ("name", "incarnation"),
    5: ("name", "incarnation", "reporter"),
    6: ("name", "incarnation"),
    7: (),
    10: ("name", "disk_id", "address", "zone"),
    11: ("epoch", "voters", "chain", "since", "cluster"),
    12: (),
    13: ("view",),
    14: ("epoch", "ballot", "base", "voter"),
    15: ("granted", "ballot", "accepted_ballot", "accepted", "decided"),
    16: ("epoch", "ballot", "view", "voter"),
    17: ("granted", "ballot", "decided"),
    18: ("view",),
    20: ("partition", "epoch", "primary", "replicas", "learners", "primary_incarnation"),
    21: ("version", "partitions"),
    22: ("sequence", "generation", "document", "history", "placement", "retiring"),
    23: ("epoch", "state", "record", "cluster", "sender", "receiver_disk"),
    24: ("ok", "epoch", "unreachable", "lacking"),
    25: ("method", "if_match", "body", "forwarded"),
    26: ("forwarded",),
    27: ("status", "body"),
    28: ("name", "duration_s"),
    29: ("forwarded",),
    30: ("state", "epoch"),
    31: ("key", "version", "origin", "counter", "value"),
    32: ("reader", "have", "wait_ms"),
    33: ("items", "have", "connected", "age_ms"),
    34: ("id", "service", "address", "zone", "capacity", "state", "warm_in_ms", "generation"),
    35: ("workers",),
    36: ("voter", "bootstrap", "cluster"),
    39: ("name", "epoch"),
    40: ("name", "disk_id", "epoch", "complete", "heard", "leaving", "stalled", "state_version"),
    41: ("epoch", "cluster", "voter"),
    42: ("ok", "epoch"),
    45: ("partition", "epoch", "store_id"),
    46: ("items",),
    50: (
        "id",
        "route",
        "service",
        "method",
        "path",
        "host",
        "body",
        "content_type",
        "ordering_key",
        "delay_ms",
        "callback_url",
        "max_attempts",
        "retention_ms",
        "timeout_ms",
        "priority",
        "target_start_ms",
        "headers",
        "generation",
    ),
    51: ("partition", "message"),
    52: ("status", "reference"),
    53: (
        "dispatcher",
        "incarnation",
        "service",
        "most",
        "wait_ms",
        "pull",
        "visibility_ms",
        "number",
        "lost",
    ),
    54: ("lease", "message", "attempt", "start_within_ms", "state", "signature"),
    55: ("jobs", "next_ms", "leased_after_ms"),
    56: ("lease", "result", "signature", "retry_ms"),
    57: ("lease",),
    58: ("status",),
    59: ("reference", "want_body"),
    60: ("state", "signature", "body"),
    61: ("service", "store"),
    67: ("service", "most", "wait_ms"),
    68: ("tokens",),
    62: ("partition", "epoch", "records"),
    63: ("sender", "batches", "durable"),
    64: ("refused",),
    65: ("partition", "epoch", "asker", "buckets", "versions", "fence"),
    66: ("status", "epoch", "buckets", "records", "wanted", "extra"),
    80: ("forwarded",),
    81: ("name", "disk_id", "heard", "in_chain", "complete", "state_version"),
    82: ("partition", "epoch", "primary", "living", "replicas", "learners", "lost"),
    83: (
        "answered_by",
        "epoch",
        "sequence",
        "generation",
        "head",
        "tail",
        "leads",
        "majority",
        "voters",
        "spare_controllers",
        "controller_losses_borne",
        "store_losses_borne",
        "partitions",
        "worker_list_age_s",
    ),
    84: ("partition", "accept_loss_of", "forwarded"),
    90: ("cluster", "name", "incarnation", "disk_id"),
    100: ("view",),
    104: ("partition", "epoch", "store_id"),
    108: ("digest", "offset", "cluster"),
    109: ("digest", "size", "offset", "data"),
    116: ("caller", "meant"),
    117: ("name", "incarnation"),
}
PUT_FIELDS = ("accepted_wall_ms", "due_wall_ms", "generation", "message")
STATE_FIELDS = (
    "version",
    "status",
    "attempts",
    "lease",
    "dispatcher",
    "incarnation",
    "pull",
    "holder_timeout_ms",
    "last_lease",
    "last_result",
    "signature",
    "callback_pending",
    "ended_wall_ms",
    "id",
    "callback_url",
    "earlier_results",
)
