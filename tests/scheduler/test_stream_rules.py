"""The decisions about streams, one by one: no socket, no clock."""

from __future__ import annotations

import unittest

from hollowusher.balancing.interface import Outcome
from hollowusher.scheduler.rules.liveness import FrameBudget, LivenessCheck, LivenessStep
from hollowusher.scheduler.rules.stream_ends import Cause, outcome
from hollowusher.scheduler.rules.streams import (
    AssignStream,
    CloseConnection,
    OpenConnection,
    RejectJob,
    RejectReason,
    StreamInstruction,
    StreamLimits,
    StreamTable,
)
from tests.support.balancer import MS, S

LIMITS = StreamLimits(connections=2, streams=3, waiting=4, wait_ns=S, idle_ns=5 * S, max_lifetime_streams=100)


def stream_table(announced: int | None = 3, limits: StreamLimits = LIMITS) -> StreamTable:
    """A book with one connection that is up, or with none."""
    new = StreamTable(limits)
    if announced is not None:
        new.request_stream(0, "first", S)
        new.opened(0, 1, announced)
        new.ended(0, 1, "first") if announced else new.cancel_wait(0, "first")
    return new


def given(acts: list[StreamInstruction]) -> list[tuple[object, int]]:
    return [(a.job, a.connection) for a in acts if isinstance(a, AssignStream)]


def back(acts: list[StreamInstruction]) -> list[tuple[object, RejectReason]]:
    return [(a.job, a.why) for a in acts if isinstance(a, RejectJob)]


class WhichConnection(unittest.TestCase):
    def test_one_comes_up_for_a_burst_and_the_burst_goes_on_it_in_order(self) -> None:
        b = stream_table(None)
        self.assertEqual(b.request_stream(0, "a", S), [OpenConnection(1)])
        self.assertEqual([b.request_stream(0, n, S) for n in "bc"], [[], []])
        self.assertEqual(given(b.opened(5, 1, 100)), [("a", 1), ("b", 1), ("c", 1)])

    def test_a_second_is_opened_only_when_the_first_is_full_and_no_third(self) -> None:
        b = stream_table()
        for name in "abc":
            self.assertEqual(b.request_stream(0, name, S), [AssignStream(name, 1)])
        self.assertEqual(b.request_stream(0, "d", S), [OpenConnection(2)])
        self.assertEqual(given(b.opened(0, 2, 1)), [("d", 2)])
        self.assertEqual(b.request_stream(0, "e", S), [])  # both are full: it waits
        self.assertEqual(b.ended(0, 1, "b"), [AssignStream("e", 1)])

    def test_the_fuller_one_is_filled_so_that_the_other_can_rest(self) -> None:
        b = stream_table()
        for name in "abcd":
            b.request_stream(0, name, S)
        b.opened(0, 2, 3)
        b.ended(0, 1, "a")
        self.assertEqual(b.request_stream(0, "e", S), [AssignStream("e", 1)])
        b.ended(0, 2, "d")
        self.assertEqual(b.tick(5 * S - 1), [])
        self.assertEqual(b.tick(5 * S), [CloseConnection(2)])

    def test_our_own_limit_and_the_nodes_count_both(self) -> None:
        b = stream_table(announced=1)
        self.assertEqual(b.request_stream(0, "a", S), [AssignStream("a", 1)])
        self.assertEqual(b.request_stream(0, "b", S), [OpenConnection(2)])
        b = stream_table(announced=1000)
        self.assertEqual(sum(len(given(b.request_stream(0, n, S))) for n in "abcde"), 3)

    def test_nothing_new_goes_on_one_that_owes_a_liveness_answer(self) -> None:
        b = stream_table()
        self.assertEqual(b.set_unresponsive(0, 1, True), [])
        self.assertEqual(b.request_stream(0, "a", S), [OpenConnection(2)])
        self.assertEqual(b.set_unresponsive(0, 1, False), [AssignStream("a", 1)])


