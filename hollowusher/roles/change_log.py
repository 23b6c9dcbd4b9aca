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
from hollowusher.log_events import (
    ConfigurationCommitted,
    MemberChanged,
    MemberCondition,
    PlacementCommitted,
    PrimariesAssigned,
    ViewDecided,
)
from hollowusher.protocol.membership import Member
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
        state.add_listener(self._changed)

    def _changed(self, key: str) -> None:
        state = self._state
        if key == PLACEMENT and state.placement is not None:
            self._placement_changed(state.placement)
        elif key == VIEW and state.view is not None and self._is_head():
            log(ViewDecided(epoch=state.view.epoch, chain=state.view.chain))
        elif key == CONFIGURATION and state.configuration is not None and self._is_head():
            log(ConfigurationCommitted(generation=state.configuration.generation))
        elif key.startswith(MEMBER_PREFIX) and self._is_head():
            self._member_changed(key.removeprefix(MEMBER_PREFIX))

    def _member_changed(self, name: str) -> None:
        member = self._state.members[name]
        log(
            MemberChanged(
                peer=name,
                condition=_condition(member),
                incarnation=member.incarnation,
                status_version=member.status,
            )
        )

    def _placement_changed(self, placement: Placement) -> None:
        primaries = {entry.partition: entry.primary for entry in placement.partitions}
        if self._store_id:
            led = {number for number, primary in primaries.items() if primary == self._store_id}
            if led != self._led:
                log(PrimariesAssigned(partitions=sorted(led), version=placement.version))
            self._led = led
        elif self._is_head():
            moved = {
                str(number): primary
                for number, primary in primaries.items()
                if self._primaries.get(number) != primary
            }
            learning = sum(1 for entry in placement.partitions if entry.learners)
            log(
                PlacementCommitted(
                    version=placement.version, moved_primaries=moved, partitions_with_learners=learning
                )
            )
        self._primaries = primaries


def _condition(member: Member) -> MemberCondition:
    if member.alive:
        return MemberCondition.ALIVE
    return MemberCondition.DEPARTING if member.leaving else MemberCondition.DEAD
