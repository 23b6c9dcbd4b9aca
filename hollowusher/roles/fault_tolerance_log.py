"""Logs each change of fault tolerance: a further failure is tolerated, none is, or too many have occurred.

Only the head of the control chain writes these lines.  It has the most recent information, and each incident
is logged only once.
"""

from __future__ import annotations

from hollowusher.log_events import (
    FaultToleranceChange,
    FaultToleranceExceeded,
    FaultToleranceExhausted,
    FaultToleranceRestored,
    LogFunction,
    RedundantGroup,
)
from hollowusher.protocol.control_status import ControlStatus


class FaultToleranceLog:
    """Tracks how many failures the controllers and the stores still tolerate, and logs changes."""

    def __init__(self, log: LogFunction) -> None:
        self._log = log
        self._logged: dict[RedundantGroup, type[FaultToleranceChange]] = {}  # the last event of each group

    def update(self, status: ControlStatus) -> None:
        """Log the changes in a newer status; ignore it unless this controller is the leading head."""
        if not status.leads:
            self._logged.clear()
            return
        self._log_change(
            _event_class(status.controller_losses_borne)(
                group=RedundantGroup.CONTROLLERS,
                losses_borne=status.controller_losses_borne,
                epoch=status.epoch,
                unreachable_voters=[voter.name for voter in status.voters if not voter.heard],
            )
        )
        if status.partitions:
            partitions = status.partitions
            self._log_change(
                _event_class(status.store_losses_borne)(
                    group=RedundantGroup.STORES,
                    losses_borne=status.store_losses_borne,
                    lost_partitions=[entry.partition for entry in partitions if entry.lost],
                    degraded_partitions=sum(entry.living < entry.replicas for entry in partitions),
                    partitions_with_learners=sum(bool(entry.learners) for entry in partitions),
                )
            )

    def _log_change(self, event: FaultToleranceChange) -> None:
        # No line is logged if the first status already tolerates a failure.
        before = self._logged.get(event.group, FaultToleranceRestored)
        self._logged[event.group] = type(event)
        if type(event) is not before:
            self._log(event)


def _event_class(losses_borne: int) -> type[FaultToleranceChange]:
    if losses_borne < 0:
        return FaultToleranceExceeded
    return FaultToleranceRestored if losses_borne > 0 else FaultToleranceExhausted
