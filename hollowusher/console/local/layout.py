"""Where the processes of a local system listen, and the settings file of each."""

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
PORTS = ("frontend", "readiness", "admin", "internal", "status")
LOWEST_PORT, HIGHEST_PORT = 20_000, 30_000  # below the range that the kernel gives to outgoing connections
TRIES = 50
GRACE_S = 4
TOLERATED = 1
MOST_SEEDS = 3
DISK_MB = {EDGE: 16, STORE: 64}
STAND_IN_HOST = 250  # the last number of the address that all stand-ins share


class LayoutError(Exception):
    """No free addresses were found."""


@attrs.frozen
class Machine:
    """One process of the system, as if alone on its machine."""

    name: str
    role: str
    zone: str
    ip: str
    ports: dict[str, int]

    def address(self, side: str) -> str:
        """Where one side of it listens ("ip:port")."""
        return f"{self.ip}:{self.ports[side]}"


@attrs.frozen
class Layout:
    """All machines of a local system."""

    machines: list[Machine]
    stand_in_ip: str

    def of_role(self, role: str) -> list[Machine]:
        """The machines of one role."""
        return [machine for machine in self.machines if machine.role == role]


def make_layout(edges: int, stores: int, chance: random.Random) -> Layout:
    """A layout on loopback addresses of its own whose ports are free; zones are dealt in turn."""
    for _ in range(TRIES):
        layout = _draw(edges, stores, chance)
        if _is_free(layout):
            return layout
    raise LayoutError(f"no free loopback addresses found in {TRIES} tries")


def _draw(edges: int, stores: int, chance: random.Random) -> Layout:
    net = f"127.{chance.randrange(1, 255)}.{chance.randrange(0, 255)}"
    base = chance.randrange(LOWEST_PORT, HIGHEST_PORT, len(PORTS))
    ports = {side: base + offset for offset, side in enumerate(PORTS)}
    names = [(EDGE, number) for number in range(1, edges + 1)]
    names += [(STORE, number) for number in range(1, stores + 1)]
    machines = [
        Machine(f"{role}-{number}", role, f"zone-{'abc'[(number - 1) % 3]}", f"{net}.{index}", ports)
        for index, (role, number) in enumerate(names, start=1)
    ]
    return Layout(machines, f"{net}.{STAND_IN_HOST}")


def _is_free(layout: Layout) -> bool:
    with ExitStack() as stack:
        for machine in layout.machines:
            for port in machine.ports.values():
                probe = stack.enter_context(socket.socket())
                try:
                    probe.bind((machine.ip, port))
                except OSError:
                    return False
    return True


def write_settings(layout: Layout, folder: Path, platform_list: str) -> dict[str, Path]:
    """Write each machine's settings file and make its data folder; the files by the machine's name."""
    seeds = [machine.address("admin") for machine in layout.of_role(EDGE)[:MOST_SEEDS]]
    files = {}
    for machine in layout.machines:
        data = folder / machine.name / "data"
        data.mkdir(parents=True)
        files[machine.name] = folder / machine.name / "boot.toml"
        files[machine.name].write_text(settings_text(machine, data, seeds, platform_list))
    return files


def settings_text(machine: Machine, data: Path, seeds: Iterable[str], platform_list: str) -> str:
    """One machine's settings file."""
    serves = ["edge", "control_plane"] if machine.role == EDGE else ["storage"]
    machine_class = "edge" if machine.role == EDGE else "storage"
    sides = ("frontend", "readiness", "admin") if machine.role == EDGE else ()
    bind = "\n".join(f'{side} = "{machine.address(side)}"' for side in sides)
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
    """A basic string of TOML, whose escapes are JSON's."""
    return json.dumps(str(value), ensure_ascii=False)


def _list(values: Iterable[str]) -> str:
    return "[" + ", ".join(f'"{value}"' for value in values) + "]"
