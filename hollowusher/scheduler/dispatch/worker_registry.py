"""Worker registry: the last known entry of each node, and the numbers that identify nodes to the balancer."""

from __future__ import annotations

import re
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, replace

from hollowusher.balancing.interface import Listed, ListKind, State
from hollowusher.scheduler.dispatch.model import NodeListReceived

MAX_NODES = 4096
_HEX_NAME = re.compile(r"[a-z]+-([0-9a-f]{1,8})")


@dataclass(frozen=True, slots=True)
class RouteNode:
    """A worker node: its name, address (host and port), list entry, and the frontend that reaches it."""

    name: str
    address: tuple[str, int]
    entry: Listed
    front: str = "platform"


class WorkerRegistry:
    """The worker nodes of all frontends.

    The registry is updated before the dispatcher receives the change, so that an attempt that the dispatcher
    has just started can still be stopped before its first byte.
    """

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._nodes: dict[int, RouteNode] = {}
        self._static: set[int] = set()
        self.detached: frozenset[str] = frozenset()  # names of nodes that an operator has detached

    def add_static(self, node: RouteNode) -> None:
        """Add a node from the scheduler's own configuration; external lists neither update nor remove it."""
        self._nodes[node.entry.worker] = node
        self._static.add(node.entry.worker)

    def number(self, name: str) -> int:
        """Return a node's number, which is the same in every scheduler unless names collide.

        Schedulers take turns at sending to a cold node, and the number determines the order of the turns.
        """
        if name not in self._numbers:
            match = _HEX_NAME.fullmatch(name)
            number = int(match[1], 16) if match else zlib.crc32(name.encode())
            taken = set(self._numbers.values())
            while number in taken:
                number = (number + 1) % 2**32
            self._numbers[name] = number
        return self._numbers[name]

    def by_name(self, name: object) -> RouteNode | None:
        """Return the node with this name, or None if it is unknown."""
        return self._nodes.get(self._numbers.get(str(name), -1))

    def node(self, number: int) -> RouteNode | None:
        """Return the node with this number, including nodes that are gone, or None."""
        return self._nodes.get(number)

    def serving(self, number: int) -> bool:
        """Return whether the node is ready and not detached, so that it may get new work."""
        node = self._nodes.get(number)
        return node is not None and self._effective_entry(node).state is State.READY

    def listed(self) -> list[RouteNode]:
        """Return the nodes from external lists, including nodes that are gone."""
        return [node for number, node in self._nodes.items() if number not in self._static]

    def in_list(self) -> list[RouteNode]:
        """Return all nodes that are not gone."""
        return [node for node in self._nodes.values() if node.entry.state is not State.GONE]

    def _effective_entry(self, node: RouteNode) -> Listed:
        """Return a node's entry for the dispatcher; a detached node that is ready appears as draining."""
        if node.name in self.detached and node.entry.state is State.READY:
            return replace(node.entry, state=State.DRAINING)
        return node.entry

    def missing(self, nodes: Iterable[RouteNode]) -> list[RouteNode]:
        """Return the known nodes that a full list does not name, in state GONE."""
        listed_numbers = {n.entry.worker for n in nodes} | self._static
        return [
            replace(old, entry=replace(old.entry, state=State.GONE))
            for number, old in self._nodes.items()
            if number not in listed_numbers
        ]

    def apply_list(self, kind: ListKind, nodes: Iterable[RouteNode]) -> NodeListReceived:
        """Apply a list or changes; return the event for the dispatcher.  Full lists include static nodes."""
        nodes = list(nodes)
        if kind in (ListKind.FULL, ListKind.CACHED):
            for gone in self.missing(nodes):
                self._nodes[gone.entry.worker] = gone
            nodes += [self._nodes[n] for n in sorted(self._static)]
        for node in nodes:
            self._nodes[node.entry.worker] = node
        if len(self._nodes) > MAX_NODES:  # forget nodes that are gone, to bound memory
            for number in [n for n, node in self._nodes.items() if node.entry.state is State.GONE]:
                self._numbers.pop(self._nodes.pop(number).name, None)
        return NodeListReceived(kind, tuple(self._effective_entry(n) for n in nodes))

    def cached_list(self) -> NodeListReceived:
        """Return the full known list as CACHED, which does not count as an update from the list service."""
        return NodeListReceived(
            ListKind.CACHED, tuple(self._effective_entry(n) for n in self._nodes.values())
        )

    def update_node(self, number: int, **changes: State | int) -> NodeListReceived | None:
        """Update the entry of a static node and return the full known list as an event, or None if unknown.

        The event is CACHED rather than CHANGES: the balancer would take CHANGES for a sign that the watch of
        the list service works.
        """
        node = self._nodes.get(number)
        if node is None:
            return None
        self._nodes[number] = replace(node, entry=replace(node.entry, **changes))  # type: ignore[arg-type]
        return self.cached_list()
