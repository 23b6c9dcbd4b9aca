"""The dependencies that the components of one store share."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.storage.interface import Log
from hollowusher.transport.interface import Transport


@attrs.frozen(eq=False)
class StoreDependencies:
    """The id of a store, its transport, its log, its copy of the cluster's state, and its wall clock."""

    store_id: str  # "<machine name>/<disk id>"
    transport: Transport
    log: Log
    state: ClusterState
    wall_ms: Callable[[], int]
