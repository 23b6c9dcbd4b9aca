"""What differs from one deployment to the next: the list pushed, tenants, hints, readings by probe alone."""

from __future__ import annotations

import json
import re
import tempfile
import unittest
from dataclasses import replace
from functools import partial
from typing import Any
from unittest import mock

from hollowusher.balancing import Arrival, Discovery, ListKind, Prices, Probed, Reading, Refuse, Rules, Tenant
from hollowusher.balancing.interface import Goal
from hollowusher.balancing.tenant_shares import TenantShares
from hollowusher.scheduler.config import load
from hollowusher.scheduler.dispatch.dispatcher import JobDispatcher
from hollowusher.scheduler.dispatch.model import JobTaken
from hollowusher.scheduler.emulator.outside import platform_settings
from hollowusher.scheduler.fronts.common import read_load
from hollowusher.scheduler.fronts.platform.clients import read_job
from hollowusher.scheduler.fronts.platform.http import RequestReader
from hollowusher.scheduler.rules.node_list import NodeListBackoff
from hollowusher.scheduler.settings.model import ConfigError
from tests.support.balancer import MS, SAFE, Node, S, only, sends, site, workers
from tests.support.standins import CLASSES, SETTINGS, HttpNode, SocketCase, post


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
        while self.list.asked.qsize():
            self.list.asked.get_nowait()  # asked before the change, and answered with 503
        await self.within(self.list.asked.get())
        status, _, _ = await self.ask(post("c", budget="1"))
        self.assertEqual((status.split()[1], node.runs), ("503", ["a", "b"]))


class AskingAgain(unittest.TestCase):
    def test_waits_grow_to_a_part_of_the_grace_and_start_anew(self) -> None:
        for grace_ms, longest_s in ((500, 0.125), (250, 0.0625), (0, 0.01)):
            for chance, share in ((0.0, 0.5), (1.0, 1.0)):
                again = NodeListBackoff(grace_ms * MS, partial(float, chance))
                waits = [again.wait_s() for _ in range(20)]
                self.assertAlmostEqual(waits[0], 0.01 * share)
                self.assertAlmostEqual(waits[-1], longest_s * share)
                self.assertEqual(waits, sorted(waits))
                again.reset()
                self.assertAlmostEqual(again.wait_s(), 0.01 * share)


class PlatformsPeers(unittest.TestCase):
    def test_they_are_read_and_a_wrong_one_is_named(self) -> None:
        base = {
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "settings": platform_settings(
                [{"name": "a", "effect": "fragile", "goal_time_ns": S, "deadline_ns": 2 * S}]
            ),
        }
        cases: tuple[tuple[dict[str, Any], str], ...] = (
            (
                {
                    "peers": ["127.0.0.1:7", "127.0.0.1:8"],
                    "peers_all": "127.0.0.1:9",
                    "peer_listen": "127.0.0.1:7",
                },
                "",
            ),
            ({}, ""),
            ({"peers": ["127.0.0.1:7", "here"]}, "peers[1]"),
            ({"peers": "all"}, "peers"),
            ({"peer_listen": "127.0.0.1"}, "peer_listen"),
            ({"peers_all": 7}, "peers_all"),
        )
        for peers, wrong in cases:
            with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
                json.dump({**base, **peers}, file)
                file.flush()
                if wrong:
                    with self.assertRaisesRegex(ConfigError, re.escape(wrong) + ":"):
                        load({"PROXY_CONFIG": file.name})
                else:
                    reported = load({"PROXY_CONFIG": file.name})
                    self.assertEqual(len(reported.peer_addresses), len(peers.get("peers", ())))
                    self.assertEqual(reported.peer_all is not None, "peers_all" in peers)


class WhatARequestTells(unittest.TestCase):
    def test_tenant_and_hint_reach_the_module(self) -> None:
        for cost, hint_ns in (("5200000", 5_200_000_000), ("", 0), ("-1", 0), ("1e9", 0), ("9" * 30, 0)):
            reader = RequestReader()
            head, _, rest = post("j").partition(b"\r\n")
            reported = f"X-Caller: school\r\nX-Call-Cost: {cost}\r\n".encode()
            reader.feed(memoryview(head + b"\r\n" + reported + rest), 0)
            job = read_job(reader.ready.popleft(), {c.name: c for c in CLASSES}, 0, lambda answer: None)
            with mock.patch("hollowusher.scheduler.dispatch.dispatcher.Balancer") as module:
                module.return_value.step.return_value = []
                JobDispatcher(SETTINGS, 1, 0).process(0, [JobTaken(job)])
            arrival = module.return_value.step.call_args.args[1][0]
            assert isinstance(arrival, Arrival)
            self.assertEqual((arrival.tenant, arrival.hint_ns, arrival.slots), ("school", hint_ns, 1.0))

    def test_a_service_time_is_read_in_milliseconds(self) -> None:
        reported = {"x0": 3, "qps": 2.0, "eps": 0, "latency_ms": 812.5}
        self.assertEqual(
            read_load(reported, {"x0": "free_slots"}),
            Reading(free_slots=3.0, served_per_s=2.0, errors_per_s=0.0, service_ns=812_500_000),
        )
        for odd in ("812", None, True, -1, float("nan"), float("inf")):
            self.assertIsNone(read_load({"latency_ms": odd}, {}))


