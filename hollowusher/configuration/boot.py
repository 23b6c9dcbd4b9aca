"""The settings file of one process (`HOLLOWUSHER_CONFIG`), read and checked by mashumaro.

Unknown keys are ignored; a missing or wrong one is a `SettingsError` that names the key and what is wanted.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from mashumaro import DataClassDictMixin, field_options
from mashumaro.config import BaseConfig
from mashumaro.exceptions import InvalidFieldValue, MissingField


class _Section(DataClassDictMixin):
    class Config(BaseConfig):
        lazy_compilation = True  # else both directions are compiled at import: 90 ms of each start


class SettingsError(Exception):
    """A settings file that cannot be used; the text names file, key and what is wanted."""


def _key(name: str) -> dict[str, Any]:
    return field_options(alias=name)


@dataclass(frozen=True, slots=True)
class Bind(_Section):
    """Addresses to listen on ("ip:port"); empty where the role does not serve that side."""

    frontend: str = ""
    readiness: str = ""
    admin: str = ""


@dataclass(frozen=True, slots=True)
class ResourceLimits(_Section):
    """What the process may use."""

    memory_mb: int = field(default=256, metadata=_key("memoryMb"))
    max_fds: int = field(default=1024, metadata=_key("maxFds"))
    disk_mb: int = field(default=0, metadata=_key("diskMb"))
    cpu_share: float = field(default=1.0, metadata=_key("cpuShare"))


@dataclass(frozen=True, slots=True)
class FaultTolerance(_Section):
    """What may be lost at one time with every promise kept."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class Bounds(_Section):
    """Time bounds of the rules, in the unit of their names."""

    seed_lag_s: float = field(default=3, metadata=_key("seedLagS"))
    reuse_after_s: float = field(default=2, metadata=_key("reuseAfterS"))
    contact_ms: int = field(default=4000, metadata=_key("contactMs"))
    ack_ms: int = field(default=5000, metadata=_key("ackMs"))
    catch_up_s: float = field(default=4.2, metadata=_key("catchUpS"))
    drain_ms: int = field(default=3000, metadata=_key("drainMs"))
    grace_s: float = field(default=6, metadata=_key("graceS"))
    config_apply_ms: int = field(default=3000, metadata=_key("configApplyMs"))
    status_s: float = field(default=120, metadata=_key("statusS"))
    callback_timeout_s: float = field(default=5, metadata=_key("callbackTimeoutS"))
    visibility_ms: int = field(default=3000, metadata=_key("visibilityMs"))
    early_ms: int = field(default=100, metadata=_key("earlyMs"))
    ceiling_window_s: float = field(default=5, metadata=_key("ceilingWindowS"))
    ceiling_overshoot: float = field(default=1.1, metadata=_key("ceilingOvershoot"))


@dataclass(frozen=True, slots=True)
class CloudApi(_Section):
    """The platform's list of workers."""

    address: str = ""
    rate_per_s: float = field(default=1.0, metadata=_key("ratePerS"))
    max_lag_ms: int = field(default=1000, metadata=_key("maxLagMs"))


