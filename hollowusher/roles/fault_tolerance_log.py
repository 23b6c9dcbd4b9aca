"""Logs each change between tolerating a further loss, tolerating none, and having lost too many.

The head of the control chain alone writes these lines: it knows most, and every incident then stands once in
the logs.
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
    """Follows the losses that the controllers and the stores still tolerate, as their head reports them."""

    def __init__(self, log: LogFunction) -> None:
        self._log = log
        self._logged: dict[RedundantGroup, type[FaultToleranceChange]] = {}  # the class logged last

    def update(self, status: ControlStatus) -> None:
        """Log what a newer status changes; one that does not come from the leading head is not logged."""
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
        # A system that tolerates a loss from the start needs no line.
        before = self._logged.get(event.group, FaultToleranceRestored)
        self._logged[event.group] = type(event)
        if type(event) is not before:
            self._log(event)


def _event_class(losses_borne: int) -> type[FaultToleranceChange]:
    if losses_borne < 0:
        return FaultToleranceExceeded
    return FaultToleranceRestored if losses_borne > 0 else FaultToleranceExhausted
