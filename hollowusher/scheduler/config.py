"""Reads and validates the whole configuration, and fills in defaults.

An invalid value raises a ConfigError that names the key.  At startup the error ends the process; during a
reload the previous configuration stays in effect.
"""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from hollowusher.balancing.interface import NS_PER_S, Settings
from hollowusher.balancing.simulator_adapter import WireError, read_settings
from hollowusher.scheduler.fronts.stomp.settings import STOMP, STOMP_NODE, StompConfig, read_stomp
from hollowusher.scheduler.net.http2.settings import HTTP2, Http2Config, read_http2
from hollowusher.scheduler.net.log_replication.settings import COPIES, COPY, CopiesConfig, read_copies
from hollowusher.scheduler.net.membership.settings import PEER, PEERS, PeersConfig, PlatformPeers, read_peers
from hollowusher.scheduler.net.reports.settings import REPORTS, read_reports
from hollowusher.scheduler.net.shared_state.settings import SHARED, SharedConfig, read_shared
from hollowusher.scheduler.settings.model import ConfigError, parse_address
from hollowusher.scheduler.settings.platform import faults
from hollowusher.scheduler.settings.reader import read_file

T = TypeVar("T")
SETTINGS_FILE = Path(__file__).parent.parent.parent / "deploy" / "hollowusher.conf"
# In the order of docs/settings.md.
SECTIONS = (STOMP, STOMP_NODE, HTTP2, PEERS, PEER, SHARED, COPIES, COPY, REPORTS)


@dataclass(frozen=True, slots=True)
class SchedulerConfig:
    """The complete configuration of one scheduler."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    settings: Settings
    meanings: Mapping[str, str]
    connect_timeout_s: float
    idle_close_s: float
    known: Mapping[str, Any]
    syslog: tuple[str, int] | None = None
    stomp: StompConfig = field(default_factory=StompConfig)
    memory_mb: float = 192.0
    http2: Http2Config = field(default_factory=Http2Config)
    peers: PeersConfig = field(default_factory=PeersConfig)
    shared: SharedConfig = field(default_factory=SharedConfig)
    copies: CopiesConfig = field(default_factory=CopiesConfig)
    reports: tuple[str, int] | None = None
    operators: tuple[str, int] | None = None  # listen address for operators' HTTP requests; None disables it
    shared_directory: Path | None = None  # shared by all processes of this scheduler
    # The parsed file: a reload must not remove keys that it has.
    table: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)
    # The platform's settings for messages between schedulers; used only with `platform` in section [peers].
    peer_listen: tuple[str, int] | None = None
    peer_all: tuple[str, int] | None = None
    peer_addresses: tuple[tuple[str, int], ...] = ()  # indexed by scheduler number, including this scheduler


def address(key: str, text: object) -> tuple[str, int]:
    """Parse `host:port`; raises a ConfigError that names `key` if the text is malformed."""
    try:
        return parse_address(str(text))
    except ValueError:
        raise ConfigError(f"{key}: must be host:port, is {text!r}") from None


def _get(table: Mapping[str, Any], key: str, kind: type[T], default: T, where: str = "") -> T:
    value = table.get(key, default)
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
        raise ConfigError(f"{where}{key}: must be a {kind.__name__}, is {value!r}")
    return value


def _optional_address(table: Mapping[str, Any], key: str) -> tuple[str, int] | None:
    """Parse an optional address; returns None if the key is absent or empty."""
    return address(key, table[key]) if table.get(key) else None


def _check_range(key: str, value: float, least: float, most: float) -> None:
    if not least <= value <= most:
        raise ConfigError(f"{key}: must lie between {least:g} and {most:g}, is {value:g}")


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Flatten nested settings into the path=value pairs of the simulator's first message."""
    if isinstance(value, Mapping):
        pairs: dict[str, str] = {}
        for key, item in value.items():
            pairs.update(flatten(item, f"{path}.{key}" if path else str(key)))
        return pairs
    if isinstance(value, list):
        if not any(isinstance(item, Mapping) for item in value):
            return {path: ",".join(_encode_value(item) for item in value)}
        pairs = {f"{path}.count": str(len(value))}
        for index, item in enumerate(value):
            pairs.update(flatten(item, f"{path}.{index}"))
        return pairs
    return {path: _encode_value(value)}