class ModuleElsewhere(unittest.TestCase):
    """What the module does where settings differ; each fails without its change."""

    def test_a_retry_is_as_old_as_its_clients_first_try(self) -> None:
        """Else each try of a job that is late already gets a new aim, and its work is thrown away."""
        for retry, left, answered in ((False, 5 * S, []), (True, 5 * S, []), (True, 2 * S, ["r"])):
            node = Node(only(replace(SAFE, late_share=0.0)), workers(1), free={1: 0.0})
            node.step(Arrival("first", "safe", 5 * S))
            actions = node.step(Arrival("r", "safe", left, retry=retry)) + node.run(20 * MS)
            self.assertEqual([a.request for a in actions if isinstance(a, Refuse)], answered)

    def test_workers_whose_sizes_follow_their_load_are_alike_by_kind(self) -> None:
        """Else what is known of one worker helps none, not even itself once its size has moved."""
        for reported, slots in ((True, 1.0), (False, 8.0)):
            node = Node(site(reports_sizes=reported), [*workers(1, size=6.5), *workers(2, size=3.1)])
            node.step(Probed(1, True, Reading(free_slots=8.0)))
            self.assertEqual(node.balancer.slot_count(node.balancer.workers[2]), slots)

    def test_a_job_beyond_its_tenants_share_gives_way_once_it_is_crowded(self) -> None:
        brief = replace(SAFE, aim_ns=100 * MS, late_share=0.5)
        for over, first in ((False, "a"), (True, "b")):
            node = Node(only(brief, over_share_worth=0.2), free={1: 1.0})
            node.step(Arrival("a", "safe", 5 * S, over_share=over))
            node.run(1 * MS)
            node.step(Arrival("b", "safe", 5 * S))
            node.run(60 * MS)
            node.listing(ListKind.CHANGES, *workers(1))
            node.run(200 * MS)
            self.assertEqual(sends(a for _, a in node.log)[0].request, first)

    def test_the_worst_class_is_helped_by_what_the_goal_gives_it(self) -> None:
        """By worth alone the class that is worth least is late first, though it asks for little time."""
        dear, cheap = replace(SAFE, name="dear", worth=10.0), replace(SAFE, name="cheap", worth=1.0)
        for worst, best in ((0.0, "dear"), (0.4, "cheap")):
            balancer = Node(site(classes=(dear, cheap), goal=Goal(0.6, worst))).balancer
            balancer.arrival_counts.update(dear=90, cheap=10)
            balancer.on_time_share.update(dear=0.9, cheap=0.7)
            rates = balancer.class_priorities()
            self.assertEqual(max(rates, key=lambda name: rates[name]), best)

    def test_patience_before_a_crossing_is_its_price_in_parts_of_the_complete(self) -> None:
        waits = []
        for complete in (1.0, 0.5):
            node = Node(only(SAFE, prices=Prices(cross_zone=0.1), goal=Goal(complete)))
            node.arrive("r", "safe")
            waits.append(node.balancer.own_zone_wait(node.balancer.requests["r"]))
        self.assertAlmostEqual(waits[1], 2 * waits[0])

    def test_shares_are_counted_by_allowance_or_by_part_of_all_that_comes(self) -> None:
        tenants = (Tenant("big", 0.8, 8.0), Tenant("small", 0.2, 2.0))
        settings = site(tenants=tenants, balancers=2)
        for rate, name, beyond in (
            (0.5, "small", False),
            (3.0, "small", True),
            (3.0, "big", False),
            (9.0, "nobody", False),
        ):
            shares, over = TenantShares(settings, 0), False
            for n in range(int(20 * rate)):
                now = round(n / rate * S)
                over = shares.is_over_share(name, False, now)
                self.assertFalse(shares.is_over_share(name, True, now))  # a retry belongs to its first try
            self.assertEqual(over, beyond, (rate, name))
        mixed = TenantShares(
            settings, 0
        )  # twice the allowance, as all others: its part of what comes is its share
        reported = [mixed.is_over_share("big" if n % 5 else "small", False, n * 25 * MS) for n in range(400)]
        self.assertFalse(any(reported))
