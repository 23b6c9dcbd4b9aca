"""Tests of the dispatcher, its owner task, the STOMP job table and the configuration, without sockets."""

from __future__ import annotations

import asyncio
import json
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest import mock

from hollowusher.balancing import Effect, Limits, Listed, ListKind, Outcome
from hollowusher.scheduler.config import flatten, load
from hollowusher.scheduler.dispatch.dispatcher import JobDispatcher
from hollowusher.scheduler.dispatch.model import (
    AttemptEnded,
    AttemptStarted,
    CancelAttempt,
    ClientJob,
    ClientLeft,
    Dispatch,
    DispatchCommand,
    DispatchEvent,
    JobAnswerBody,
    JobTaken,
    NodeListReceived,
    OperatorNotice,
    ReplyToClient,
    TimerExpired,
    Verdict,
    WakeDispatcher,
    WatchNodeList,
)
from hollowusher.scheduler.emulator.outside import platform_settings
from hollowusher.scheduler.fronts.stomp.job_table import JobTable, ResendState, fingerprint
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.owner import DispatcherOwner
from hollowusher.scheduler.settings.model import ConfigError
from tests.support.balancer import MS, S
from tests.support.standins import SETTINGS


class DispatcherCases(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 10 * S
        self.dispatcher = JobDispatcher(SETTINGS, 1, self.now)
        self.orders: list[DispatchCommand] = []
        self.step(NodeListReceived(ListKind.FULL, (Listed(1), Listed(2))))

    def step(self, *events: DispatchEvent) -> list[DispatchCommand]:
        orders = self.dispatcher.process(self.now, events)
        self.orders += orders
        return orders

    def take(self, job_class: str = "eta-quote", left: int = 3 * S) -> tuple[ClientJob, Dispatch]:
        job = ClientJob("same", job_class, "/x", b"", self.now, left, lambda a: None)
        self.step(JobTaken(job))
        return job, self.wait(Dispatch)

    def wait(self, kind: type[Any]) -> Any:
        for _ in range(5000):
            for order in self.orders:
                if isinstance(order, kind):
                    self.orders.remove(order)
                    return order
            self.now += 2 * MS
            self.step(TimerExpired())
        raise AssertionError(f"no {kind.__name__}")

    def replies(self) -> list[Verdict]:
        return [o.answer.verdict for o in self.orders if isinstance(o, ReplyToClient)]

    def test_two_endings_in_one_batch_give_one_answer(self) -> None:
        _, sent = self.take()
        self.step(AttemptEnded(sent.attempt, Outcome.OK, None, b"r"), AttemptEnded(sent.attempt, Outcome.OK))
        self.step(AttemptEnded(sent.attempt, Outcome.RESET), AttemptStarted(sent.attempt))
        self.assertEqual(self.replies(), [Verdict.SERVED])
        self.assertEqual(self.dispatcher.open_jobs, 0)

    def test_jobs_with_one_id_are_two_jobs(self) -> None:
        first, sent = self.take()
        second, again = self.take()
        self.step(AttemptEnded(again.attempt, Outcome.OK), AttemptEnded(sent.attempt, Outcome.OK))
        self.assertEqual([o.job for o in self.orders if isinstance(o, ReplyToClient)], [second, first])

    def test_client_departure_cancels_attempts_and_sends_no_answer(self) -> None:
        job, sent = self.take()
        self.assertIn(CancelAttempt(sent.attempt), self.step(ClientLeft(job), ClientLeft(job)))
        self.step(AttemptEnded(sent.attempt, Outcome.OK))
        self.assertEqual(self.replies(), [])

    def test_success_and_client_departure_in_one_batch_close_the_job_once(self) -> None:
        job, sent = self.take()
        self.step(AttemptEnded(sent.attempt, Outcome.OK), ClientLeft(job))
        self.assertEqual(self.replies(), [Verdict.SERVED])

    def test_unsafe_job_that_may_have_run_fails_before_its_deadline(self) -> None:
        job, sent = self.take("settle-shift", left=400 * MS)
        reply = self.wait(ReplyToClient)
        self.assertEqual(reply.answer, JobAnswerBody(Verdict.FAILED))
        self.assertLess(self.now, job.deadline_ns)
        self.assertIn(CancelAttempt(sent.attempt), self.orders)

    def test_requests_the_node_list_and_a_timer(self) -> None:
        self.step(JobTaken(ClientJob("j", "eta-quote", "/x", b"", self.now, 3 * S, lambda a: None)))
        self.assertTrue(any(isinstance(o, WakeDispatcher) for o in self.orders))
        dispatcher = JobDispatcher(SETTINGS, 1, 0)
        self.assertIn(WatchNodeList(), dispatcher.process(0, [NodeListReceived(ListKind.CACHED)]))


class RetryDelayAdvice(unittest.TestCase):
    def test_refusals_suggest_a_bounded_retry_delay_if_allowed(self) -> None:
        # Without a suggested delay a refused client retries at once and adds to the overload.
        for allowed, wait in ((True, S), (False, 0)):
            limits = Limits(True, True, True, allowed, 2 * S, 3)
            dispatcher = JobDispatcher(replace(SETTINGS, limits=limits), 1, 0)
            job = ClientJob("j", "settle-shift", "/x", b"", 0, S, lambda a: None)
            dispatcher.process(0, [NodeListReceived(ListKind.CACHED), JobTaken(job)])
            (reply,) = [o for o in dispatcher.process(S, [TimerExpired()]) if isinstance(o, ReplyToClient)]
            self.assertEqual(reply.answer, JobAnswerBody(Verdict.REFUSED, wait_ns=wait))


class DispatcherOwnerCases(unittest.IsolatedAsyncioTestCase):
    async def test_faults_do_not_end_the_one_task_that_owns_the_dispatcher(self) -> None:
        dispatcher, done = mock.Mock(), asyncio.Event()
        dispatcher.process.side_effect = [
            ValueError("a bad step"),
            [OperatorNotice("bad"), OperatorNotice("good")],
        ]

        def carry_out(order: DispatchCommand) -> None:
            if order == OperatorNotice("bad"):
                raise ValueError("a bad order")
            done.set()

        owner = DispatcherOwner(dispatcher, carry_out, LogWriter("test", per_s=0, burst=0))
        task = asyncio.create_task(owner.run())
        owner.post(TimerExpired())
        owner.post(TimerExpired())  # both events are processed in one batch
        await asyncio.sleep(0)
        owner.post(TimerExpired())
        await asyncio.wait_for(done.wait(), 5)
        self.assertEqual([len(call.args[1]) for call in dispatcher.process.call_args_list], [2, 1])
        task.cancel()


class JobTableCases(unittest.TestCase):
    def setUp(self) -> None:
        self.jobs = JobTable(3, 1 << 20, 100, 10)

    def find(
        self, name: str, effect: Effect = Effect.UNSAFE, resend: bool = False, now: int = 0, body: bytes = b""
    ) -> ResendState:
        found, self.entry = self.jobs.find(
            ("d", name), fingerprint("c", "/", "", body), effect, len(body), resend, now
        )
        return found

    def end(self, verdict: Verdict = Verdict.SERVED, now: int = 0, result: bytes = b"") -> None:
        assert self.entry is not None
        self.jobs.answered(self.entry, JobAnswerBody(verdict, result), now)

    def test_resend_states(self) -> None:
        self.assertEqual(self.find("a"), ResendState.NEW)
        self.assertEqual(self.find("a"), ResendState.JOINED)
        self.assertEqual(self.find("a", body=b"other"), ResendState.CONFLICT)
        self.end()
        self.assertEqual(self.find("a"), ResendState.KEPT)
        self.assertEqual(self.find("b", resend=True), ResendState.UNKNOWN)
        self.assertEqual(self.find("c", Effect.KEYED, resend=True), ResendState.NEW)

    def test_refused_job_runs_for_a_new_request_but_not_for_a_resend(self) -> None:
        self.find("a")
        self.end(Verdict.REFUSED)
        self.assertEqual(self.find("a", resend=True), ResendState.KEPT)
        self.assertEqual(self.find("a"), ResendState.NEW)

    def test_full_job_table_evicts_safe_entries_only_and_entries_expire(self) -> None:
        for name, effect in (("s", Effect.SAFE), ("k", Effect.KEYED), ("u", Effect.UNSAFE)):
            self.find(name, effect)
            self.end()
        self.assertEqual(self.find("new"), ResendState.NEW)  # evicts the safe job s
        self.assertEqual(self.find("s", Effect.SAFE), ResendState.FULL)
        self.assertEqual(self.find("u", now=9), ResendState.KEPT)
        self.assertEqual(self.find("s", Effect.SAFE, now=10), ResendState.NEW)  # k has expired
        self.assertEqual(self.find("u", now=99), ResendState.KEPT)
        self.assertEqual(self.find("u", now=100), ResendState.NEW)

    def test_bytes_are_bounded_and_released(self) -> None:
        self.find("a")
        self.end(result=b"x" * (1 << 20))
        self.assertEqual(self.find("b"), ResendState.FULL)
        self.assertEqual(self.find("b", now=100), ResendState.NEW)
        large = b"x" * (1 << 20)
        self.assertEqual(self.find("c", now=100, body=large), ResendState.NEW)
        self.assertEqual(self.find("d", now=100), ResendState.FULL)  # bodies of jobs in progress count too
        for name, body in (("b", b""), ("c", large)):
            self.assertEqual(self.find(name, now=100, body=body), ResendState.JOINED)
            assert self.entry is not None
            self.jobs.remove(self.entry)
        self.end()  # the answer arrives after its entry was removed
        self.assertEqual((len(self.jobs), self.jobs.bytes), (0, 0))


GRADE = {"name": "q", "effect": "fragile", "goal_time_ns": 10, "deadline_ns": 20}
KEYED = {**GRADE, "effect": "dedup", "key_scope": "cell", "memory_span_ns": 9}
GOOD: dict[str, Any] = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "ff",
    "limits": {"sockets": 2048},
    "settings": platform_settings([GRADE], kinds=["a", "b"]),
}


