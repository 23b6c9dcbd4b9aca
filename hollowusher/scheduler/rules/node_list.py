"""What is read from the node list's service, and what is made of a list that is partly wrong.

No I/O, and no clock but what is handed in.  The whole fleet hears one list: a row that nobody can read must
cost its own node and not all the others, and never the scheduler.
"""

from __future__ import annotations

import json
import math
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from hollowusher.balancing.interface import Listed, State
from hollowusher.scheduler.dispatch.worker_registry import MAX_NODES, RouteNode, WorkerRegistry

_STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
_TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')
_FAULTS = (KeyError, TypeError, ValueError, AttributeError, OverflowError, OSError)


def default_front(name: str, kind: str) -> str:
    """All nodes speak the platform's HTTP, unless the settings say otherwise."""
    return "platform"


class NodeListBackoff:
    """When a pushed list is asked for again.  What its agent has counts as told whether we hear it or not, so
    that the longest wait (seconds) is a part of the grace that a drain leaves; the agent is our own
    machine's and answers at no cost, and is not hammered all the same while it is down."""

    FIRST_S, GRACE_PARTS = 0.01, 4

    def __init__(self, grace_ns: int, chance: Callable[[], float]) -> None:
        self._longest_s = max(self.FIRST_S, grace_ns / 1e9 / self.GRACE_PARTS)
        self._chance, self._failures = chance, 0

    def reset(self) -> None:
        """It has told something."""
        self._failures = 0

    def wait_s(self) -> float:
        """How long to wait after one more failure; half of it by chance."""
        wait_s = min(self._longest_s, self.FIRST_S * 2.0 ** min(self._failures, 16))
        self._failures += 1
        return wait_s * (0.5 + 0.5 * self._chance())


class NodeListAssembler:
    """Puts the objects of a watch together.  One mostly stands on a line; indented, it goes over many."""

    def __init__(self, most: int) -> None:
        """ValueError at more bytes than that of one object."""
        self._most, self._rest, self._depth = most, bytearray(), 0

    def feed(self, line: bytes) -> tuple[object, ...]:
        """Take a line; the objects that are whole by it.  ValueError where it cannot belong to one."""
        if not line.strip():
            if self._rest:
                raise ValueError("a list stops short")
            return ()
        if not self._rest or line.startswith(b"{"):  # one that begins anew leaves nothing of the one before
            try:
                complete = json.loads(line)
            except ValueError:
                pass
            else:
                cut = bool(self._rest)
                self._rest.clear()
                return (None, complete) if cut else (complete,)
        self._rest += line + b"\n"
        if len(self._rest) > self._most:
            raise ValueError("a list is too long")
        bare = _TEXT.sub(b"", line)
        self._depth = (
            (self._depth if len(self._rest) > len(line) + 1 else 0)
            + sum(bare.count(c) for c in b"{[")
            - sum(bare.count(c) for c in b"}]")
        )
        if self._depth > 0:
            return ()
        text, self._rest = bytes(self._rest), bytearray()
        return (json.loads(text),)


@dataclass(slots=True)
class ParsedNodeList:
    """One list object: its version, whether it is the whole list, its nodes, and what was wrong with it."""

    version: int
    full: bool
    nodes: list[RouteNode] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def outdated(self, held: int) -> bool:
        """Whether it came out of order: its changes are in what is held, and a drain among that must stand.
        A whole list always counts, since a service that starts anew may count its versions anew."""
        return not self.full and self.version < held


def read_list(
    reported: object,
    registry: WorkerRegistry,
    now_ns: int,
    wall_ms: float,
    front: Callable[[str, str], str] = default_front,
) -> ParsedNodeList:
    """Read one list object; ValueError where nothing of it can be read.  `front` tells by name and machine
    kind how a node is reached.

    A row that cannot be read is left out, and a node of ours that it names is not used on.  A node that is
    named twice counts by the row that would have it left alone.  Rows beyond the most that a scheduler keeps
    are left out: its memory is small.  A node's start is told by the wall clock and kept by the module's
    monotonic one; 0, long ago, stays 0.
    """
    if not isinstance(reported, dict) or not isinstance(reported.get("servers"), list):
        raise ValueError("not a node list")
    try:
        read = ParsedNodeList(int(reported.get("version") or 0), bool(reported.get("full")))
    except _FAULTS as wrong:
        raise ValueError(f"a node list's version: {wrong!r}") from None
    nodes: dict[int, RouteNode] = {}
    for row in reported["servers"]:
        if len(nodes) >= MAX_NODES:
            read.faults.append(f"more than {MAX_NODES} nodes")
            break
        try:
            node = _read_row(row, registry, now_ns, wall_ms, front)
        except _FAULTS as wrong:
            read.faults.append(f"a row: {wrong!r}")
            known = registry.by_name(row["id"]) if isinstance(row, dict) and "id" in row else None
            if known is None:
                continue
            node = replace(known, entry=replace(known.entry, state=State.GONE))
        number = node.entry.worker
        if number in nodes:
            read.faults.append(f"{node.name} is named twice")
        if number not in nodes or nodes[number].entry.state is State.READY:
            nodes[number] = node
    read.nodes = list(nodes.values())
    return read


def _read_row(
    row: dict[str, object],
    registry: WorkerRegistry,
    now_ns: int,
    wall_ms: float,
    front: Callable[[str, str], str],
) -> RouteNode:
    host, _, port = str(row["addr"]).rpartition(":")
    socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)  # DNS there is none
    if not 0 < int(port) < 65536:
        raise ValueError("no port")
    started, weight = float(str(row.get("started_ms") or 0)), float(str(row.get("weight") or 1.0))
    if not (math.isfinite(weight) and weight > 0):
        raise ValueError("no weight")
    started_ns = now_ns - round((wall_ms - started) * 1e6) if started > 0 else 0
    name, kind, state = str(row["id"]), str(row.get("kind") or ""), _STATES[str(row["state"])]
    entry = Listed(
        registry.number(name),
        str(row.get("zone") or ""),
        kind,
        int(str(row.get("cell") or 0)),
        state,
        weight,
        started_ns,
    )
    return RouteNode(name, (host, int(port)), entry, front(name, kind))
