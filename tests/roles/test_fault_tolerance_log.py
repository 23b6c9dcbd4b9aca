"""Tests of the log lines that are written when the number of tolerated failures crosses zero."""

from __future__ import annotations

from hollowusher.log_events import FaultToleranceChange, LogEvent
from hollowusher.protocol.codec import evolve
from hollowusher.protocol.control_status import ControlStatus, PartitionStatus, VoterStatus
from hollowusher.roles.fault_tolerance_log import FaultToleranceLog

COMPLETE = [PartitionStatus(0, 1, "s1/d1", 3, 3), PartitionStatus(1, 1, "s1/d1", 3, 3)]


def status(
    controllers: int, stores: int, partitions: list[PartitionStatus], unreachable: str = ""
) -> ControlStatus:
    """The status of a leading head with these numbers of tolerated failures and an unreachable voter."""
    voters = [VoterStatus(name, f"disk-{name}", name != unreachable, True, True) for name in "abc"]
    return ControlStatus("a", 3, 9, 2, "a", "c", True, 2, voters, [], controllers, stores, partitions)


class RecordedEvents:
    """Records the logged events; `written` lists them as (event, group, losses_borne)."""

    def __init__(self) -> None:
        self.events: list[LogEvent] = []

    @property
    def written(self) -> list[tuple[str, str, int]]:
        found: list[tuple[str, str, int]] = []
        for event in self.events:
            assert isinstance(event, FaultToleranceChange)
            found.append((event.name, event.group, event.losses_borne))
        return found


def test_a_line_is_logged_when_no_failure_is_tolerated_and_when_one_is_again() -> None:
    lines = RecordedEvents()
    log = FaultToleranceLog(lines.events.append)
    log.update(status(1, 1, COMPLETE))
    assert lines.written == []
    log.update(status(0, 1, COMPLETE, unreachable="b"))
    log.update(status(0, 1, COMPLETE, unreachable="b"))
    assert lines.written == [("fault_tolerance_exhausted", "controllers", 0)]
    assert lines.events[0].fields() == {
        "group": "controllers",
        "losses_borne": 0,
        "epoch": 3,
        "unreachable_voters": ["b"],
    }
    degraded = evolve(COMPLETE[0], living=2, learners=["s4/d4"])
    log.update(status(1, 0, [degraded, COMPLETE[1]]))
    assert lines.written[1:] == [
        ("fault_tolerance_restored", "controllers", 1),
        ("fault_tolerance_exhausted", "stores", 0),
    ]
    assert lines.events[2].fields() == {
        "group": "stores",
        "losses_borne": 0,
        "lost_partitions": [],
        "degraded_partitions": 1,
        "partitions_with_learners": 1,
    }
    log.update(status(1, -1, [evolve(COMPLETE[0], living=1, lost=True), COMPLETE[1]]))
    log.update(status(1, 1, COMPLETE))
    assert lines.written[3:] == [
        ("fault_tolerance_exceeded", "stores", -1),
        ("fault_tolerance_restored", "stores", 1),
    ]


def test_a_new_head_logs_the_current_state_and_other_controllers_log_nothing() -> None:
    lines = RecordedEvents()
    log = FaultToleranceLog(lines.events.append)
    exhausted = status(0, 1, COMPLETE, unreachable="b")
    log.update(evolve(exhausted, leads=False))
    assert lines.written == []
    log.update(exhausted)
    log.update(evolve(exhausted, leads=False))
    log.update(exhausted)
    assert lines.written == [("fault_tolerance_exhausted", "controllers", 0)] * 2
