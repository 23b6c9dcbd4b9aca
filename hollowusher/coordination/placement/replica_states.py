"""What the conditions of the stores mean for the replicas that a placement names.  No I/O, no clock.

A replica is live while the newest incarnation of its machine has its disk and is alive.  Otherwise it is in
one of these states, each of which includes those before it:

* down: it is known not to be live now, for whatever reason;
* missing: it has been down for longer than an ordinary restart takes, so a copy is started;
* gone: it has been down for so long that the copy may replace it.

A lost disk never returns, so that replica is gone at once.  A machine that left in order is not awaited
either: its copy may replace it as soon as it is complete.  That copy is started only where a replacement is
more likely than a restart (a store with few replicas has come), or where the restart takes too long.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.store_id import store_name
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import Placement

STABLE_AFTER_S = 6.0  # a store that has been live for this long gets primaries back
MISSING_AFTER_S = 1.5  # a dead store is awaited for this long before its replicas are copied ...
MISSING_AFTER_LEAVING_S = 2.5  # ... and one that left in order for this long: its restart begins with its end
GONE_AFTER_S = 2.5  # a store that has been down for this long is replaced
UNKNOWN_DOWN_AFTER_S = 2.0  # a store that has never registered at this head is awaited before it is down ...
UNKNOWN_GONE_AFTER_S = 8.0  # ... and before it is replaced: after a loss of power some machines start late
UNDERLOADED_SHARE = 0.5  # a store with at most this part of its share of the replicas has come lately


class ReplicaStates:
    """The states of all replicas at one moment.  It never changes.

    `live` has the members of the live replicas by store id; `usable` has the ids of those whose machine is
    not being retired; `underloaded` those of `usable` that hold much less than their share: they were just
    added, or replace one that is down.
    """

    def __init__(
        self,
        stores: Mapping[str, StoreCondition],
        retiring: Collection[str],
        placement: Placement,
    ) -> None:
        self._stores = stores
        self._retiring = retiring
        self.live: dict[str, Member] = {}
        self._live_for_s: dict[str, float] = {}
        for condition in stores.values():
            if condition.member is not None and condition.member.alive:
                self.live[condition.store_id] = condition.member
                self._live_for_s[condition.store_id] = condition.state_age_s
        self.usable = {store_id for store_id in self.live if store_name(store_id) not in retiring}
        self.underloaded = self._underloaded(placement)

    def _underloaded(self, placement: Placement) -> set[str]:
        load = Counter(replica for entry in placement.partitions for replica in entry.replicas)
        share = load.total() / max(1, len(self.usable | load.keys()))
        return {store_id for store_id in self.usable if load[store_id] <= UNDERLOADED_SHARE * share}

    # ---- states

    def is_retiring(self, store_id: str) -> bool:
        """Return whether its machine is being retired."""
        return store_name(store_id) in self._retiring

    def is_stable(self, store_id: str) -> bool:
        """Return whether the replica has been live for a while."""
        return self._live_for_s.get(store_id, 0.0) >= STABLE_AFTER_S

    def has_lost_disk(self, store_id: str) -> bool:
        """Return whether its machine has registered with another disk: this one never returns."""
        condition = self._stores.get(store_name(store_id))
        return condition is not None and condition.member is not None and condition.store_id != store_id

    def has_left(self, store_id: str) -> bool:
        """Return whether its machine left in order and has not returned."""
        member = self._member(store_id)
        return member is not None and member.leaving and store_id not in self.live

    def is_down(self, store_id: str) -> bool:
        """Return whether the replica is known not to be live now."""
        if store_id in self.live:
            return False
        condition = self._stores.get(store_name(store_id))
        if condition is None:
            return True
        return condition.member is not None or condition.state_age_s >= UNKNOWN_DOWN_AFTER_S

    def is_missing(self, store_id: str) -> bool:
        """Return whether a copy of the replica is to be started.

        While an underloaded store is live it counts as the replacement of one that is down: nothing is
        awaited then.
        """
        if store_id in self.live:
            return False
        if self.is_gone(store_id):
            return True
        condition = self._stores.get(store_name(store_id))
        if condition is None or condition.member is None:
            return False
        awaited_s = MISSING_AFTER_LEAVING_S if condition.member.leaving else MISSING_AFTER_S
        return bool(self.underloaded) or condition.state_age_s >= awaited_s

    def is_gone(self, store_id: str) -> bool:
        """Return whether the replica has been down for so long that it is replaced."""
        if store_id in self.live:
            return False
        condition = self._stores.get(store_name(store_id))
        if condition is None:
            return False
        if condition.member is None:
            return condition.state_age_s >= UNKNOWN_GONE_AFTER_S
        return self.has_lost_disk(store_id) or condition.state_age_s >= GONE_AFTER_S

    def is_replaceable(self, store_id: str) -> bool:
        """Return whether a learner that has caught up replaces the replica now."""
        return self.is_gone(store_id) or self.is_retiring(store_id) or self.has_left(store_id)

    # ---- facts about a replica's machine

    def incarnation(self, store_id: str) -> int:
        """Return the incarnation of a live replica's process."""
        return self.live[store_id].incarnation

    def zone(self, store_id: str) -> str:
        """Return the zone of its machine, empty where that is not known."""
        member = self._member(store_id)
        return "" if member is None else member.zone

    def _member(self, store_id: str) -> Member | None:
        condition = self._stores.get(store_name(store_id))
        return None if condition is None else condition.member
