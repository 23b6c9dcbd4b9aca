"""Chooses the addresses of a local system's processes and writes their settings files."""

from __future__ import annotations

import json
import random
import socket
from collections.abc import Iterable
from contextlib import ExitStack
from pathlib import Path

import attrs

EDGE = "edge"
STORE = "store"
ENDPOINTS = ("frontend", "readiness", "admin", "internal", "status")
LOWEST_PORT, HIGHEST_PORT = 20_000, 30_000  # below the kernel's range of ephemeral ports
MAX_ATTEMPTS = 50
GRACE_S = 4
TOLERATED = 1
MAX_SEEDS = 3
DISK_MB = {EDGE: 16, STORE: 64}
STUB_HOST = 250  # last octet of the IP address that all stubs share


class LayoutError(Exception):
    """No free addresses were found."""


@attrs.frozen
class LocalMachine:
    """A simulated machine, which runs one process and has its own loopback address."""

    name: str
    role: str
    zone: str
    ip: str
    ports: dict[str, int]

    def address(self, endpoint: str) -> str:
        """Return the listen address ("ip:port") of an endpoint, one of `ENDPOINTS`."""
        return f"{self.ip}:{self.ports[endpoint]}"


@attrs.frozen
class LocalLayout:
    """The machines of a local system, and the IP address of the stubs."""

    machines: list[LocalMachine]
    stand_in_ip: str

    def of_role(self, role: str) -> list[LocalMachine]:
        """Return the machines of one role."""
        return [machine for machine in self.machines if machine.role == role]


def make_layout(edges: int, stores: int, random_source: random.Random) -> LocalLayout:
    """Choose random loopback addresses whose ports are free; zones are assigned round-robin.

    Raises
    ------
    LayoutError
        If `MAX_ATTEMPTS` random layouts all contain a port that is in use.
    """
    for _ in range(MAX_ATTEMPTS):
        layout = _random_layout(edges, stores, random_source)
        if _has_free_ports(layout):
            return layout
    raise LayoutError(f"no free loopback addresses found in {MAX_ATTEMPTS} tries")


def _random_layout(edges: int, stores: int, random_source: random.Random) -> LocalLayout:
    net = f"127.{random_source.randrange(1, 255)}.{random_source.randrange(0, 255)}"
    base = random_source.randrange(LOWEST_PORT, HIGHEST_PORT, len(ENDPOINTS))
    ports = {endpoint: base + offset for offset, endpoint in enumerate(ENDPOINTS)}
    names = [(EDGE, number) for number in range(1, edges + 1)]
    names += [(STORE, number) for number in range(1, stores + 1)]
    machines = [
        LocalMachine(f"{role}-{number}", role, f"zone-{'abc'[(number - 1) % 3]}", f"{net}.{index}", ports)
        for index, (role, number) in enumerate(names, start=1)
    ]
    return LocalLayout(machines, f"{net}.{STUB_HOST}")


def _has_free_ports(layout: LocalLayout) -> bool:
    with ExitStack() as stack:
        for machine in layout.machines:
            for port in machine.ports.values():
                bound_socket = stack.enter_context(socket.socket())
                try:
                    bound_socket.bind((machine.ip, port))
                except OSError:
                    return False
    return True


def write_settings(layout: LocalLayout, folder: Path, platform_list: str) -> dict[str, Path]:
    """Write each machine's settings file and create its data folder; return the files by machine name."""
    seeds = [machine.address("admin") for machine in layout.of_role(EDGE)[:MAX_SEEDS]]
    files = {}
    for machine in layout.machines:
        data = folder / machine.name / "data"
        data.mkdir(parents=True)
        files[machine.name] = folder / machine.name / "boot.toml"
        files[machine.name].write_text(settings_text(machine, data, seeds, platform_list))
    return files


def settings_text(machine: LocalMachine, data: Path, seeds: Iterable[str], platform_list: str) -> str:
    """Return the text of one machine's settings file."""
    serves = ["edge", "control_plane"] if machine.role == EDGE else ["storage"]
    machine_class = "edge" if machine.role == EDGE else "storage"
    endpoints = ("frontend", "readiness", "admin") if machine.role == EDGE else ()
    bind = "\n".join(f'{endpoint} = "{machine.address(endpoint)}"' for endpoint in endpoints)
    internal, status = machine.ports["internal"], machine.ports["status"]
    return f"""\
nodeName = "{machine.name}"
role = "{machine.role}"
machineClass = "{machine_class}"
serves = {_list(serves)}
ip = "{machine.ip}"
zone = "{machine.zone}"
region = "local"
internalPorts = [{internal}, {status}]
seedNodes = {_list(seeds)}
bootstrap = true
countsForQuorum = true
dataDir = {_text(data)}

[bind]
{bind}

[limits]
memoryMb = 300
maxFds = 1024
diskMb = {DISK_MB[machine.role]}

[faultTolerance]
machines = {TOLERATED}

[bounds]
graceS = {GRACE_S}
statusS = 600
visibilityMs = 3000

[cloudApi]
address = "{platform_list}"
ratePerS = 20.0
maxLagMs = 100
"""


def _text(value: object) -> str:
    """Return a TOML basic string; its escape sequences are the same as in JSON."""
    return json.dumps(str(value), ensure_ascii=False)


def _list(values: Iterable[str]) -> str:
    return "[" + ", ".join(f'"{value}"' for value in values) + "]"
