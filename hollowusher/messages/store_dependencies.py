"""What the parts of one store share."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from hollowusher.coordination.cluster_state import ClusterState
from hollowusher.storage.interface import Log
from hollowusher.transport.interface import Transport


@attrs.frozen(eq=False)
class StoreDependencies:
    """The identity of a store, its disk, its connections, the cluster's state, and the wall clock."""

    store_id: str  # name of the machine and id of its disk
    transport: Transport
    log: Log
    state: ClusterState
    wall_ms: Callable[[], int]
