"""The states of the replicas in a placement, derived from the conditions of the stores.

The module performs no I/O and reads no clock.

A replica is live while the newest incarnation of its machine is alive and has the disk of the replica.
Otherwise the replica may be in one of the following states.  Each state implies the states listed before it:

* down: the replica is known not to be live, for any reason;
* missing: the replica has been down for longer than a normal restart takes, so a copy is started;
* gone: the replica has been down for so long that the copy may replace it.

A lost disk never returns, so its replica is gone immediately.  If a machine shut down gracefully, its replica
may be replaced as soon as the copy is complete, without further waiting.  The copy of such a replica is
started only if a replacement of the machine is more likely than its restart (a store with few replicas has
joined), or if the restart takes too long.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

from hollowusher.coordination.membership.store_condition import StoreCondition
from hollowusher.coordination.store_id import store_name
from hollowusher.protocol.membership import Member
from hollowusher.protocol.placement import Placement

STABLE_AFTER_S = 6.0  # a store must be live for this long before primaries move back to it
MISSING_AFTER_S = 1.5  # the replicas of a dead store are copied after it has been down for this long
# A departing store announces its departure before it stops, so its restart takes longer than after a crash.
MISSING_AFTER_LEAVING_S = 2.5
GONE_AFTER_S = 2.5  # a store may be replaced after it has been down for this long
# A store that has not registered since this controller started counts as down and later as gone after these
# times.  The second one is long because some machines start late after a power loss.
UNKNOWN_DOWN_AFTER_S = 2.0
UNKNOWN_GONE_AFTER_S = 8.0
UNDERLOADED_SHARE = 0.5  # fraction of the mean replica count up to which a store counts as underloaded


class ReplicaStates:
    """An immutable snapshot of the states of all replicas.

    `live` maps the store id of each live store to its member.  `usable` holds the ids of the live stores that
    are not being retired.  `underloaded` holds the ids of the usable stores with at most `UNDERLOADED_SHARE`
    of the mean number of replicas: they were recently added or replace a store that is down.
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
        mean_load = load.total() / max(1, len(self.usable | load.keys()))
        return {store_id for store_id in self.usable if load[store_id] <= UNDERLOADED_SHARE * mean_load}

    # ---- states

    def is_retiring(self, store_id: str) -> bool:
        """Return whether the replica's machine is being retired."""
        return store_name(store_id) in self._retiring

    def is_stable(self, store_id: str) -> bool:
        """Return whether the replica has been live for at least `STABLE_AFTER_S`."""
        return self._live_for_s.get(store_id, 0.0) >= STABLE_AFTER_S

    def has_lost_disk(self, store_id: str) -> bool:
        """Return whether the replica's machine has registered with another disk.

        The replica's own disk then never returns.
        """
        condition = self._stores.get(store_name(store_id))
        return condition is not None and condition.member is not None and condition.store_id != store_id

    def has_left(self, store_id: str) -> bool:
        """Return whether the replica's machine has shut down gracefully and has not returned."""
        member = self._member(store_id)
        return member is not None and member.leaving and store_id not in self.live

    def is_down(self, store_id: str) -> bool:
        """Return whether the replica is known not to be live."""
        if store_id in self.live:
            return False
        condition = self._stores.get(store_name(store_id))
        if condition is None:
            return True
        return condition.member is not None or condition.state_age_s >= UNKNOWN_DOWN_AFTER_S

    def is_missing(self, store_id: str) -> bool:
        """Return whether a copy of the replica has to be started.

        An underloaded live store is assumed to be the replacement of a store that is down.  While there is
        one, copies are started without waiting for a restart.
        """
        if store_id in self.live:
            return False
        if self.is_gone(store_id):
            return True
        condition = self._stores.get(store_name(store_id))
        if condition is None or condition.member is None:
            return False
        timeout_s = MISSING_AFTER_LEAVING_S if condition.member.leaving else MISSING_AFTER_S
        return bool(self.underloaded) or condition.state_age_s >= timeout_s

    def is_gone(self, store_id: str) -> bool:
        """Return whether the replica has been down for so long that it may be replaced."""
        if store_id in self.live:
            return False
        condition = self._stores.get(store_name(store_id))
        if condition is None:
            return False
        if condition.member is None:
            return condition.state_age_s >= UNKNOWN_GONE_AFTER_S
        return self.has_lost_disk(store_id) or condition.state_age_s >= GONE_AFTER_S

    def is_replaceable(self, store_id: str) -> bool:
        """Return whether a learner that has caught up may replace the replica."""
        return self.is_gone(store_id) or self.is_retiring(store_id) or self.has_left(store_id)

    # ---- properties of a replica's machine

    def incarnation(self, store_id: str) -> int:
        """Return the incarnation of a live replica's process."""
        return self.live[store_id].incarnation

    def zone(self, store_id: str) -> str:
        """Return the zone of the replica's machine; empty if the zone is unknown."""
        member = self._member(store_id)
        return "" if member is None else member.zone

    def _member(self, store_id: str) -> Member | None:
        condition = self._stores.get(store_name(store_id))
        return None if condition is None else condition.member