class LimitsThatChange(unittest.TestCase):
    def test_lowered_below_what_is_open(self) -> None:
        b = stream_table(limits=StreamLimits(connections=1, streams=9, wait_ns=S))
        for name in "abc":
            b.request_stream(0, name, S)
        self.assertEqual(b.set_stream_limit(0, 1, 1), [])  # what is open ends in peace
        self.assertEqual(b.request_stream(0, "d", S), [])
        self.assertEqual([b.ended(0, 1, "a"), b.ended(0, 1, "b")], [[], []])
        self.assertEqual(b.ended(0, 1, "c"), [AssignStream("d", 1)])

    def test_zero_then_raised(self) -> None:
        b = stream_table(announced=0, limits=StreamLimits(connections=1, wait_ns=S))
        self.assertEqual(b.request_stream(0, "a", S), [])
        self.assertEqual(b.set_stream_limit(MS, 1, 2), [AssignStream("a", 1)])


class Waiting(unittest.TestCase):
    def test_it_ends_at_the_jobs_own_time_or_ours_whichever_is_first(self) -> None:
        b = stream_table(announced=0)
        b.request_stream(0, "short", 10 * MS)
        b.request_stream(0, "long", 60 * S)
        self.assertEqual(b.next_tick_ns, 10 * MS)
        self.assertEqual(back(b.tick(10 * MS)), [("short", RejectReason.WAITED)])
        self.assertEqual(back(b.tick(S - 1)), [])
        self.assertEqual(back(b.tick(S)), [("long", RejectReason.WAITED)])

    def test_it_is_bounded_in_number(self) -> None:
        b = stream_table(announced=0)
        for name in "abcd":
            self.assertEqual(back(b.request_stream(0, name, S)), [])
        self.assertEqual(back(b.request_stream(0, "e", S)), [("e", RejectReason.FULL)])
        self.assertEqual(back(b.request_stream(0, "probe", S, urgent=True)), [])
        self.assertEqual(given(b.set_stream_limit(0, 1, 1)), [("probe", 1)])  # before those that wait longer

    def test_a_job_that_lost_its_turn_is_first_in_line(self) -> None:
        b = stream_table(announced=1, limits=StreamLimits(connections=1, wait_ns=S))
        b.request_stream(0, "a", S)
        b.request_stream(0, "b", S)
        b.set_stream_limit(0, 1, 0)
        self.assertEqual(b.requeue(0, 1, "a", S), [])
        self.assertEqual(given(b.set_stream_limit(0, 1, 2)), [("a", 1), ("b", 1)])

    def test_a_drain_ends_it_at_once_and_opens_nothing(self) -> None:
        b = stream_table(announced=1)
        b.request_stream(0, "a", S)
        b.request_stream(0, "b", S)
        self.assertEqual(b.node_leaving(0), [RejectJob("b", RejectReason.LEAVING), CloseConnection(2)])
        self.assertEqual(b.ended(0, 1, "a"), [CloseConnection(1)])
        self.assertEqual(b.request_stream(0, "c", S), [OpenConnection(3)])  # the node is back

    def test_it_ends_when_the_only_way_does_not_come_up(self) -> None:
        b = stream_table(None)
        b.request_stream(0, "a", S)
        self.assertEqual(b.failed(0, 1), [RejectJob("a", RejectReason.UNREACHABLE)])
        b.request_stream(0, "b", S)
        self.assertEqual(b.tick(25 * MS), [OpenConnection(2)])  # not in a circle
        self.assertEqual(b.failed(0, 2, RejectReason.NO_SOCKET), [RejectJob("b", RejectReason.NO_SOCKET)])

    def test_it_goes_on_when_another_connection_stands(self) -> None:
        b = stream_table(announced=1)
        b.request_stream(0, "a", S)
        b.request_stream(0, "b", S)
        self.assertEqual(back(b.failed(0, 2)), [])
        self.assertEqual(b.ended(0, 1, "a"), [AssignStream("b", 1)])


