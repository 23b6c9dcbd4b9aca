"""All names of the program that the contract tests use, under aliases that stay.

A rename in the program is followed here and nowhere else.  `MESSAGE_FIELDS` tells which field of a message
stands at which position: two fields of one type that change places look like two renames, so an edit of it
must change names only, never their order.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs
import click

from hollowusher.__main__ import main as start_program
from hollowusher.cli import cli as scheduler_commands
from hollowusher.config import SECTIONS as SETTINGS_SECTIONS
from hollowusher.config import load as load_scheduler_configuration
from hollowusher.configuration.boot import BootSettings, SettingsError, parse_settings
from hollowusher.configuration.checks import check_document
from hollowusher.configuration.model import Configuration, read_document
from hollowusher.console.commands import cli as service_commands
from hollowusher.messages.records import Kind as RecordKind
from hollowusher.messages.records import Put as PutContent
from hollowusher.messages.records import State as StateContent
from hollowusher.messages.records import Status as MessageStatus
from hollowusher.messages.records import (
    header_of,
    lease_id_of,
    pack_epoch,
    pack_put,
    pack_state,
    parse_lease_id,
    parse_reference,
    reference_of,
    unpack_put,
    unpack_state,
)
from hollowusher.protocol import call_rules, control, identity, status, store
from hollowusher.protocol.codec import DecodeError, decode, encode, registered_types
from hollowusher.settings.model import ConfigError
from hollowusher.settings.reader import read_file as read_settings_file
from hollowusher.simulation.__main__ import main as simulation_command
from hollowusher.simulation.model_check.commands import main as model_check_commands

__all__ = [
    "MESSAGE_FIELDS",
    "PROGRAMS",
    "PUT_FIELDS",
    "STATE_FIELDS",
    "STORED_MESSAGE",
    "BootSettings",
    "ConfigError",
    "Configuration",
    "DecodeError",
    "MessageStatus",
    "PutContent",
    "RecordKind",
    "SettingsError",
    "StateContent",
    "boot_addresses",
    "call_rule",
    "check_result",
    "decode",
    "encode",
    "field_names",
    "header_of",
    "lease_id_of",
    "pack_epoch",
    "pack_put",
    "pack_state",
    "parse_lease_id",
    "parse_reference",
    "parse_settings",
    "read_document",
    "reference_of",
    "registered_types",
    "scheduler_addresses",
    "settings_sections",
    "start_program",
    "unpack_put",
    "unpack_state",
    "written_directives",
]

# Modules whose import registers every message type; nothing else of them is used by name.
MESSAGE_MODULES = (control, identity, status, store)

STORED_MESSAGE = store.NewMessage


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


def call_rule(message: object) -> tuple[int, bool]:
    """How a message may be sent: the place of its addressee among all kinds of them, and whether again."""
    rule = call_rules.rule_of(message)
    return list(call_rules.Addressee).index(rule.addressee), rule.repeatable


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
    37: ("view",),
    38: ("taken", "decided"),
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
PUT_FIELDS = ("accepted_ms", "due_ms", "generation", "message")
STATE_FIELDS = (
    "version",
    "status",
    "attempts",
    "lease",
    "dispatcher",
    "incarnation",
    "pull",
    "visibility_ms",
    "last_lease",
    "last_result",
    "signature",
    "callback_owed",
    "ended_ms",
    "id",
    "callback_url",
    "earlier_ends",
)
