"""What an edge process counts of its deliveries."""

from __future__ import annotations

import attrs


@attrs.define
class DeliveryMetrics:
    """Counters since the start, and what is under way."""

    success: int = 0
    failed: int = 0
    refused: int = 0
    not_run: int = 0
    unknown: int = 0
    in_flight: int = 0
    leased: int = 0  # jobs received from stores
    returned: int = 0  # leases given back unrun
    requeued: int = 0  # refused by one worker and offered to another
    frozen: int = 0  # times that this process stood still with jobs in hand
    suspected: int = 0  # times that a worker became suspect
    callbacks_accepted: int = 0
    callbacks_failed: int = 0
    pulled: int = 0  # jobs handed to pull workers' calls
    ends_reported: int = 0
    ends_gone: int = 0  # ends whose lease was no longer valid
    ends_dropped: int = 0  # ends that no store took in time
    lease_failures: int = 0  # lease requests without an answer

    def count(self, result: str) -> None:
        """Count a delivery by its result."""
        setattr(self, result, getattr(self, result) + 1)
