"""Parser of the node lists that the discovery service sends, and its handling of partly invalid lists.

The module does no I/O; callers pass the time in.  All schedulers receive the same list, so an invalid row
must affect only its own node, and must never stop a scheduler.
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
_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
_ROW_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError, OSError)


def default_front(name: str, kind: str) -> str:
    """Return the frontend that every node uses unless the settings name another: the platform's HTTP."""
    return "platform"


class NodeListBackoff:
    """Exponential backoff between watches of a pushed node list.

    A drain counts as announced once the local agent has it, whether or not the scheduler has received it.
    The longest wait is therefore 1/GRACE_PARTS of the drain grace period (`grace_ns`).  The first wait can be
    as short as FIRST_S because the agent runs on the same machine and its answers are cheap; the backoff only
    protects an agent that is down from a tight retry loop.
    """

    FIRST_S, GRACE_PARTS = 0.01, 4

    def __init__(self, grace_ns: int, chance: Callable[[], float]) -> None:
        self._max_wait_s = max(self.FIRST_S, grace_ns / 1e9 / self.GRACE_PARTS)
        self._random, self._failures = chance, 0

    def reset(self) -> None:
        """Reset the backoff after the agent has sent a list."""
        self._failures = 0

    def wait_s(self) -> float:
        """Count one more failure and return the seconds to wait; up to half of the wait is random jitter."""
        wait_s = min(self._max_wait_s, self.FIRST_S * 2.0 ** min(self._failures, 16))
        self._failures += 1
        return wait_s * (0.5 + 0.5 * self._random())


class NodeListAssembler:
    """Assembles the JSON objects of a watch from lines.

    An object usually takes one line, but an indented object takes several.
    """

    def __init__(self, max_bytes: int) -> None:
        """Limit one object to `max_bytes`."""
        self._max_bytes, self._pending, self._depth = max_bytes, bytearray(), 0

    def feed(self, line: bytes) -> tuple[object, ...]:
        """Add a line and return the objects that it completes.

        When a new object starts before the previous one is complete, the result is None for the truncated
        object followed by the new one.  Raises ValueError when an object ends early, is longer than the limit
        or is not JSON.
        """
        if not line.strip():
            if self._pending:
                raise ValueError("a node list object ends early")
            return ()
        if not self._pending or line.startswith(b"{"):  # a new object discards an incomplete one before it
            try:
                complete = json.loads(line)
            except ValueError:
                pass
            else:
                truncated = bool(self._pending)
                self._pending.clear()
                return (None, complete) if truncated else (complete,)
        self._pending += line + b"\n"
        if len(self._pending) > self._max_bytes:
            raise ValueError("a node list object is too long")
        unquoted = _JSON_STRING.sub(b"", line)
        self._depth = (
            (self._depth if len(self._pending) > len(line) + 1 else 0)
            + sum(unquoted.count(c) for c in b"{[")
            - sum(unquoted.count(c) for c in b"}]")
        )
        if self._depth > 0:
            return ()
        text, self._pending = bytes(self._pending), bytearray()
        return (json.loads(text),)


@dataclass(slots=True)
class ParsedNodeList:
    """A parsed list object: its version, whether it is a full list, its nodes, and the errors found in it."""

    version: int
    full: bool
    nodes: list[RouteNode] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def outdated(self, known_version: int) -> bool:
        """Return whether this object is older than `known_version` and must be ignored.

        The known list already contains the changes of an older object, and applying them again could undo a
        later drain.  A full list is never outdated, because the service may restart its version numbers.
        """
        return not self.full and self.version < known_version


def read_list(
    reported: object,
    registry: WorkerRegistry,
    now_ns: int,
    wall_ms: float,
    front: Callable[[str, str], str] = default_front,
) -> ParsedNodeList:
    """Parse one list object.  `front` returns the frontend for a node's name and machine kind.

    An invalid row is skipped; if it names a node in the registry, that node is marked as gone.  When two rows
    name the same node, the row that stops new work to it wins.  Rows beyond MAX_NODES are skipped, because
    the scheduler's memory is limited.  A node's start time arrives in wall-clock time (`wall_ms` is the
    current one) and is converted to the monotonic clock of `now_ns`; 0 means a start long ago and stays 0.

    Raises ValueError when the object is not a node list or its version is invalid.
    """
    if not isinstance(reported, dict) or not isinstance(reported.get("servers"), list):
        raise ValueError("not a node list")
    try:
        parsed = ParsedNodeList(int(reported.get("version") or 0), bool(reported.get("full")))
    except _ROW_ERRORS as error:
        raise ValueError(f"invalid node list version: {error!r}") from None
    nodes: dict[int, RouteNode] = {}
    for row in reported["servers"]:
        if len(nodes) >= MAX_NODES:
            parsed.faults.append(f"more than {MAX_NODES} nodes")
            break
        try:
            node = _read_row(row, registry, now_ns, wall_ms, front)
        except _ROW_ERRORS as error:
            parsed.faults.append(f"invalid row: {error!r}")
            known = registry.by_name(row["id"]) if isinstance(row, dict) and "id" in row else None
            if known is None:
                continue
            node = replace(known, entry=replace(known.entry, state=State.GONE))
        number = node.entry.worker
        if number in nodes:
            parsed.faults.append(f"{node.name} is named twice")
        if number not in nodes or nodes[number].entry.state is State.READY:
            nodes[number] = node
    parsed.nodes = list(nodes.values())
    return parsed


def _read_row(
    row: dict[str, object],
    registry: WorkerRegistry,
    now_ns: int,
    wall_ms: float,
    front: Callable[[str, str], str],
) -> RouteNode:
    host, _, port = str(row["addr"]).rpartition(":")
    socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)  # there is no DNS
    if not 0 < int(port) < 65536:
        raise ValueError("invalid port")
    started, weight = float(str(row.get("started_ms") or 0)), float(str(row.get("weight") or 1.0))
    if not (math.isfinite(weight) and weight > 0):
        raise ValueError("invalid weight")
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