class Configuration(unittest.TestCase):
    def load(self, **environ: str) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "c.json"
            path.write_text(json.dumps(self.table))
            return load({"PROXY_CONFIG": str(path), **environ}, Path(folder) / "hollowusher.conf")

    def test_values_and_defaults(self) -> None:
        self.table = GOOD
        config = self.load(PROXY_NAME="n7", PROXY_LISTEN="127.0.0.1:9")
        self.assertEqual((config.name, config.listen, config.seed), ("n7", ("127.0.0.1", 9), 255))
        self.assertEqual(
            (config.sockets, config.connect_timeout_s, config.stomp.enabled), (1024, 0.25, False)
        )
        self.assertEqual((config.settings.classes[0].aim_ns, config.settings.kinds), (10, ("a", "b")))
        self.assertEqual(flatten({"a": {"b": [True, None]}, "c": "x, y"}), {"a.b": "true,", "c": "x__y"})

    def test_errors_name_the_invalid_key(self) -> None:
        cases: tuple[tuple[dict[str, Any], str], ...] = (
            ({"listen": "here"}, "PROXY_LISTEN"),
            ({"discovery": "127.0.0.1:0"}, "PROXY_DISCOVERY"),
            ({"seed": "xyz"}, "seed"),
            ({"limits": {"sockets": "many"}}, "limits.sockets"),
            ({"limits": {"sockets": 3}}, "limits.sockets"),
            ({"known": []}, "known"),
            ({"settings": 1}, "settings"),
            ({"settings": {}}, "settings.discovery"),
        )
        for change, key in cases:
            self.table = {**GOOD, **change}
            with self.assertRaises(ConfigError, msg=change) as caught:
                self.load()
            self.assertRegex(str(caught.exception), f"^{key}:", change)
        self.table = GOOD
        for name, value in (("HOLLOWUSHER_SYSLOG", "10.0.0.1:514"), ("HOLLOWUSHER_SYSLOG", "x")):
            with self.assertRaisesRegex(ConfigError, f"^{name}:"):
                self.load(**{name: value})
        with self.assertRaisesRegex(ConfigError, "^PROXY_CONFIG:"):
            load({})

    def test_errors_name_invalid_settings_and_unknown_keys_are_ignored(self) -> None:
        caps, contract = platform_settings([])["caps"], platform_settings([])["contract"]
        cases: list[tuple[dict[str, Any], str]] = [
            ({"grades": []}, "grades"),
            ({"grades": {}}, "grades"),
            ({"grades": [1]}, "grades.0"),
            ({"discovery": "now and then"}, "discovery"),
            ({"fleet_size": 0}, "fleet_size"),
            ({"fleet_size": 2, "me": 2}, "me"),
            ({"me": True}, "me"),
            ({"granularity_ns": 0}, "granularity_ns"),
            ({"customers": 3}, "customers"),
            ({"customers": [{"name": "a", "share": 0}]}, "customers.0.share"),
            ({"customers": [{"share": 1.0}]}, "customers.0.name"),
            ({"grades": [GRADE, {**GRADE, "share": 0}]}, "grades.1.share"),
            ({"grades": [GRADE, GRADE]}, "grades.1.name"),
            ({"grades": [{**KEYED, "memory_span_ns": 0}]}, "grades.0.memory_span_ns"),
            ({"grades": [{**KEYED, "key_scope": "street"}]}, "grades.0.key_scope"),
        ]
        cases += [
            ({"grades": [{**GRADE, key: value}]}, f"grades.0.{key}")
            for key, value in (
                ("effect", "now and then"),
                ("effect", None),
                ("name", ""),
                ("goal_time_ns", "x"),
                ("goal_time_ns", 0),
                ("deadline_ns", 1.5),
                ("deadline_ns", 10**18),
                ("late_share", 2),
                ("value", -1),
            )
        ]
        cases += [
            ({"caps": {**caps, key: value}}, f"caps.{key}")
            for key, value in (
                ("idle_close_ns", 0),
                ("max_attempts", 0),
                ("connect_timeout_ns", None),
                ("max_retry_after_ns", -1),
            )
        ]
        cases += [
            ({"contract": {**contract, key: value}}, f"contract.{key}")
            for key, value in (
                ("cold_share", 0),
                ("cold_share", 1.1),
                ("fall_multiple", 0),
                ("tip_after_ns", None),
                ("drain_grace_ns", -1),
                ("must_ask_in_ns", 0),
                ("warm_after_ns", "24s"),
            )
        ]
        for key in ("caps", "contract", "me", "fleet_size"):
            cases.append(({key: None}, key))
        for change, key in cases:
            self.table = {**GOOD, "settings": {**GOOD["settings"], **change}}
            with self.assertRaises(ConfigError, msg=change) as caught:
                self.load()
            self.assertRegex(str(caught.exception), rf"^settings\.{key}", change)
            self.assertNotIn("\n", str(caught.exception))
        more = {**GRADE, "colour": "red", "share": 0.5}
        for change in (
            {"grades": [more], "weather": {"rain": [1]}},
            {"grades": [KEYED]},
            {"discovery": "push", "contract": {**contract, "must_ask_in_ns": None}},
        ):
            self.table = {**GOOD, "settings": {**GOOD["settings"], **change}, "extra": 1}
            self.assertEqual(self.load().settings.classes[0].name, "q")