class Retiring(unittest.TestCase):
    def test_what_is_open_ends_there_and_the_next_opens_another(self) -> None:
        b = stream_table()
        b.request_stream(0, "a", S)
        self.assertEqual(b.retired(0, 1), [])
        self.assertEqual(b.request_stream(0, "b", S), [OpenConnection(2)])
        self.assertEqual(b.ended(0, 1, "a"), [CloseConnection(1)])

    def test_retiring_ones_are_bounded(self) -> None:
        b = stream_table(None, StreamLimits(connections=1, wait_ns=60 * S))
        for number in range(1, 5):
            b.request_stream(0, number, 60 * S)
            b.opened(0, number, 1)
            b.retired(0, number)
        self.assertEqual(b.connections, 3)  # the fourth job waits: three with a job each are on their way out
        self.assertEqual(b.ended(0, 1, 1), [CloseConnection(1), OpenConnection(4)])

    def test_one_is_replaced_before_its_ids_run_out(self) -> None:
        b = stream_table(limits=StreamLimits(max_lifetime_streams=2))
        b.request_stream(0, "a", S)
        self.assertEqual(b.ended(0, 1, "a"), [CloseConnection(1)])

    def test_one_that_breaks_without_work_is_not_replaced_at_once(self) -> None:
        b = stream_table(announced=0)
        b.request_stream(0, "a", S)
        self.assertEqual(b.failed(0, 2), [])
        self.assertEqual(b.lost(0, 1), [])
        self.assertEqual(b.tick(24 * MS), [])
        self.assertEqual(b.tick(200 * MS), [OpenConnection(3)])


class Ends(unittest.TestCase):
    def test_table(self) -> None:
        never, may = (
            (Outcome.NOT_SENT, Outcome.FULL, Outcome.UNREACHABLE),
            (Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED),
        )
        table = {
            # cause: (not written, written, answered)
            Cause.REFUSED: (Outcome.FULL, Outcome.FULL, Outcome.RESET),
            Cause.ABOVE_LAST: (Outcome.NOT_SENT, Outcome.NOT_SENT, Outcome.RESET),
            Cause.RESET: (Outcome.UNREACHABLE, Outcome.RESET, Outcome.RESET),
            Cause.LOST: (Outcome.UNREACHABLE, Outcome.RESET, Outcome.RESET),
            Cause.BODY_BLOCKED: (Outcome.UNREACHABLE, Outcome.RESET, Outcome.RESET),
            Cause.WITHDRAWN: (Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.CANCELLED),
            Cause.TIMED_OUT: (Outcome.UNREACHABLE, Outcome.TIMEOUT, Outcome.TIMEOUT),
        }
        self.assertEqual(set(table), set(Cause))
        for cause, (unwritten, written, answered) in table.items():
            self.assertEqual(outcome(cause, False, False), unwritten, cause)
            self.assertEqual(outcome(cause, True, False), written, cause)
            # A node that has begun to answer has taken the job, whatever it says afterwards.
            self.assertEqual({outcome(cause, w, True) for w in (False, True)}, {answered}, cause)
            self.assertTrue(unwritten in never and answered in may)


class Liveness(unittest.TestCase):
    def test_no_answer_is_asked_about_and_then_ends(self) -> None:
        pulse = LivenessCheck(0, after_ns=S, wait_ns=2 * S)
        self.assertEqual(pulse.check(10 * S, busy=False), LivenessStep.NOTHING)  # idle: it may be silent
        pulse.expect_answer(10 * S)
        self.assertEqual(pulse.check(11 * S - 1, busy=True), LivenessStep.NOTHING)
        self.assertEqual(pulse.check(11 * S, busy=True), LivenessStep.SEND_PING)
        self.assertEqual(pulse.check(12 * S, busy=True), LivenessStep.NOTHING)
        self.assertTrue(pulse.frame_received(12 * S))
        self.assertFalse(pulse.frame_received(12 * S))
        self.assertEqual(pulse.check(13 * S, busy=True), LivenessStep.SEND_PING)
        self.assertEqual(pulse.check(15 * S, busy=False), LivenessStep.BROKEN)

    def test_frames_without_work_are_paid_for_by_work_and_time(self) -> None:
        budget = FrameBudget(0, most=10)
        self.assertEqual([budget.spend(0) for _ in range(11)], [True] * 10 + [False])
        budget.stream_opened()
        self.assertTrue(budget.spend(0))
        budget = FrameBudget(0, most=10)
        self.assertTrue(all(budget.spend(n * S // 50) for n in range(1000)))  # a trickle may go on
