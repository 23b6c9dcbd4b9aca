"""Client of the discovery service: keeps a watch (a long-lived HTTP request) on the changes of the node list.

A watch without data for too long is closed.  A second watch is open only while a new watch replaces the
current one."""

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
# The service sends at least an empty line every 2 s.  After this time without a line the watch counts as
# broken, even if its socket is still open.
SILENCE_TIMEOUT_S = 3.5
# Timeout for the first line after the response headers.  The headers alone do not confirm the list, and the
# first line is also due within 2 s.
FIRST_LINE_TIMEOUT_S = 2.5
MAX_LINE = 4 * 1024 * 1024  # maximum size of a line and of one JSON object of the list
DEFAULT_CALLS = Rules().list_calls(1, Limits().connect_timeout_ns)


class NodeListWatch(NoDrain):
    """Watches the node list and passes changes to the worker registry and the dispatcher.

    After a watch ends, the dispatcher decides when to open the next one, unless the list comes from a local
    agent; see `again`."""

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
        calls: ListCalls = DEFAULT_CALLS,
        chance: Callable[[], float] = random.random,
    ) -> None:
        """Create a watch on the list at `address`.

        With `again`, the address belongs to an agent on the same machine that pushes the list, and the watch
        reconnects on its own after this backoff.  Without `again`, the address belongs to the discovery
        service that all schedulers share, and the dispatcher decides when to connect."""
        self._address, self._registry, self._post, self._log = address, registry, post, log
        self._changed, self._front = changed, front
        self._backoff, self._cached_list = again, known or {}
        self._call_timeout_s, self._spread_s, self._random = (
            calls.timeout_ns / 1e9,
            calls.spread_ns / 1e9,
            chance,
        )
        self._timer: asyncio.TimerHandle | None = None
        self._version = 0
        self._pending: asyncio.Task[None] | None = None
        self._established: asyncio.Task[None] | None = None
        self._handed_over: tuple[int, list[RouteNode]] | None = None
        self.heard = asyncio.Event()  # set after the first data from the service

    async def start(self) -> None:
        """Load the last known list, which may be outdated; with a local agent, also open the watch."""
        if self._handed_over is not None:
            self._version, nodes = self._handed_over
            self._post(self._registry.apply_list(ListKind.CACHED, nodes))
        else:
            self._load_cached()
        if self._backoff is not None:
            self.ask()

    def hand(self, version: int, nodes: list[RouteNode]) -> None:
        """Set the list for `start`, as handed over by another process of this scheduler."""
        self._handed_over = (version, nodes)

    @property
    def version(self) -> int:
        """Version of the current list."""
        return self._version

    def _load_cached(self) -> None:
        try:
            read = self._read(dict(self._cached_list) or {"servers": []})
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
        """Open a watch from the current version.

        An established watch stays open until the new one has delivered a line.  A pending call is not
        repeated, because the service would queue the new call behind all others."""
        if self._pending is None:
            self._pending = asyncio.create_task(self._watch(self._address, self._version))

    def move(self, address: tuple[str, int]) -> None:
        """Change the address of the service.

        The new address may number versions differently, so the full list is requested.  Until it arrives,
        updates from the old address are still applied."""
        if address != self._address:
            self._address, self._version = address, 0
            if self._pending is not None:
                self._pending.cancel()
                self._pending = None
            if self._timer is not None:
                self._timer.cancel()
            # All schedulers receive the new address at once, and the new service handles one call at a time,
            # so the calls are spread.  A local agent serves this scheduler only and needs no spread.
            wait_s = self._spread_s * self._random() if self._backoff is None else 0.0
            self._timer = asyncio.get_running_loop().call_later(wait_s, self.ask)

    async def stop(self) -> None:
        """Cancel the watches and the pending call."""
        for task in (self._pending, self._established, self._timer):
            if task is not None:
                task.cancel()

    def report(self) -> Mapping[str, object]:
        """Return the version of the current list, whether a watch is established, and the service address."""
        return {
            "version": self._version,
            "watched": self._established is not None,
            "service": f"{self._address[0]}:{self._address[1]}",
        }

    async def _watch(self, address: tuple[str, int], version: int) -> None:
        link: Link | None = None
        # FAILED: the connection was refused or reset, or the response was an error, so no working service was
        # reached.  SILENT: the call timed out, its response was malformed, or this process had no free
        # descriptor; none of these shows whether the service works.
        why, kind = "the watch ended", ListKind.SILENT
        lines = NodeListAssembler(MAX_LINE)
        try:
            reader = AnswerReader(MAX_LINE)
            path = f"/api/targets?watch=1&from={version}"
            host = f"{address[0]}:{address[1]}"
            async with asyncio.timeout(self._call_timeout_s):
                try:
                    link = await connect(address, min(CONNECT_TIMEOUT_S, self._call_timeout_s))
                    await link.send(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
                    while not reader.head_done:
                        await link.pass_on(reader.feed)
                except OSError as wrong:
                    if not (reader.out_of_sync or out_of_descriptors(wrong)):
                        kind = ListKind.FAILED
                    raise
            if reader.status == 200:
                patience_s = FIRST_LINE_TIMEOUT_S
                while True:
                    while reader.lines:
                        self._handle_line(lines, reader.lines.popleft(), address)
                        self._mark_established()
                        patience_s = SILENCE_TIMEOUT_S
                    if reader.complete:
                        kind = ListKind.FAILED
                        break
                    async with asyncio.timeout(patience_s):
                        try:
                            await link.pass_on(reader.feed)
                        except ConnectionResetError:
                            kind = ListKind.FAILED  # the watch was current until the connection was reset
                            raise
            else:
                why, kind = f"status {reader.status}", ListKind.FAILED
        except TimeoutError:
            why = "silence"
        except Exception as wrong:  # _watch_ended must run whatever the service sends
            why = str(wrong) or type(wrong).__name__
        finally:
            if link is not None:
                link.close()
        self._watch_ended(address, why, kind)

    def _mark_established(self) -> None:
        """Mark the current watch as established after its first line, and cancel the previous one."""
        task = asyncio.current_task()
        if task is self._pending:
            self._pending = None
            if self._established is not None:
                self._established.cancel()
            self._established = task
        if self._backoff is not None:
            self._backoff.reset()

    def _watch_ended(self, address: tuple[str, int], why: str, kind: ListKind) -> None:
        """Report a broken watch or a failed call to the dispatcher, which decides when to retry.

        A watch on a local agent schedules its retry itself, after its backoff."""
        if asyncio.current_task() is self._pending:
            self._pending = None
        else:
            self._established = None
        where = f"{address[0]}:{address[1]}"
        self._log.warning("list-broken", "the watch on the node list broke", why=why, service=where)
        if self._backoff is not None:
            self._timer = asyncio.get_running_loop().call_later(self._backoff.wait_s(), self.ask)
        self._post(NodeListReceived(kind))

    def _handle_line(self, lines: NodeListAssembler, line: bytes, address: tuple[str, int]) -> None:
        reported = lines.feed(line)
        if not line.strip():
            if address == self._address:  # an empty line confirms that the current list is up to date
                self.heard.set()
                self._post(NodeListReceived(ListKind.CHANGES))
            return
        for each in reported:
            if each is None:
                self._log.warning("list-odd", "a truncated list was discarded; the next one is used")
            else:
                self._apply(each, address)

    def _apply(self, reported: object, address: tuple[str, int]) -> None:
        read = self._read(reported)
        if address == self._address:
            if read.outdated(self._version):
                self._log.warning("list-odd", "the received version is outdated", version=read.version)
                return
            self._version = read.version
            self.heard.set()
        if read.full and not read.nodes:
            self._log.warning("list-odd", "the full list contains no node")
        for node in [*read.nodes, *(self._registry.missing(read.nodes) if read.full else ())]:
            self._changed(node)
        news = self._registry.apply_list(ListKind.FULL if read.full else ListKind.CHANGES, read.nodes)
        # Updates from the old address are applied, but they do not count as a watch on the new address, so
        # the dispatcher keeps requesting one.
        self._post(news if address == self._address else self._registry.cached_list())
