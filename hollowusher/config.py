"""The one place where configuration is read, checked and given defaults.

A wrong value stops the program at its start with a ConfigError that names the key; when the file is read
again, it leaves the program as it is.
"""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from hazelweir.adapter import WireError, read_settings
from hazelweir.interface import NS_PER_S, Settings

T = TypeVar("T")
STOMP_FILE = Path(__file__).parent.parent / "deploy" / "stomp.toml"


class ConfigError(Exception):
    """A value that cannot be used; the text begins with its key."""


@dataclass(frozen=True, slots=True)
class StompNode:
    """A route node that speaks STOMP, as the file lists it."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    size: float


@dataclass(frozen=True, slots=True)
class StompConfig:
    """The STOMP front: where it listens, its limits, its route nodes."""

    enabled: bool = False
    listen: tuple[str, int] = ("127.0.0.1", 61613)
    heart_beat_ms: int = 10_000
    most_terminals: int = 200
    ledger_jobs: int = 4_096
    ledger_bytes: int = 16 * 1024 * 1024
    settle_window_s: float = 3_600.0
    keep_s: float = 120.0
    nodes: tuple[StompNode, ...] = ()


@dataclass(frozen=True, slots=True)
class Config:
    """All that a scheduler is told at its start."""

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


def address(key: str, text: object) -> tuple[str, int]:
    """host:port."""
    host, sep, port = str(text).rpartition(":")
    if not sep or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{key}: must be host:port, is {text!r}")
    return host.strip("[]"), int(port)


def _get(table: Mapping[str, Any], key: str, kind: type[T], default: T, where: str = "") -> T:
    value = table.get(key, default)
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
        raise ConfigError(f"{where}{key}: must be a {kind.__name__}, is {value!r}")
    return value


def _within(key: str, value: float, least: float, most: float) -> None:
    if not least <= value <= most:
        raise ConfigError(f"{key}: must lie between {least:g} and {most:g}, is {value:g}")


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Nested settings as the path=value pairs of the simulator's first message."""
    if isinstance(value, Mapping):
        pairs: dict[str, str] = {}
        for key, item in value.items():
            pairs.update(flatten(item, f"{path}.{key}" if path else str(key)))
        return pairs
    if isinstance(value, list):
        if not any(isinstance(item, Mapping) for item in value):
            return {path: ",".join(_word(item) for item in value)}
        pairs = {f"{path}.count": str(len(value))}
        for index, item in enumerate(value):
            pairs.update(flatten(item, f"{path}.{index}"))
        return pairs
    return {path: _word(value)}


def _word(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def _span_s(pairs: Mapping[str, str], path: str, default_s: float) -> float:
    text = pairs.get(path, "")
    try:
        value = int(text) / NS_PER_S if text else default_s
    except ValueError:
        raise ConfigError(f"settings.{path}: must be a whole number of nanoseconds, is {text!r}") from None
    if value <= 0:
        raise ConfigError(f"settings.{path}: must be above 0, is {text}")
    return value


def load(
    environ: Mapping[str, str] = os.environ, stomp_file: Path = STOMP_FILE, again: bool = False
) -> Config:
    """The configuration from the platform's file, the environment over it, and the STOMP file.

    Read `again`, the file comes first for the node list's address: the environment still has the one from
    the start.
    """
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
    _within("limits.memory_mb", memory_mb, 16, 10_000_000)
    _within("limits.sockets", sockets, 64, 1_000_000)
    syslog = environ.get("HOLLOWUSHER_SYSLOG", "")
    forward = address("HOLLOWUSHER_SYSLOG", syslog) if syslog else None
    if forward and not forward[0].startswith("127."):
        raise ConfigError(f"HOLLOWUSHER_SYSLOG: must be a loopback address, is {syslog!r}")
    told, named = environ.get("PROXY_DISCOVERY"), table.get("discovery", "")
    key, service = ("discovery", named or told) if again else ("PROXY_DISCOVERY", told or named)
    return Config(
        name=environ.get("PROXY_NAME") or _get(table, "name", str, "scheduler"),
        listen=address("PROXY_LISTEN", environ.get("PROXY_LISTEN") or table.get("listen", "")),
        discovery=address(key, service),
        seed=seed,
        sockets=min(sockets, 1024),
        settings=settings,
        meanings=meanings,
        connect_timeout_s=_span_s(pairs, "caps.connect_timeout_ns", 0.25),
        idle_close_s=_span_s(pairs, "caps.idle_close_ns", 30.0),
        known=_get(table, "known", dict, {}),
        syslog=forward,
        stomp=load_stomp(stomp_file),
        memory_mb=memory_mb,
    )


def load_stomp(path: Path) -> StompConfig:
    """The STOMP front's file; an absent one leaves the front off."""
    try:
        table = tomllib.loads(path.read_text())
    except FileNotFoundError:
        return StompConfig()
    except (OSError, ValueError) as wrong:
        raise ConfigError(f"{path.name}: {wrong}") from None
    known = {"enabled", "listen", "heart_beat_ms", "most_terminals", "ledger_jobs", "ledger_bytes",
             "settle_window_s", "keep_s", "nodes"}
    for key in table:
        if key not in known:
            raise ConfigError(f"{path.name}: {key}: is not a key of this file")
    base, where = StompConfig(), f"{path.name}: "
    config = StompConfig(
        enabled=_get(table, "enabled", bool, base.enabled, where),
        listen=address(f"{where}listen", table.get("listen", "127.0.0.1:61613")),
        heart_beat_ms=_get(table, "heart_beat_ms", int, base.heart_beat_ms, where),
        most_terminals=_get(table, "most_terminals", int, base.most_terminals, where),
        ledger_jobs=_get(table, "ledger_jobs", int, base.ledger_jobs, where),
        ledger_bytes=_get(table, "ledger_bytes", int, base.ledger_bytes, where),
        settle_window_s=_get(table, "settle_window_s", float, base.settle_window_s, where),
        keep_s=_get(table, "keep_s", float, base.keep_s, where),
        nodes=tuple(_stomp_node(f"{where}nodes[{i}].", n)
                    for i, n in enumerate(_get(table, "nodes", list, [], where))),
    )
    _within(f"{where}heart_beat_ms", config.heart_beat_ms, 0, 600_000)
    _within(f"{where}most_terminals", config.most_terminals, 1, 400)
    _within(f"{where}ledger_jobs", config.ledger_jobs, 1, 100_000)
    _within(f"{where}ledger_bytes", config.ledger_bytes, 1 << 17, 64 << 20)
    _within(f"{where}settle_window_s", config.settle_window_s, 1, 86_400)
    _within(f"{where}keep_s", config.keep_s, 1, 86_400)
    if len({n.name for n in config.nodes}) != len(config.nodes):
        raise ConfigError(f"{where}nodes: names must differ")
    return config


def _stomp_node(where: str, table: object) -> StompNode:
    if not isinstance(table, dict):
        raise ConfigError(f"{where}: must be a table")
    name = _get(table, "name", str, "", where)
    if not name:
        raise ConfigError(f"{where}name: must not be empty")
    node = StompNode(
        name, address(f"{where}address", table.get("address", "")), _get(table, "zone", str, "", where),
        _get(table, "kind", str, "", where), _get(table, "cell", int, 0, where),
        _get(table, "size", float, 1.0, where),
    )
    _within(f"{where}size", node.size, 0.001, 1_000_000)
    return node
