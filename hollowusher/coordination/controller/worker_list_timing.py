"""When the head calls the platform for the worker list.  The module performs no I/O and reads no clock.

Once the platform shows a worker as draining, messages may reach the worker for `drainMs` at most.  A call
that the platform does not answer, the pause after it and the next read have to fit into that time, also right
after an outage of the platform, with a margin for the distribution of the list.
"""

from __future__ import annotations

import attrs

from hollowusher.configuration.boot import BootSettings

MAX_READ_INTERVAL_S = 1.0  # so that new workers get messages soon, however long `drainMs` is
MAX_CALL_TIMEOUT_S = 1.0
MAX_BACKOFF_S = 2.0
READ_INTERVAL_SHARE = 1 / 3  # of `drainMs`, from the start of a read to the start of the next one
CALL_TIMEOUT_SHARE = 1 / 4
BACKOFF_SHARE = 1 / 4


@attrs.frozen
class WorkerListTiming:
    """The rate that the platform accepts from all schedulers, and the times of the calls in seconds."""

    rate_per_s: float
    read_interval_s: float = MAX_READ_INTERVAL_S
    call_timeout_s: float = MAX_CALL_TIMEOUT_S
    max_backoff_s: float = MAX_BACKOFF_S

    @classmethod
    def from_settings(cls, settings: BootSettings) -> WorkerListTiming:
        """Return the times for the platform's rate and the `drainMs` of a settings file."""
        drain_s = settings.bounds.drain_ms / 1000
        return cls(
            settings.cloud_api.rate_per_s,
            min(MAX_READ_INTERVAL_S, READ_INTERVAL_SHARE * drain_s),
            min(MAX_CALL_TIMEOUT_S, CALL_TIMEOUT_SHARE * drain_s),
            min(MAX_BACKOFF_S, BACKOFF_SHARE * drain_s),
        )
