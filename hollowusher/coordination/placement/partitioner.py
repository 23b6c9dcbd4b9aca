"""The choice of the partition for a service's messages.  No I/O, no clock.

The messages of a service with a rate limit or with ordered routes are all in its home partition, because its
primary alone keeps order and rate.  Any other message may be in any partition.  It is put to a store of the
sender's own zone, and workers ask there first, so that its body need not cross zones; jobs that nobody leases
there are offered to all (`JobsWaiting`).
"""

from __future__ import annotations

from collections.abc import Iterable

from hollowusher.configuration.model import Configuration
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.rendezvous import weight
from hollowusher.coordination.store_id import store_name


def rank_partitions(service: str, partitions: Iterable[int]) -> list[int]:
    """Return the partitions in the order of preference for a service; the first is its home partition."""
    key = f"home/{service}"
    return sorted(partitions, key=lambda partition: (weight(key, str(partition)), partition), reverse=True)


def has_single_home(service: str, configuration: Configuration | None) -> bool:
    """Return whether all messages of a service must be in its home partition.

    That is so, too, while the service or the configuration is not known.
    """
    found = configuration.service(service) if configuration is not None else None
    if configuration is None or found is None or found.rate_per_s > 0:
        return True
    return any(route.ordered for route in configuration.routes if route.upstream == service)


class ZonePartitioner:
    """Ranks partitions for the processes of one zone; all of them compute the same order."""

    def __init__(self, state: ClusterState, zone: str) -> None:
        self._state = state
        self._zone = zone

    def __call__(self, service: str, partitions: Iterable[int]) -> list[int]:
        """Return the partitions in the order of preference for a service.

        For a service without a single home that is one partition of each store, those of the zone first.
        """
        ranking = rank_partitions(service, partitions)
        if has_single_home(service, self._state.configuration):
            return ranking
        best = self._best_by_primary(ranking)
        key = f"zone/{self._zone}/{service}"
        order = sorted(best, key=lambda store_id: (not self._is_in_zone(store_id), -weight(key, store_id)))
        return [best[store_id] for store_id in order] or ranking

    def _best_by_primary(self, ranking: Iterable[int]) -> dict[str, int]:
        best: dict[str, int] = {}
        for partition in ranking:
            placement = self._state.partition_placement(partition)
            if placement is not None:
                best.setdefault(placement.primary, partition)
        return best

    def _is_in_zone(self, store_id: str) -> bool:
        member = self._state.members.get(store_name(store_id))
        return member is not None and member.zone == self._zone
