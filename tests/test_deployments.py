"""What differs from one deployment to the next: the list pushed, tenants, hints, readings by probe alone."""

from __future__ import annotations

import unittest
from dataclasses import replace
from functools import partial
from unittest import mock

from hazelweir import Arrival, Discovery, Reading, Rules
from hollowusher.core.desk import DispatchDesk
from hollowusher.core.model import JobTaken
from hollowusher.fronts.common import read_load
from hollowusher.fronts.platform.http import RequestReader
from hollowusher.fronts.platform.terminals import read_job
from hollowusher.rules.node_list import AskAgain
from tests.standins import CLASSES, SETTINGS, HttpNode, SocketCase, post
from tests.support import MS


class PushedList(SocketCase):
    settings = replace(SETTINGS, discovery=Discovery.PUSH, rules=Rules(drain_grace_ns=500 * MS))

    async def test_the_agent_is_asked_at_once_and_again_within_the_grace(self) -> None:
        """What it has counts as told, whether we ask or not: a list never asked for tells of no drain."""
        node = HttpNode()
        await self.run_program(node)
        self.assertEqual((await self.ask(post("a")))[2], b"r:a")
        self.list.status = 503  # discovery is down: nothing is told, and what is held stays good
        for writer in list(self.list.writers):
            writer.close()
        for _ in range(6):
            self.assertIn("watch=1&from=1", await self.within(self.list.asked.get()))
        self.assertEqual((await self.ask(post("b")))[2], b"r:b")
        self.list.status, self.list.rows[0]["state"] = 200, "DRAINING"  # a change that was made meanwhile
        await self.within(self.list.asked.get())
        while self.list.asked.qsize():
            self.list.asked.get_nowait()
        status, _, _ = await self.ask(post("c", budget="1"))
        self.assertEqual((status.split()[1], node.runs), ("503", ["a", "b"]))


class AskingAgain(unittest.TestCase):
    def test_waits_grow_to_a_part_of_the_grace_and_start_anew(self) -> None:
        for grace_ms, longest_s in ((500, 0.125), (250, 0.0625), (0, 0.01)):
            for chance, share in ((0.0, 0.5), (1.0, 1.0)):
                again = AskAgain(grace_ms * MS, partial(float, chance))
                waits = [again.wait_s() for _ in range(20)]
                self.assertAlmostEqual(waits[0], 0.01 * share)
                self.assertAlmostEqual(waits[-1], longest_s * share)
                self.assertEqual(waits, sorted(waits))
                again.good()
                self.assertAlmostEqual(again.wait_s(), 0.01 * share)


class WhatARequestTells(unittest.TestCase):
    def test_tenant_and_hint_reach_the_module(self) -> None:
        for cost, hint_ns in (("5200000", 5_200_000_000), ("", 0), ("-1", 0), ("1e9", 0), ("9" * 30, 0)):
            reader = RequestReader()
            head, _, rest = post("j").partition(b"\r\n")
            told = f"X-Caller: school\r\nX-Call-Cost: {cost}\r\n".encode()
            reader.feed(memoryview(head + b"\r\n" + told + rest), 0)
            job = read_job(reader.ready.popleft(), {c.name: c for c in CLASSES}, 0, lambda answer: None)
            with mock.patch("hollowusher.core.desk.Balancer") as module:
                module.return_value.step.return_value = []
                DispatchDesk(SETTINGS, 1, 0).work(0, [JobTaken(job)])
            arrival = module.return_value.step.call_args.args[1][0]
            assert isinstance(arrival, Arrival)
            self.assertEqual((arrival.tenant, arrival.hint_ns, arrival.slots), ("school", hint_ns, 1.0))

    def test_a_service_time_is_read_in_milliseconds(self) -> None:
        told = {"x0": 3, "qps": 2.0, "eps": 0, "latency_ms": 812.5}
        self.assertEqual(read_load(told, {"x0": "free_slots"}), Reading(
            free_slots=3.0, served_per_s=2.0, errors_per_s=0.0, service_ns=812_500_000))
        for odd in ("812", None, True, -1, float("nan"), float("inf")):
            self.assertIsNone(read_load({"latency_ms": odd}, {}))
