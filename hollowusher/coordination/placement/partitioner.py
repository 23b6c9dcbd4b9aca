"""The choice of the partition for the messages of a service.  The module performs no I/O and reads no clock.

Messages with an ordering key are not placed by their service: those of one route are stored in one partition
(`rendezvous.ordering_partition`), because a single primary enforces their order, whatever services the route
has meanwhile.

The other messages of a service with a rate limit are stored in the home partition of the service, whose
primary enforces the limit.  Those of other services may be stored in any partition.  The intake prefers a
partition whose primary is in its own zone, and the dispatchers lease jobs from the primaries of their own
zone first, so that message bodies rarely cross zones.  A store that holds jobs which no dispatcher leases
notifies the dispatchers (`JobsWaiting`).
"""

from __future__ import annotations

from collections.abc import Iterable

from hollowusher.configuration.model import Configuration
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.rendezvous import rank_partitions, weight
from hollowusher.coordination.store_id import store_name


def has_single_home(service: str, configuration: Configuration | None) -> bool:
    """Return whether messages of a service without an ordering key must be stored in its home partition.

    The result is also True if the configuration is None or does not contain the service.
    """
    settings = configuration.service(service) if configuration is not None else None
    return settings is None or settings.rate_per_s > 0


class ZonePartitioner:
    """Ranks partitions for the processes of one zone; all processes of a zone compute the same order."""

    def __init__(self, state: ClusterState, zone: str) -> None:
        self._state = state
        self._zone = zone

    def __call__(self, service: str, partitions: Iterable[int]) -> list[int]:
        """Return the partitions by decreasing preference for a service.

        For a service without a single home partition, the result has one partition for each store that is a
        primary.  Partitions whose primary is in this zone come first.
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
