"""Membership nodes on UDP sockets on loopback: failure, departure, restart, bad datagrams, rate limit."""

from __future__ import annotations

import asyncio
import random
import socket
import unittest
from collections.abc import Callable

from hollowusher.scheduler.net.membership.node import PeerNode
from hollowusher.scheduler.rules.membership.events import Change, MembershipEvent
from hollowusher.scheduler.rules.membership.messages import MemberUpdate, Message, MessageKind
from tests.support.standins import free_port

PATIENCE_S = 15.0


class Sockets(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.peers = {f"n{i}": ("127.0.0.1", free_port()) for i in range(5)}
        self.changed = asyncio.Event()
        self.history: list[tuple[str, MembershipEvent]] = []
        self.nodes = {name: self.node(name, seed) for seed, name in enumerate(self.peers)}
        for node in self.nodes.values():
            await node.start()
            self.addAsyncCleanup(node.stop)
        await self.until(lambda: all(len(n.member.present()) == 5 for n in self.nodes.values()))

    def node(self, name: str, seed: int) -> PeerNode:
        def reported(what: MembershipEvent) -> None:
            self.history.append((name, what))
            self.changed.set()

        return PeerNode(name, self.peers[name], self.peers, "depot", seed, reported)

    async def until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while not holds():
                self.changed.clear()
                await self.changed.wait()

    def knowing(self, change: Change, name: str) -> set[str]:
        return {who for who, reported in self.history if reported.change is change and reported.name == name}

    async def test_a_death_a_leave_and_a_restart_are_known_to_all(self) -> None:
        self.assertFalse(any(n.report()["minority"] for n in self.nodes.values()))
        dead = self.nodes.pop("n4")
        assert dead._transport is not None
        dead._transport.abort()  # like a crashed process, which sends no departure message
        dead._transport = None
        await self.until(lambda: self.knowing(Change.DIED, "n4") == set(self.nodes))
        self.nodes["n4"] = self.node("n4", 77)
        await self.nodes["n4"].start()
        self.addAsyncCleanup(self.nodes["n4"].stop)
        await self.until(lambda: all(len(n.member.present()) == 5 for n in self.nodes.values()))
        await self.nodes.pop("n3").stop()
        await self.until(lambda: self.knowing(Change.LEFT, "n3") >= set(self.nodes))
        self.assertEqual(self.knowing(Change.DIED, "n3"), set())

    async def test_bad_datagrams_cost_their_count_and_no_address_of_anyone_is_believed(self) -> None:
        one, chance = self.nodes["n0"], random.Random(1)
        odd = one.codec.encode(
            Message(MessageKind.PING, MemberUpdate("odd", 1, 1, address="no.such.host:99999"))
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(odd, self.peers["n0"])
            await self.until(lambda: "odd" in one.member.records)
            for _ in range(2_000):
                sender.sendto(chance.randbytes(chance.randint(0, 300)), self.peers["n0"])
            await self.until(lambda: bool(self.knowing(Change.DIED, "odd")))
        self.assertGreater(sum(one.codec.bad.values()), 100)
        self.assertEqual([t for _, t in self.history if t.change is Change.DIED and t.name != "odd"], [])

    async def test_what_is_beyond_the_budget_is_dropped_and_counted(self) -> None:
        one = self.nodes["n0"]
        one.budget.per_s, one.budget.tokens = 0.0, 0.0
        await self.until(lambda: bool(self.knowing(Change.SUSPECTED, "n0")))
        self.assertGreater(one.counts["over-budget"], 0)
