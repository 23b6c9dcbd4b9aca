"""The node list: a watch on its changes, opened when the desk asks, given up when it falls silent.

A second watch is open for a moment only while the service moves to another address."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable, Mapping
from typing import Any

from hazelweir.interface import Listed, ListKind, State
from hollowusher.core.model import DeskEvent, NodeListTold
from hollowusher.core.roster import Roster, RouteNode
from hollowusher.fronts.platform.http import AnswerReader
from hollowusher.log import Log
from hollowusher.net.link import Link, connect

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 4.0  # the service itself fails a call that has waited for 3 s
SILENT_S = 3.5  # an empty line comes every 2 s: after this the watch is broken, whatever the socket says
MOST_LINE = 4 * 1024 * 1024
_STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}


def _one_front(name: str, kind: str) -> str:
    return "platform"


def read_list(
    told: object, roster: Roster, now_ns: int, wall_ms: float, front: Callable[[str, str], str] = _one_front
) -> tuple[int, bool, list[RouteNode]]:
    """Version, wholeness and nodes of one list object; ValueError where it cannot be read.  `front` tells by
    name and machine kind how a node is reached.

    A node's start is told by the wall clock and kept by the module's monotonic one; 0, long ago, stays 0.
    """
    if not isinstance(told, dict) or not isinstance(told.get("servers"), list):
        raise ValueError("not a node list")
    nodes = []
    for row in told["servers"]:
        try:
            host, _, port = str(row["addr"]).rpartition(":")
            started = float(row.get("started_ms") or 0)
            started_ns = now_ns - round((wall_ms - started) * 1e6) if started > 0 else 0
            entry = Listed(
                roster.number(str(row["id"])), str(row.get("zone") or ""), str(row.get("kind") or ""),
                int(row.get("cell") or 0), _STATES[row["state"]], float(row.get("weight") or 1.0), started_ns,
            )
            name = str(row["id"])
            nodes.append(RouteNode(name, (host, int(port)), entry, front(name, entry.kind)))
        except (KeyError, TypeError, ValueError, AttributeError) as wrong:
            raise ValueError(f"a node list entry: {wrong!r}") from None
    return int(told.get("version") or 0), bool(told.get("full")), nodes


class NodeListWatch:
    """Keeps the roster and the desk told.  The desk decides when to ask again."""

    def __init__(
        self, address: tuple[str, int], roster: Roster, post: Callable[[DeskEvent], None],
        changed: Callable[[RouteNode], None], log: Log, front: Callable[[str, str], str] = _one_front,
    ) -> None:
        self._address, self._roster, self._post, self._log = address, roster, post, log
        self._changed, self._front = changed, front
        self._version = 0
        self._opening: asyncio.Task[None] | None = None
        self._standing: asyncio.Task[None] | None = None

    def start_list(self, known: Mapping[str, Any]) -> None:
        """The list as it was last held; it may be old."""
        try:
            self._version, _, nodes = read_list(
                dict(known) or {"servers": []}, self._roster, time.monotonic_ns(), time.time() * 1000,
                self._front,
            )
        except ValueError as wrong:
            self._log.warning("list-unreadable", str(wrong))
            self._version, nodes = 0, []
        self._post(self._roster.told(ListKind.CACHED, nodes))

    def ask(self) -> None:
        """Watch from the version held.  A watch that stands goes on until the new one has told something; a
        call that is under way goes on too, since to cut it off would put it at the end of the line again."""
        if self._opening is None:
            self._opening = asyncio.create_task(self._watch(self._address, self._version))

    def move(self, address: tuple[str, int]) -> None:
        """The service has another address from now on.  Its versions may count otherwise, so the whole list
        is asked for; until it comes, what the old address tells still counts."""
        if address != self._address:
            self._address, self._version = address, 0
            if self._opening is not None:
                self._opening.cancel()
                self._opening = None
            self.ask()

    def stop(self) -> None:
        """End all watching."""
        for task in (self._opening, self._standing):
            if task is not None:
                task.cancel()

    async def _watch(self, address: tuple[str, int], version: int) -> None:
        link: Link | None = None
        why, kind = "the watch ended", ListKind.FAILED
        try:
            link = await connect(address, CONNECT_TIMEOUT_S)
            reader = AnswerReader(MOST_LINE)
            path = f"/api/targets?watch=1&from={version}"
            host = f"{address[0]}:{address[1]}"
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await link.send(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
                while not reader.head_done:
                    await link.pass_on(reader.feed)
            if reader.status == 200:
                while True:
                    while reader.lines:
                        self._line(reader.lines.popleft(), address)
                        self._stands()
                    if reader.whole:
                        break
                    async with asyncio.timeout(SILENT_S):
                        await link.pass_on(reader.feed)
            else:
                why = f"status {reader.status}"
        except TimeoutError:
            why, kind = "silence", ListKind.SILENT
        except (OSError, ValueError) as wrong:
            why = str(wrong) or type(wrong).__name__
        finally:
            if link is not None:
                link.close()
        self._ended(address, why, kind)

    def _stands(self) -> None:
        """The watch under way has told something: the one before it is no longer needed."""
        task = asyncio.current_task()
        if task is self._opening:
            self._opening = None
            if self._standing is not None:
                self._standing.cancel()
            self._standing = task

    def _ended(self, address: tuple[str, int], why: str, kind: ListKind) -> None:
        """A watch broke, or a call failed: the desk asks again."""
        if asyncio.current_task() is self._opening:
            self._opening = None
        else:
            self._standing = None
        where = f"{address[0]}:{address[1]}"
        self._log.warning("list-broken", "the watch on the node list broke", why=why, service=where)
        self._post(NodeListTold(kind))

    def _line(self, line: bytes, address: tuple[str, int]) -> None:
        if not line.strip():
            if address == self._address:  # nothing has changed: what is held is good until now
                self._post(NodeListTold(ListKind.CHANGES))
            return
        version, full, nodes = read_list(
            json.loads(line), self._roster, time.monotonic_ns(), time.time() * 1000, self._front
        )
        if address == self._address:
            self._version = version
        for node in [*nodes, *(self._roster.missing(nodes) if full else ())]:
            self._changed(node)
        told = self._roster.told(ListKind.FULL if full else ListKind.CHANGES, nodes)
        # What the old address still tells is heeded, but is no watch on the new one: that is asked for on.
        self._post(told if address == self._address else self._roster.held())
