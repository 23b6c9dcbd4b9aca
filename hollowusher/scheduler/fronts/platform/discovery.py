"""The node list: a watch on its changes, opened when the desk asks, given up when it falls silent.

A second watch is open for a moment only while the service moves to another address."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

from hollowusher.balancing.interface import Limits, ListCalls, ListKind, Rules
from hollowusher.scheduler.component import NoDrain
from hollowusher.scheduler.dispatch.model import DispatchEvent, NodeListReceived
from hollowusher.scheduler.dispatch.worker_registry import RouteNode, WorkerRegistry
from hollowusher.scheduler.fronts.platform.http import AnswerReader
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.link import Link, connect, out_of_descriptors
from hollowusher.scheduler.rules.node_list import (
    NodeListAssembler,
    NodeListBackoff,
    ParsedNodeList,
    default_front,
    read_list,
)

CONNECT_TIMEOUT_S = 1.0
SILENT_S = 3.5  # an empty line comes every 2 s: after this the watch is broken, whatever the socket says
FIRST_LINE_S = 2.5  # the head alone tells nothing: from it on, an empty line is due within 2 s as well
MOST_LINE = 4 * 1024 * 1024
CALLS = Rules().list_calls(1, Limits().connect_timeout_ns)


class NodeListWatch(NoDrain):
    """Keeps the roster and the desk told.  The desk decides when to ask again."""

    name = "list"

    def __init__(
        self,
        address: tuple[str, int],
        registry: WorkerRegistry,
        post: Callable[[DispatchEvent], None],
        changed: Callable[[RouteNode], None],
        log: LogWriter,
        front: Callable[[str, str], str] = default_front,
        again: NodeListBackoff | None = None,
        known: Mapping[str, Any] | None = None,
        calls: ListCalls = CALLS,
        chance: Callable[[], float] = random.random,
    ) -> None:
        """With `again` the list is pushed: the address is an agent of our own machine, which this watch asks
        by itself; without, the desk says when the one service of all schedulers is asked."""
        self._address, self._registry, self._post, self._log = address, registry, post, log
        self._changed, self._front = changed, front
        self._again, self._known = again, known or {}
        self._call_s, self._spread_s, self._chance = calls.timeout_ns / 1e9, calls.spread_ns / 1e9, chance
        self._timer: asyncio.TimerHandle | None = None
        self._version = 0
        self._opening: asyncio.Task[None] | None = None
        self._standing: asyncio.Task[None] | None = None
        self._delivered: tuple[int, list[RouteNode]] | None = None
        self.heard = asyncio.Event()  # whether the service has told something

    async def start(self) -> None:
        """Begin with the list as it was last held; it may be old."""
        if self._delivered is not None:
            self._version, nodes = self._delivered
            self._post(self._registry.apply_list(ListKind.CACHED, nodes))
        else:
            self._begin_with_known()
        if self._again is not None:
            self.ask()

    def hand(self, version: int, nodes: list[RouteNode]) -> None:
        """Begin with a list that another process of this scheduler held a moment ago."""
        self._delivered = (version, nodes)

    @property
    def version(self) -> int:
        """Of the list held."""
        return self._version

    def _begin_with_known(self) -> None:
        try:
            read = self._read(dict(self._known) or {"servers": []})
        except ValueError as wrong:
            self._log.warning("list-unreadable", str(wrong))
            read = ParsedNodeList(0, True)
        self._version = read.version
        self._post(self._registry.apply_list(ListKind.CACHED, read.nodes))

    def _read(self, reported: object) -> ParsedNodeList:
        read = read_list(reported, self._registry, time.monotonic_ns(), time.time() * 1000, self._front)
        if read.faults:
            self._log.warning("list-odd", "; ".join(read.faults[:3]), faults=len(read.faults))
        return read

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
            if self._timer is not None:
                self._timer.cancel()
            # All schedulers hear of it at once, and the new service takes one call after another; an agent of
            # our own machine has nobody else to serve.
            wait_s = self._spread_s * self._chance() if self._again is None else 0.0
            self._timer = asyncio.get_running_loop().call_later(wait_s, self.ask)

    async def stop(self) -> None:
        """End all watching."""
        for task in (self._opening, self._standing, self._timer):
            if task is not None:
                task.cancel()

    def report(self) -> Mapping[str, object]:
        """The list held, and whether a watch on it stands."""
        return {
            "version": self._version,
            "watched": self._standing is not None,
            "service": f"{self._address[0]}:{self._address[1]}",
        }

    async def _watch(self, address: tuple[str, int], version: int) -> None:
        link: Link | None = None
        # A call that is refused, reset or answered with an error met no service that could tell; one that is
        # given up, or whose answer cannot be read, shows nothing.
        why, kind = "the watch ended", ListKind.SILENT
        lines = NodeListAssembler(MOST_LINE)
        try:
            reader = AnswerReader(MOST_LINE)
            path = f"/api/targets?watch=1&from={version}"
            host = f"{address[0]}:{address[1]}"
            async with asyncio.timeout(self._call_s):
                try:
                    link = await connect(address, min(CONNECT_TIMEOUT_S, self._call_s))
                    await link.send(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
                    while not reader.head_done:
                        await link.pass_on(reader.feed)
                except OSError as wrong:
                    if not (reader.spoilt or out_of_descriptors(wrong)):
                        kind = ListKind.FAILED
                    raise
            if reader.status == 200:
                patience_s = FIRST_LINE_S
                while True:
                    while reader.lines:
                        self._line(lines, reader.lines.popleft(), address)
                        self._stands()
                        patience_s = SILENT_S
                    if reader.complete:
                        kind = ListKind.FAILED
                        break
                    async with asyncio.timeout(patience_s):
                        try:
                            await link.pass_on(reader.feed)
                        except ConnectionResetError:
                            kind = ListKind.FAILED  # up to its end it has told all
                            raise
            else:
                why, kind = f"status {reader.status}", ListKind.FAILED
        except TimeoutError:
            why = "silence"
        except Exception as wrong:  # whatever the service sends: a call that never ended would be the last
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
        if self._again is not None:
            self._again.reset()

    def _ended(self, address: tuple[str, int], why: str, kind: ListKind) -> None:
        """A watch broke, or a call failed: the desk asks again."""
        if asyncio.current_task() is self._opening:
            self._opening = None
        else:
            self._standing = None
        where = f"{address[0]}:{address[1]}"
        self._log.warning("list-broken", "the watch on the node list broke", why=why, service=where)
        if self._again is not None:
            self._timer = asyncio.get_running_loop().call_later(self._again.wait_s(), self.ask)
        self._post(NodeListReceived(kind))

    def _line(self, lines: NodeListAssembler, line: bytes, address: tuple[str, int]) -> None:
        reported = lines.feed(line)
        if not line.strip():
            if address == self._address:  # nothing has changed: what is held is good until now
                self.heard.set()
                self._post(NodeListReceived(ListKind.CHANGES))
            return
        for each in reported:
            if each is None:
                self._log.warning("list-odd", "a list that stops short; the one after it counts")
            else:
                self._list(each, address)

    def _list(self, reported: object, address: tuple[str, int]) -> None:
        read = self._read(reported)
        if address == self._address:
            if read.outdated(self._version):
                self._log.warning("list-odd", "an older version than is held", version=read.version)
                return
            self._version = read.version
            self.heard.set()
        if read.full and not read.nodes:
            self._log.warning("list-odd", "the whole list names no node")
        for node in [*read.nodes, *(self._registry.missing(read.nodes) if read.full else ())]:
            self._changed(node)
        news = self._registry.apply_list(ListKind.FULL if read.full else ListKind.CHANGES, read.nodes)
        # What the old address still tells is heeded, but is no watch on the new one: that is asked for on.
        self._post(news if address == self._address else self._registry.cached_list())