def _encode_value(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def _read_span_s(pairs: Mapping[str, str], path: str, default_s: float) -> float:
    text = pairs.get(path, "")
    try:
        value = int(text) / NS_PER_S if text else default_s
    except ValueError:
        raise ConfigError(f"settings.{path}: must be a whole number of nanoseconds, is {text!r}") from None
    if value <= 0:
        raise ConfigError(f"settings.{path}: must be above 0, is {text}")
    return value


def load(
    environ: Mapping[str, str] = os.environ, settings_file: Path | None = None, again: bool = False
) -> SchedulerConfig:
    """Read the configuration from the platform's file, the environment and the settings file.

    Environment variables override the platform's file.  With `again` (a reload) the file takes precedence for
    the address of the node list service, because the environment still has the value from startup.
    """
    sheet = read_file(settings_file or Path(environ.get("HOLLOWUSHER_CONF") or SETTINGS_FILE), SECTIONS)
    path = environ.get("PROXY_CONFIG", "")
    if not path:
        raise ConfigError("PROXY_CONFIG: must name the configuration file")
    try:
        table = json.loads(Path(path).read_text())
    except (OSError, ValueError) as wrong:
        raise ConfigError(f"PROXY_CONFIG: {wrong}") from None
    if not isinstance(table, dict):
        raise ConfigError("PROXY_CONFIG: must hold one JSON object")
    raw = _get(table, "settings", dict, {})
    for fault in faults(raw):  # reports only the first fault
        raise ConfigError(f"settings.{fault}")
    pairs = flatten(raw)
    try:
        settings, meanings = read_settings("BEGIN", (f"{k}={v}" for k, v in pairs.items()))
    except WireError as wrong:
        key = str(wrong).partition("options.")[2] or str(wrong)
        raise ConfigError(f"settings.{key}: cannot be read") from None
    except ValueError as wrong:
        raise ConfigError(f"settings.{wrong}") from None
    seed = table.get("seed", "0")
    try:
        seed = int(str(seed), 16)
    except ValueError:
        raise ConfigError(f"seed: must be a hexadecimal number, is {seed!r}") from None
    limits = _get(table, "limits", dict, {})
    sockets = _get(limits, "sockets", int, 1024, "limits.")
    memory_mb = _get(limits, "memory_mb", float, 192.0, "limits.")
    _check_range("limits.memory_mb", memory_mb, 16, 10_000_000)
    _check_range("limits.sockets", sockets, 64, 1_000_000)
    syslog = environ.get("HOLLOWUSHER_SYSLOG", "")
    forward = address("HOLLOWUSHER_SYSLOG", syslog) if syslog else None
    if forward and not forward[0].startswith("127."):
        raise ConfigError(f"HOLLOWUSHER_SYSLOG: must be a loopback address, is {syslog!r}")
    name = environ.get("PROXY_NAME") or _get(table, "name", str, "scheduler")
    allowed = PlatformPeers(
        pairs.get("caps.peer_messages") == "true",
        settings.me,
        _optional_address(table, "peer_listen"),
        tuple(address(f"peers[{i}]", a) for i, a in enumerate(_get(table, "peers", list, []))),
    )
    reported, named = environ.get("PROXY_DISCOVERY"), table.get("discovery", "")
    key, service = ("discovery", named or reported) if again else ("PROXY_DISCOVERY", reported or named)
    return SchedulerConfig(
        name=name,
        listen=address("PROXY_LISTEN", environ.get("PROXY_LISTEN") or table.get("listen", "")),
        discovery=address(key, service),
        seed=seed,
        sockets=min(sockets, 1024),
        settings=settings,
        meanings=meanings,
        connect_timeout_s=_read_span_s(pairs, "caps.connect_timeout_ns", 0.25),
        idle_close_s=_read_span_s(pairs, "caps.idle_close_ns", 30.0),
        known=_get(table, "known", dict, {}),
        syslog=forward,
        stomp=read_stomp(sheet),
        memory_mb=memory_mb,
        http2=read_http2(sheet),
        peers=(peers := read_peers(sheet, name, allowed)),
        shared=read_shared(sheet, peers.listen is not None),
        copies=read_copies(sheet, name, frozenset(c.name for c in settings.classes)),
        reports=read_reports(sheet),
        table=table,
        operators=_optional_address(
            {"admin_addr": environ.get("PROXY_ADMIN_ADDR") or table.get("admin_addr")}, "admin_addr"
        ),
        shared_directory=Path(environ["TMPDIR"]) if environ.get("TMPDIR") else None,
        peer_listen=allowed.listen,
        peer_all=_optional_address(table, "peers_all"),
        peer_addresses=allowed.addresses,
    )
