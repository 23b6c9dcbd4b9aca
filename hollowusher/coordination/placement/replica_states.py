"""What the stores' conditions mean for the replicas that a placement names.  No I/O, no clock.

A replica is a machine's name and its disk.  It lives while the newest life of its machine has that disk and
is present.  One that does not live is in one of these states, each of which includes those before it:

* away: it is known to be gone now, for whatever reason;
* missing: it has been away for so long that an ordinary restart would have ended, so a copy is begun;
* gone: it has been away for so long that the copy may take its place.

A lost disk never returns, so it is gone at once.  A leaving machine does not wait either: its copy may take
its place as soon as it is complete, because the copy is begun only where a restart is less likely than a
replacement (a store with few replicas has come) or has taken too long.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.protocol.placement import Placement

STABLE_AFTER_S = 6.0  # a store that has been there this long gets primaries back
MISSING_AFTER_S = (
    1.5  # a store that was judged dead is awaited this long before copies of its replicas are begun
)
MISSING_AFTER_LEAVING_S = 2.5  # ... and one that left in order, whose restart begins with its end
GONE_AFTER_S = 2.5  # a store that has been away this long is replaced
UNKNOWN_DOWN_AFTER_S = (
    2.0  # a store that this head has never seen is awaited this long before it counts as away
)
UNDERLOADED_SHARE = 0.5  # a store with at most this part of its share of the replicas has come lately
UNKNOWN_GONE_AFTER_S = (
    8.0  # ... and this long before it is replaced: after a loss of power machines come late
)


def store_name(store_id: str) -> str:
    """The machine's name in a store id."""
    return store_id.partition("/")[0]


class ReplicaStates:
    """The states of all stores at one moment."""

    def __init__(
        self,
        stores: Mapping[str, StoreCondition],
        retiring: Collection[str],
        placement: Placement,
    ) -> None:
        self._stores = stores
        self._retiring = retiring
        self.live = {condition.store_id: condition for condition in stores.values() if condition.is_alive}
        self.usable = {store_id for store_id in self.live if store_name(store_id) not in retiring}
        self.underloaded = self._underloaded_stores(placement)

    def _underloaded_stores(self, placement: Placement) -> set[str]:
        """The stores that hold much less than their share: just added, or successors of one that is away."""
        held = Counter(replica for entry in placement.partitions for replica in entry.replicas)
        share = held.total() / max(1, len(self.usable | held.keys()))
        return {store_id for store_id in self.usable if held[store_id] <= UNDERLOADED_SHARE * share}

    def is_retiring(self, store_id: str) -> bool:
        """Whether its machine is being emptied."""
        return store_name(store_id) in self._retiring

    def has_lost_disk(self, store_id: str) -> bool:
        """Whether the machine has come with another disk: this one never returns."""
        condition = self._stores.get(store_name(store_id))
        return condition is not None and condition.member is not None and condition.store_id != store_id

    def is_down(self, store_id: str) -> bool:
        """Whether the replica is known to be away now."""
        if store_id in self.live:
            return False
        condition = self._stores.get(store_name(store_id))
        if condition is None:
            return True
        return condition.member is not None or condition.state_age_s >= UNKNOWN_DOWN_AFTER_S

    def is_missing(self, store_id: str) -> bool:
        """Whether a copy of the replica is to be begun.  A store with few replicas that is there while
        another is away is taken for its successor: nothing is waited for then."""
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
        """Whether the replica has been away for so long that it is replaced."""
        if store_id in self.live:
            return False
        condition = self._stores.get(store_name(store_id))
        if condition is None:
            return False
        if condition.member is None:
            return condition.state_age_s >= UNKNOWN_GONE_AFTER_S
        return self.has_lost_disk(store_id) or condition.state_age_s >= GONE_AFTER_S

    def must_be_replaced(self, store_id: str) -> bool:
        """Whether the replica has no future in its place."""
        return self.is_gone(store_id) or self.is_retiring(store_id)

    def may_be_replaced(self, store_id: str) -> bool:
        """Whether a learner that has caught up takes its place now."""
        return self.must_be_replaced(store_id) or self._has_left(store_id)

    def _has_left(self, store_id: str) -> bool:
        condition = self._stores.get(store_name(store_id))
        leaving = condition is not None and condition.member is not None and condition.member.leaving
        return leaving and store_id not in self.live

    def is_stable(self, store_id: str) -> bool:
        """Whether the replica has been there for a while."""
        condition = self.live.get(store_id)
        return condition is not None and condition.state_age_s >= STABLE_AFTER_S

    def incarnation(self, store_id: str) -> int:
        """The life of a living replica's process."""
        member = self.live[store_id].member
        assert member is not None
        return member.incarnation

    def zone(self, store_id: str) -> str:
        """The zone of its machine, empty where that is not known."""
        condition = self._stores.get(store_name(store_id))
        return condition.member.zone if condition is not None and condition.member is not None else ""
