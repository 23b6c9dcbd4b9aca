"""Log lines about changes of the cluster, so that an incident can be read from the logs.

One process tells what concerns all: the head of the control chain.  Each store tells which partitions it has
become or ceased to be the primary of, and each process when it learns a newer configuration or view.
"""

from __future__ import annotations

from collections.abc import Callable

from hollowusher.coordination.cluster_state import (
    CONFIGURATION,
    MEMBER_PREFIX,
    PLACEMENT,
    VIEW,
    ClusterState,
)
from hollowusher.protocol.placement import Placement
from hollowusher.roles.logs import log


class ChangeLog:
    """Follows one process's knowledge of the cluster.  `is_head` tells whether it is the chain's head now."""

    def __init__(self, state: ClusterState, store_id: str, is_head: Callable[[], bool]) -> None:
        self._state = state
        self._store_id = store_id
        self._is_head = is_head
        self._led: set[int] = set()
        self._primaries: dict[int, str] = {}
        state.listen(self._changed)

    def _changed(self, key: str) -> None:
        state = self._state
        if key == PLACEMENT and state.placement is not None:
            self._placement_changed(state.placement)
        elif key == VIEW and state.view is not None and self._is_head():
            log("view", epoch=state.view.epoch, chain=state.view.chain)
        elif key == CONFIGURATION and state.configuration is not None and self._is_head():
            log("configuration", generation=state.configuration.generation)
        elif key.startswith(MEMBER_PREFIX) and self._is_head():
            self._member_changed(key.removeprefix(MEMBER_PREFIX))

    def _member_changed(self, name: str) -> None:
        member = self._state.members[name]
        condition = "alive" if member.alive else "leaving" if member.leaving else "dead"
        log("member", name=name, condition=condition, incarnation=member.incarnation, status=member.status)

    def _placement_changed(self, placement: Placement) -> None:
        primaries = {entry.partition: entry.primary for entry in placement.partitions}
        if self._store_id:
            led = {number for number, primary in primaries.items() if primary == self._store_id}
            if led != self._led:
                log("primary_of", partitions=sorted(led), version=placement.version)
            self._led = led
        elif self._is_head():
            moved = {
                str(number): primary
                for number, primary in primaries.items()
                if self._primaries.get(number) != primary
            }
            learning = sum(1 for entry in placement.partitions if entry.learners)
            log("placement", version=placement.version, moved=moved, with_learners=learning)
        self._primaries = primaries
