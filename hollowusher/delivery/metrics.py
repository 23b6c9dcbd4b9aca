"""Delivery metrics of an edge process."""

from __future__ import annotations

import attrs


@attrs.define
class DeliveryMetrics:
    """Counters since the start of the process, and the number of deliveries in flight."""

    success: int = 0
    failed: int = 0
    refused: int = 0
    not_run: int = 0
    unknown: int = 0
    in_flight: int = 0
    leased: int = 0  # jobs received from stores
    returned: int = 0  # leases released without a run
    requeued: int = 0  # jobs rejected by one worker and queued for another
    frozen: int = 0  # freezes of this process detected while jobs were queued
    suspected: int = 0  # transitions of a worker to suspect
    callbacks_accepted: int = 0
    callbacks_failed: int = 0
    pulled: int = 0  # jobs given to pull workers
    ends_reported: int = 0
    ends_gone: int = 0  # reported lease ends whose lease was no longer valid
    ends_dropped: int = 0  # lease ends that no store acknowledged in time
    lease_failures: int = 0  # lease requests without a response

    def count(self, result: str) -> None:
        """Increment the counter named `result`, the result of a delivery."""
        setattr(self, result, getattr(self, result) + 1)