@dataclass(frozen=True, slots=True)
class BootSettings(_Section):
    """The whole settings file."""

    node_name: str = field(metadata=_key("nodeName"))
    machine_class: str = field(metadata=_key("machineClass"))
    ip: str = ""
    zone: str = ""
    region: str = ""
    serves: list[str] = field(default_factory=list)
    internal_ports: list[int] = field(default_factory=lambda: [7780, 7795], metadata=_key("internalPorts"))
    seed_nodes: list[str] = field(default_factory=list, metadata=_key("seedNodes"))
    bootstrap: bool = False
    counts_for_quorum: bool = field(default=False, metadata=_key("countsForQuorum"))
    data_dir: str = field(default="", metadata=_key("dataDir"))
    bind: Bind = field(default_factory=Bind)
    limits: ResourceLimits = field(default_factory=ResourceLimits)
    fault_tolerance: FaultTolerance = field(default_factory=FaultTolerance, metadata=_key("faultTolerance"))
    bounds: Bounds = field(default_factory=Bounds)
    cloud_api: CloudApi = field(default_factory=CloudApi, metadata=_key("cloudApi"))

    @property
    def internal_address(self) -> str:
        """Where this process listens for the others: the first internal port of its machine."""
        return f"{self.ip}:{self.internal_ports[0]}"

    @property
    def status_address(self) -> str:
        """Where a process without an operator's address tells how it stands: the last internal port of its
        machine, none where that is the first one too."""
        first, last = self.internal_ports
        return f"{self.ip}:{last}" if last != first else ""

    def seed_addresses(self) -> list[str]:
        """The internal addresses of the seeds: ports are alike on all machines."""
        return [f"{seed.rpartition(':')[0]}:{self.internal_ports[0]}" for seed in self.seed_nodes]


_FIELD_TYPES: dict[str, type[Any]] = {"str": str, "list": list}
_SECTIONS: dict[str, type[Any]] = {
    section.__name__: section for section in (Bind, ResourceLimits, FaultTolerance, Bounds, CloudApi)
}


def parse_settings(text: str, source: str) -> BootSettings:
    """The settings of a file's text; `source` names it in errors."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{source}: not TOML: {error}") from None
    wrong = _wrong_type(BootSettings, document)
    if wrong:
        raise SettingsError(f"{source}: {wrong}")
    try:
        settings = BootSettings.from_dict(document)
    except (MissingField, InvalidFieldValue) as error:
        raise SettingsError(f"{source}: {_fault(error)}") from None
    _check(settings, source)
    return settings


def read_settings(path: str) -> BootSettings:
    """The settings in the file at `path`."""
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    return parse_settings(text, path)


def _fault(error: BaseException) -> str:
    """The fault with the path of its key: an error inside a section is the context of the section's."""
    path: list[str] = []
    innermost = error
    while isinstance(error, MissingField | InvalidFieldValue):
        path.append(_alias(error.field_name, error.holder_class))
        innermost = error
        nested = error.__cause__ or error.__context__
        if nested is None:
            break
        error = nested
    key = ".".join(path)
    if isinstance(innermost, InvalidFieldValue):
        return f"{key}: {innermost.field_value!r} is not {innermost.field_type_name}"
    return f"{key} is missing"


def _wrong_type(section: type[Any], values: dict[str, Any]) -> str:
    """The first text or list of a section that is something else: the reader would make one of it."""
    for item in fields(section):
        key = item.metadata.get("alias", item.name)
        value = values.get(key)
        kind = _FIELD_TYPES.get(str(item.type).partition("[")[0])
        if isinstance(value, dict) and kind is None and str(item.type) in _SECTIONS:
            nested = _wrong_type(_SECTIONS[str(item.type)], value)
            if nested:
                return f"{key}.{nested}"
        elif value is not None and kind is not None and not isinstance(value, kind):
            return f"{key}: {value!r} is not {item.type}"
    return ""


def _alias(name: str, holder: Any) -> str:
    """The key in the file for a field's name."""
    found = holder.__dataclass_fields__.get(name)
    return str(found.metadata.get("alias", name)) if found is not None else name


def _check(settings: BootSettings, source: str) -> None:
    ports = settings.internal_ports
    wrong = ""
    if len(ports) != 2 or not 0 < ports[0] <= ports[1] < 65_536:
        wrong = f"internalPorts: {ports} is not a first and a last port"
    elif not settings.ip:
        wrong = "ip is missing"
    elif settings.fault_tolerance.machines < 0:
        wrong = "faultTolerance.machines: must not be negative"
    elif settings.bounds.visibility_ms <= 0:
        wrong = "bounds.visibilityMs: must be above 0"
    if wrong:
        raise SettingsError(f"{source}: {wrong}")
