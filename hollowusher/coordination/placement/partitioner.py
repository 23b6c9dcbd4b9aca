"""Where the messages of a service are put and looked for, as seen from one zone.

Messages of a service with a ceiling or with ordered routes all have one home partition, for its primary is
the one owner of order and rate.  Any other message may be anywhere: it is put to a store of the own zone, and
looked for there first, so that its body need not cross zones; jobs that nobody takes there are offered to
all (`JobsWaiting`).
"""

from __future__ import annotations

from collections.abc import Iterable

from hollowusher.configuration.model import Configuration
from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.coordination.placement.initial_placement import rank_partitions
from hollowusher.coordination.rendezvous import weight


def has_single_home(service: str, configuration: Configuration | None) -> bool:
    """Whether all messages of a service must be in one partition; also where the service is not known."""
    found = configuration.service(service) if configuration is not None else None
    if configuration is None or found is None or found.rate_per_s > 0:
        return True
    return any(route.ordered for route in configuration.routes if route.upstream == service)


class ZonePartitioner:
    """The partitions of a service in the order of preference, for processes of one zone."""

    def __init__(self, state: ClusterState, zone: str) -> None:
        self._state = state
        self._zone = zone

    def __call__(self, service: str, partitions: Iterable[int]) -> list[int]:
        """The ranking; for a service without one home, a partition of each store, those of the zone first."""
        ranking = rank_partitions(service, partitions)
        if has_single_home(service, self._state.configuration):
            return ranking
        best: dict[str, int] = {}
        for number in ranking:
            entry = self._state.partition_placement(number)
            if entry is not None:
                best.setdefault(entry.primary, number)
        key = f"zone/{self._zone}/{service}"
        order = sorted(best, key=lambda store: (not self._is_near(store), -weight(key, store)))
        return [best[store] for store in order] or ranking

    def _is_near(self, store_id: str) -> bool:
        member = self._state.members.get(store_id.partition("/")[0])
        return member is not None and member.zone == self._zone
