"""The stores that a placement assigns replicas or learners to."""

from __future__ import annotations

from hollowusher.coordination.store_id import store_name
from hollowusher.protocol.placement import Placement


def placed_store_names(placement: Placement) -> set[str]:
    """Return the names of the stores that hold a replica or a learner in `placement`."""
    return {
        store_name(store_id)
        for entry in placement.partitions
        for store_id in (entry.primary, *entry.replicas, *entry.learners)
    }


def is_store_placed(placement: Placement, name: str) -> bool:
    """Return whether the store `name` holds a replica or a learner in `placement`."""
    return name in placed_store_names(placement)
