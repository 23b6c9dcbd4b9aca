"""Reads and validates the settings file of one process (`HOLLOWUSHER_CONFIG`), which is TOML.

Unknown keys are ignored.  A missing key or an invalid value raises `SettingsError`.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hollowusher.configuration.section_reader import SectionError, key, read_section


class SettingsError(Exception):
    """The settings file is invalid; the text names the file, the key and the expected value."""


@dataclass(frozen=True, slots=True)
class Bind:
    """Listen addresses ("ip:port"); empty for an endpoint that the role does not serve."""

    frontend: str = ""
    readiness: str = ""
    admin: str = ""


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Resource limits of the process."""

    memory_mb: int = field(default=256, metadata=key("memoryMb"))
    max_fds: int = field(default=1024, metadata=key("maxFds"))
    disk_mb: int = field(default=0, metadata=key("diskMb"))
    cpu_share: float = field(default=1.0, metadata=key("cpuShare"))
    bandwidth_mbps: float = field(default=100.0, metadata=key("bandwidthMbps"))


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """Number of machines, zones and regions that may fail at the same time without breaking a guarantee."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits of the service, and the tolerated overshoot of a rate limit; the suffix is the unit."""

    seed_lag_s: float = field(default=3, metadata=key("seedLagS"))
    reuse_after_s: float = field(default=2, metadata=key("reuseAfterS"))
    contact_ms: int = field(default=4000, metadata=key("contactMs"))
    ack_ms: int = field(default=5000, metadata=key("ackMs"))
    catch_up_s: float = field(default=4.2, metadata=key("catchUpS"))
    drain_ms: int = field(default=3000, metadata=key("drainMs"))
    grace_s: float = field(default=6, metadata=key("graceS"))
    config_apply_ms: int = field(default=3000, metadata=key("configApplyMs"))
    status_s: float = field(default=120, metadata=key("statusS"))
    callback_timeout_s: float = field(default=5, metadata=key("callbackTimeoutS"))
    visibility_ms: int = field(default=3000, metadata=key("visibilityMs"))
    early_ms: int = field(default=100, metadata=key("earlyMs"))
    ceiling_window_s: float = field(default=5, metadata=key("ceilingWindowS"))
    ceiling_overshoot: float = field(default=1.1, metadata=key("ceilingOvershoot"))


@dataclass(frozen=True, slots=True)
class CloudApi:
    """Access to the platform's API that lists the workers."""

    address: str = ""
    rate_per_s: float = field(default=1.0, metadata=key("ratePerS"))
    max_lag_ms: int = field(default=1000, metadata=key("maxLagMs"))


@dataclass(frozen=True, slots=True)
class BootSettings:
    """The whole settings file."""

    node_name: str = field(metadata=key("nodeName"))
    machine_class: str = field(metadata=key("machineClass"))
    ip: str = ""
    zone: str = ""
    region: str = ""
    serves: list[str] = field(default_factory=list)
    internal_ports: list[int] = field(default_factory=lambda: [7780, 7795], metadata=key("internalPorts"))
    seed_nodes: list[str] = field(default_factory=list, metadata=key("seedNodes"))
    bootstrap: bool = False
    counts_for_quorum: bool = field(default=False, metadata=key("countsForQuorum"))
    data_dir: str = field(default="", metadata=key("dataDir"))
    bind: Bind = field(default_factory=Bind)
    limits: ResourceLimits = field(default_factory=ResourceLimits)
    fault_tolerance: FaultTolerance = field(default_factory=FaultTolerance, metadata=key("faultTolerance"))
    bounds: Bounds = field(default_factory=Bounds)
    cloud_api: CloudApi = field(default_factory=CloudApi, metadata=key("cloudApi"))

    @property
    def internal_address(self) -> str:
        """The address on which this process listens for other processes: its first internal port."""
        return f"{self.ip}:{self.internal_ports[0]}"

    @property
    def status_address(self) -> str:
        """The address on which a process without an admin address serves its status.

        Its port is the last internal port of the machine.  The address is empty if the machine has only one
        internal port.
        """
        first, last = self.internal_ports
        return f"{self.ip}:{last}" if last != first else ""

    def seed_addresses(self) -> list[str]:
        """Return the internal addresses of the seed nodes; all machines use the same internal ports."""
        return [f"{seed.rpartition(':')[0]}:{self.internal_ports[0]}" for seed in self.seed_nodes]


_SECTIONS: dict[str, type[Any]] = {
    section.__name__: section for section in (Bind, ResourceLimits, FaultTolerance, Bounds, CloudApi)
}


def parse_settings(text: str, source: str) -> BootSettings:
    """Parse and validate the text of a settings file; errors name the file as `source`.

    Raises
    ------
    SettingsError
        If the text is not TOML, a key is missing or a value is invalid.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{source}: not TOML: {error}") from None
    try:
        settings = read_section(BootSettings, document, _SECTIONS)
    except SectionError as error:
        raise SettingsError(f"{source}: {error}") from None
    _check(settings, source)
    return settings


def read_settings(path: str) -> BootSettings:
    """Read, parse and validate the settings file at `path`.

    Raises
    ------
    SettingsError
        If the file cannot be read or is invalid.
    """
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    return parse_settings(text, path)


def _check(settings: BootSettings, source: str) -> None:
    ports = settings.internal_ports
    reason = ""
    if len(ports) != 2 or not 0 < ports[0] <= ports[1] < 65_536:
        reason = f"internalPorts: {ports} is not a first and a last port"
    elif not settings.ip:
        reason = "ip is missing"
    elif settings.fault_tolerance.machines < 0:
        reason = "faultTolerance.machines: must not be negative"
    elif settings.bounds.visibility_ms <= 0:
        reason = "bounds.visibilityMs: must be above 0"
    if reason:
        raise SettingsError(f"{source}: {reason}")
