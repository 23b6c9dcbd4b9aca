"""Tests of the stream table, stream outcomes and liveness rules, without sockets and with explicit times."""

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
    """Return a stream table with one open connection, or with none if `announced` is None."""
    new = StreamTable(limits)
    if announced is not None:
        new.request_stream(0, "first", S)
        new.opened(0, 1, announced)
        new.ended(0, 1, "first") if announced else new.cancel_wait(0, "first")
    return new


def assigned(acts: list[StreamInstruction]) -> list[tuple[object, int]]:
    return [(a.job, a.connection) for a in acts if isinstance(a, AssignStream)]


def rejected(acts: list[StreamInstruction]) -> list[tuple[object, RejectReason]]:
    return [(a.job, a.why) for a in acts if isinstance(a, RejectJob)]


class ConnectionSelection(unittest.TestCase):
    def test_a_burst_opens_one_connection_and_uses_it_in_order(self) -> None:
        node_table = stream_table(None)
        self.assertEqual(node_table.request_stream(0, "a", S), [OpenConnection(1)])
        self.assertEqual([node_table.request_stream(0, n, S) for n in "bc"], [[], []])
        self.assertEqual(assigned(node_table.opened(5, 1, 100)), [("a", 1), ("b", 1), ("c", 1)])

    def test_a_second_connection_opens_when_the_first_is_full_and_no_third(self) -> None:
        node_table = stream_table()
        for name in "abc":
            self.assertEqual(node_table.request_stream(0, name, S), [AssignStream(name, 1)])
        self.assertEqual(node_table.request_stream(0, "d", S), [OpenConnection(2)])
        self.assertEqual(assigned(node_table.opened(0, 2, 1)), [("d", 2)])
        # Both connections are full, so the job waits.
        self.assertEqual(node_table.request_stream(0, "e", S), [])
        self.assertEqual(node_table.ended(0, 1, "b"), [AssignStream("e", 1)])

    def test_the_fullest_connection_is_used_first_so_that_others_become_idle(self) -> None:
        node_table = stream_table()
        for name in "abcd":
            node_table.request_stream(0, name, S)
        node_table.opened(0, 2, 3)
        node_table.ended(0, 1, "a")
        self.assertEqual(node_table.request_stream(0, "e", S), [AssignStream("e", 1)])
        node_table.ended(0, 2, "d")
        self.assertEqual(node_table.tick(5 * S - 1), [])
        self.assertEqual(node_table.tick(5 * S), [CloseConnection(2)])

    def test_the_lower_of_both_stream_limits_applies(self) -> None:
        node_table = stream_table(announced=1)
        self.assertEqual(node_table.request_stream(0, "a", S), [AssignStream("a", 1)])
        self.assertEqual(node_table.request_stream(0, "b", S), [OpenConnection(2)])
        node_table = stream_table(announced=1000)
        self.assertEqual(sum(len(assigned(node_table.request_stream(0, n, S))) for n in "abcde"), 3)

    def test_no_new_stream_while_a_ping_is_unanswered(self) -> None:
        node_table = stream_table()
        self.assertEqual(node_table.set_unresponsive(0, 1, True), [])
        self.assertEqual(node_table.request_stream(0, "a", S), [OpenConnection(2)])
        self.assertEqual(node_table.set_unresponsive(0, 1, False), [AssignStream("a", 1)])


class StreamLimitChanges(unittest.TestCase):
    def test_limit_lowered_below_open_streams(self) -> None:
        node_table = stream_table(limits=StreamLimits(connections=1, streams=9, wait_ns=S))
        for name in "abc":
            node_table.request_stream(0, name, S)
        self.assertEqual(node_table.set_stream_limit(0, 1, 1), [])  # open streams may finish
        self.assertEqual(node_table.request_stream(0, "d", S), [])
        self.assertEqual([node_table.ended(0, 1, "a"), node_table.ended(0, 1, "b")], [[], []])
        self.assertEqual(node_table.ended(0, 1, "c"), [AssignStream("d", 1)])

    def test_limit_raised_from_zero(self) -> None:
        node_table = stream_table(announced=0, limits=StreamLimits(connections=1, wait_ns=S))
        self.assertEqual(node_table.request_stream(0, "a", S), [])
        self.assertEqual(node_table.set_stream_limit(MS, 1, 2), [AssignStream("a", 1)])


