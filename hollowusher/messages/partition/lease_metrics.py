"""Metrics of the leases on messages that one store grants; leases of call-backs are not counted."""

from __future__ import annotations

import attrs


@attrs.define
class LeaseMetrics:
    """Counters since the start of the process, over all partitions of the store."""

    granted: int = 0
    expired: int = 0  # leases whose holder reported no result before their expiry
    reclaimed: int = 0  # leases taken back because the cluster considers their dispatcher dead
    late_results: int = 0  # results of leases that were no longer current; the store ignored them
