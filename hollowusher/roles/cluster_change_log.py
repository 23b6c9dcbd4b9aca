"""Logs cluster changes, so that an incident can be reconstructed from the logs.

Only the head of the control chain logs changes of members, the placement, the configuration and the view.
Each store logs the partitions whose primary it is when that set changes.
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


class ClusterChangeLog:
    """Listens to the cluster state of one process and logs its changes.

    `store_id` is empty in an edge process.  `is_head` returns whether the process is the head of the control
    chain.
    """

    def __init__(self, state: ClusterState, store_id: str, is_head: Callable[[], bool]) -> None:
        self._state = state
        self._store_id = store_id
        self._is_head = is_head
        self._own_primaries: set[int] = set()
        self._primaries: dict[int, str] = {}
        state.add_listener(self._on_change)

    def _on_change(self, key: str) -> None:
        state = self._state
        if key == PLACEMENT and state.placement is not None:
            self._log_placement(state.placement)
        elif key == VIEW and state.view is not None and self._is_head():
            log(ViewDecided(epoch=state.view.epoch, chain=state.view.chain))
        elif key == CONFIGURATION and state.configuration is not None and self._is_head():
            log(ConfigurationCommitted(generation=state.configuration.generation))
        elif key.startswith(MEMBER_PREFIX) and self._is_head():
            self._log_member(key.removeprefix(MEMBER_PREFIX))

    def _log_member(self, name: str) -> None:
        member = self._state.members[name]
        log(
            MemberChanged(
                peer=name,
                condition=_condition(member),
                incarnation=member.incarnation,
                status_version=member.status,
            )
        )

    def _log_placement(self, placement: Placement) -> None:
        primaries = {entry.partition: entry.primary for entry in placement.partitions}
        if self._store_id:
            own_primaries = {number for number, primary in primaries.items() if primary == self._store_id}
            if own_primaries != self._own_primaries:
                log(PrimariesAssigned(partitions=sorted(own_primaries), version=placement.version))
            self._own_primaries = own_primaries
        elif self._is_head():
            moved_primaries = {
                str(number): primary
                for number, primary in primaries.items()
                if self._primaries.get(number) != primary
            }
            partitions_with_learners = sum(1 for entry in placement.partitions if entry.learners)
            log(
                PlacementCommitted(
                    version=placement.version,
                    moved_primaries=moved_primaries,
                    partitions_with_learners=partitions_with_learners,
                )
            )
        self._primaries = primaries


def _condition(member: Member) -> MemberCondition:
    if member.alive:
        return MemberCondition.ALIVE
    return MemberCondition.DEPARTING if member.leaving else MemberCondition.DEAD