class WaitingJobs(unittest.TestCase):
    def test_wait_ends_at_the_jobs_limit_or_the_tables_limit(self) -> None:
        node_table = stream_table(announced=0)
        node_table.request_stream(0, "short", 10 * MS)
        node_table.request_stream(0, "long", 60 * S)
        self.assertEqual(node_table.next_tick_ns, 10 * MS)
        self.assertEqual(rejected(node_table.tick(10 * MS)), [("short", RejectReason.WAITED)])
        self.assertEqual(rejected(node_table.tick(S - 1)), [])
        self.assertEqual(rejected(node_table.tick(S)), [("long", RejectReason.WAITED)])

    def test_queue_length_is_bounded(self) -> None:
        node_table = stream_table(announced=0)
        for name in "abcd":
            self.assertEqual(rejected(node_table.request_stream(0, name, S)), [])
        self.assertEqual(rejected(node_table.request_stream(0, "e", S)), [("e", RejectReason.FULL)])
        self.assertEqual(rejected(node_table.request_stream(0, "probe", S, urgent=True)), [])
        # The urgent probe gets the stream ahead of jobs that have waited longer.
        self.assertEqual(assigned(node_table.set_stream_limit(0, 1, 1)), [("probe", 1)])

    def test_a_requeued_job_is_first_in_the_queue(self) -> None:
        node_table = stream_table(announced=1, limits=StreamLimits(connections=1, wait_ns=S))
        node_table.request_stream(0, "a", S)
        node_table.request_stream(0, "b", S)
        node_table.set_stream_limit(0, 1, 0)
        self.assertEqual(node_table.requeue(0, 1, "a", S), [])
        self.assertEqual(assigned(node_table.set_stream_limit(0, 1, 2)), [("a", 1), ("b", 1)])

    def test_a_drain_rejects_waiting_jobs_and_opens_no_connection(self) -> None:
        node_table = stream_table(announced=1)
        node_table.request_stream(0, "a", S)
        node_table.request_stream(0, "b", S)
        self.assertEqual(
            node_table.node_leaving(0), [RejectJob("b", RejectReason.LEAVING), CloseConnection(2)]
        )
        self.assertEqual(node_table.ended(0, 1, "a"), [CloseConnection(1)])
        # The node is ready again: a new job opens a new connection.
        self.assertEqual(node_table.request_stream(0, "c", S), [OpenConnection(3)])

    def test_jobs_are_rejected_when_the_only_connection_fails(self) -> None:
        node_table = stream_table(None)
        node_table.request_stream(0, "a", S)
        self.assertEqual(node_table.failed(0, 1), [RejectJob("a", RejectReason.UNREACHABLE)])
        node_table.request_stream(0, "b", S)
        self.assertEqual(node_table.tick(25 * MS), [OpenConnection(2)])  # only after the backoff
        self.assertEqual(
            node_table.failed(0, 2, RejectReason.NO_SOCKET), [RejectJob("b", RejectReason.NO_SOCKET)]
        )

    def test_jobs_keep_waiting_while_another_connection_is_open(self) -> None:
        node_table = stream_table(announced=1)
        node_table.request_stream(0, "a", S)
        node_table.request_stream(0, "b", S)
        self.assertEqual(rejected(node_table.failed(0, 2)), [])
        self.assertEqual(node_table.ended(0, 1, "a"), [AssignStream("b", 1)])


class ConnectionRetirement(unittest.TestCase):
    def test_open_streams_finish_and_the_next_job_opens_a_connection(self) -> None:
        node_table = stream_table()
        node_table.request_stream(0, "a", S)
        self.assertEqual(node_table.retired(0, 1), [])
        self.assertEqual(node_table.request_stream(0, "b", S), [OpenConnection(2)])
        self.assertEqual(node_table.ended(0, 1, "a"), [CloseConnection(1)])

    def test_retiring_connections_are_bounded(self) -> None:
        node_table = stream_table(None, StreamLimits(connections=1, wait_ns=60 * S))
        for number in range(1, 5):
            node_table.request_stream(0, number, 60 * S)
            node_table.opened(0, number, 1)
            node_table.retired(0, number)
        self.assertEqual(node_table.connections, 3)  # three retiring connections are the limit: job 4 waits
        self.assertEqual(node_table.ended(0, 1, 1), [CloseConnection(1), OpenConnection(4)])

    def test_a_connection_is_replaced_before_its_stream_ids_run_out(self) -> None:
        node_table = stream_table(limits=StreamLimits(max_lifetime_streams=2))
        node_table.request_stream(0, "a", S)
        self.assertEqual(node_table.ended(0, 1, "a"), [CloseConnection(1)])

    def test_a_connection_that_breaks_unused_is_replaced_after_a_backoff(self) -> None:
        node_table = stream_table(announced=0)
        node_table.request_stream(0, "a", S)
        self.assertEqual(node_table.failed(0, 2), [])
        self.assertEqual(node_table.lost(0, 1), [])
        self.assertEqual(node_table.tick(24 * MS), [])
        self.assertEqual(node_table.tick(200 * MS), [OpenConnection(3)])


class StreamOutcomes(unittest.TestCase):
    def test_outcome_table(self) -> None:
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
            # A node that has started a response has accepted the job, so the outcome must not rule out a run.
            self.assertEqual({outcome(cause, w, True) for w in (False, True)}, {answered}, cause)
            self.assertTrue(unwritten in never and answered in may)


class Liveness(unittest.TestCase):
    def test_silence_leads_to_a_ping_and_then_to_a_broken_connection(self) -> None:
        liveness_check = LivenessCheck(0, after_ns=S, wait_ns=2 * S)
        self.assertEqual(liveness_check.check(10 * S, busy=False), LivenessStep.NOTHING)  # silence while idle
        liveness_check.expect_answer(10 * S)
        self.assertEqual(liveness_check.check(11 * S - 1, busy=True), LivenessStep.NOTHING)
        self.assertEqual(liveness_check.check(11 * S, busy=True), LivenessStep.SEND_PING)
        self.assertEqual(liveness_check.check(12 * S, busy=True), LivenessStep.NOTHING)
        self.assertTrue(liveness_check.frame_received(12 * S))
        self.assertFalse(liveness_check.frame_received(12 * S))
        self.assertEqual(liveness_check.check(13 * S, busy=True), LivenessStep.SEND_PING)
        self.assertEqual(liveness_check.check(15 * S, busy=False), LivenessStep.BROKEN)

    def test_control_frame_budget_grows_with_streams_and_time(self) -> None:
        budget = FrameBudget(0, most=10)
        self.assertEqual([budget.spend(0) for _ in range(11)], [True] * 10 + [False])
        budget.stream_opened()
        self.assertTrue(budget.spend(0))
        budget = FrameBudget(0, most=10)
        self.assertTrue(all(budget.spend(n * S // 50) for n in range(1000)))  # a steady rate is allowed
