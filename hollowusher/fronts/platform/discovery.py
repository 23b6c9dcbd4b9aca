"""The node list: one watch on its changes, opened when the desk asks, given up when it falls silent."""

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


def read_list(told: object, roster: Roster, now_ns: int, wall_ms: float) -> tuple[int, bool, list[RouteNode]]:
    """Version, wholeness and nodes of one list object; ValueError where it cannot be read.

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
            nodes.append(RouteNode(str(row["id"]), (host, int(port)), entry))
        except (KeyError, TypeError, ValueError, AttributeError) as wrong:
            raise ValueError(f"a node list entry: {wrong!r}") from None
    return int(told.get("version") or 0), bool(told.get("full")), nodes


class NodeListWatch:
    """Keeps the roster and the desk told.  The desk decides when to ask again."""

    def __init__(
        self, address: tuple[str, int], roster: Roster, post: Callable[[DeskEvent], None],
        changed: Callable[[RouteNode], None], log: Log,
    ) -> None:
        self._address, self._roster, self._post, self._log = address, roster, post, log
        self._changed = changed
        self._version = 0
        self._task: asyncio.Task[None] | None = None

    def start_list(self, known: Mapping[str, Any]) -> None:
        """The list as it was last held; it may be old."""
        try:
            self._version, _, nodes = read_list(
                dict(known) or {"servers": []}, self._roster, time.monotonic_ns(), time.time() * 1000
            )
        except ValueError as wrong:
            self._log.warning("list-unreadable", str(wrong))
            self._version, nodes = 0, []
        self._post(self._roster.told(ListKind.CACHED, nodes))

    def ask(self) -> None:
        """Watch from the version held; a watch that is under way is given up."""
        self.stop()
        self._task = asyncio.create_task(self._watch())

    def stop(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()

    async def _watch(self) -> None:
        link: Link | None = None
        why = "the watch ended"
        try:
            link = await connect(self._address, CONNECT_TIMEOUT_S)
            reader = AnswerReader(MOST_LINE)
            path = f"/api/targets?watch=1&from={self._version}"
            host = f"{self._address[0]}:{self._address[1]}"
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await link.send(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
                while not reader.head_done:
                    await link.pass_on(reader.feed)
            if reader.status == 200:
                self._post(NodeListTold(ListKind.CHANGES))  # the watch stands; changes follow, if any
                while True:
                    while reader.lines:
                        self._line(reader.lines.popleft())
                    if reader.whole:
                        break
                    async with asyncio.timeout(SILENT_S):
                        await link.pass_on(reader.feed)
            else:
                why = f"status {reader.status}"
        except TimeoutError:
            why = "silence"
        except (OSError, ValueError) as wrong:
            why = str(wrong) or type(wrong).__name__
        finally:
            if link is not None:
                link.close()
        self._log.warning("list-broken", "the watch on the node list broke", why=why)
        self._post(NodeListTold(ListKind.FAILED))

    def _line(self, line: bytes) -> None:
        if not line.strip():
            return
        version, full, nodes = read_list(
            json.loads(line), self._roster, time.monotonic_ns(), time.time() * 1000
        )
        self._version = version
        for node in nodes:
            self._changed(node)
        self._post(self._roster.told(ListKind.FULL if full else ListKind.CHANGES, nodes))
