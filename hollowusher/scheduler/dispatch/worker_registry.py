"""The roster: what the node list has told of each route node, and the numbers the module knows them by."""

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
    """A route node: its name, where it is reached, and its entry in the list."""

    name: str
    address: tuple[str, int]
    entry: Listed
    front: str = "platform"


class WorkerRegistry:
    """All route nodes of both fronts.  It is told of a change before the desk is, so that a send that the
    desk ordered a moment ago can be stopped at its first byte."""

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}
        self._nodes: dict[int, RouteNode] = {}
        self._fixed: set[int] = set()
        self.detached: frozenset[str] = frozenset()  # the names of those that are out by hand

    def add_static(self, node: RouteNode) -> None:
        """A node that our own file lists: no list from outside tells of it, nor of its end."""
        self._nodes[node.entry.worker] = node
        self._fixed.add(node.entry.worker)

    def number(self, name: str) -> int:
        """The same number in every scheduler: their turns at a cold node are dealt out by it."""
        if name not in self._numbers:
            match = _HEX_NAME.fullmatch(name)
            number = int(match[1], 16) if match else zlib.crc32(name.encode())
            taken = set(self._numbers.values())
            while number in taken:
                number = (number + 1) % 2**32
            self._numbers[name] = number
        return self._numbers[name]

    def by_name(self, name: object) -> RouteNode | None:
        """The node of this name, if any list has told of it."""
        return self._nodes.get(self._numbers.get(str(name), -1))

    def node(self, number: int) -> RouteNode | None:
        """The node with this number, gone ones too."""
        return self._nodes.get(number)

    def serving(self, number: int) -> bool:
        """Whether new work may go to it as far as is known at this moment."""
        node = self._nodes.get(number)
        return node is not None and self._shown(node).state is State.READY

    def listed(self) -> list[RouteNode]:
        """The nodes that a list from outside has told of, gone ones too."""
        return [node for number, node in self._nodes.items() if number not in self._fixed]

    def in_list(self) -> list[RouteNode]:
        """All nodes that are not gone."""
        return [node for node in self._nodes.values() if node.entry.state is not State.GONE]

    def _shown(self, node: RouteNode) -> Listed:
        """Its entry for the desk: to one that is out by hand nothing new goes, whatever the list says."""
        if node.name in self.detached and node.entry.state is State.READY:
            return replace(node.entry, state=State.DRAINING)
        return node.entry

    def missing(self, nodes: Iterable[RouteNode]) -> list[RouteNode]:
        """The nodes that a whole list no longer names, as gone."""
        named = {n.entry.worker for n in nodes} | self._fixed
        return [
            replace(old, entry=replace(old.entry, state=State.GONE))
            for number, old in self._nodes.items()
            if number not in named
        ]

    def apply_list(self, kind: ListKind, nodes: Iterable[RouteNode]) -> NodeListReceived:
        """Take what a list tells; the event for the desk, with the fixed nodes in every whole list."""
        nodes = list(nodes)
        if kind in (ListKind.FULL, ListKind.CACHED):
            for gone in self.missing(nodes):
                self._nodes[gone.entry.worker] = gone
            nodes += [self._nodes[n] for n in sorted(self._fixed)]
        for node in nodes:
            self._nodes[node.entry.worker] = node
        if len(self._nodes) > MAX_NODES:  # ids of machines long gone must not pile up
            for number in [n for n, node in self._nodes.items() if node.entry.state is State.GONE]:
                self._numbers.pop(self._nodes.pop(number).name, None)
        return NodeListReceived(kind, tuple(self._shown(n) for n in nodes))

    def cached_list(self) -> NodeListReceived:
        """The whole list as held, of the kind that is no news from the list's service."""
        return NodeListReceived(ListKind.CACHED, tuple(self._shown(n) for n in self._nodes.values()))

    def update_node(self, number: int, **changes: State | int) -> NodeListReceived | None:
        """Take what a fixed node tells of itself.  The event is the whole list as held, of the kind that is
        no news from the list's service: as changes it would count as a watch that stands."""
        node = self._nodes.get(number)
        if node is None:
            return None
        self._nodes[number] = replace(node, entry=replace(node.entry, **changes))  # type: ignore[arg-type]
        return self.cached_list()
