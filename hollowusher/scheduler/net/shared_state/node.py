"""Collects shared state from dispatcher events and exchanges it over the membership socket."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Mapping

from hollowusher.scheduler.component import NoDrain
from hollowusher.scheduler.dispatch.model import AttemptEnded, DispatchEvent, JobTaken
from hollowusher.scheduler.dispatch.worker_registry import WorkerRegistry
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.membership.node import PeerNode
from hollowusher.scheduler.net.shared_state.settings import SharedConfig
from hollowusher.scheduler.rules.membership.budget import Budget
from hollowusher.scheduler.rules.shared_state.judgements import node_evidence
from hollowusher.scheduler.rules.shared_state.sharer import SharedStateGossip
from hollowusher.scheduler.rules.shared_state.wire import Message, SharedStateCodec

PERMIT_NS = 80_000_000
MAX_DATAGRAMS_PER_MEMBER = 2  # datagrams to one member in one step


class SharedNode(NoDrain):
    """A component that shares traffic counts and node judgements with the other schedulers."""

    name = "shared"

    def __init__(
        self,
        config: SharedConfig,
        peers: PeerNode,
        cluster: str,
        registry: WorkerRegistry,
        seed: int,
        log: LogWriter,
    ) -> None:
        self._config, self._peers, self._registry, self._log = config, peers, registry, log
        self._codec = SharedStateCodec(cluster)
        now, me = time.monotonic_ns(), peers.member.me
        self.sharer = SharedStateGossip(
            me.name,
            sorted(peers.member.contacts),
            me.incarnation,
            round(config.window_s * 1e9),
            PERMIT_NS,
            random.Random(seed),
            now,
        )
        self._budget = Budget(float(config.most_messages), now)
        self._over_budget = 0
        self._bad: dict[str, bool] = {}
        self._timer: asyncio.TimerHandle | None = None
        peers.other = self._receive

    async def start(self) -> None:
        """Start the periodic exchange."""
        self._tick()

    async def stop(self) -> None:
        """Stop the exchange and the receipt of datagrams."""
        self._peers.other = None
        if self._timer is not None:
            self._timer.cancel()

    def tap(self, event: DispatchEvent) -> None:
        """Count an accepted job, or record the end of an attempt as evidence about its node."""
        now = time.monotonic_ns()
        match event:
            case JobTaken(job) if self._config.counts:
                self.sharer.counts.add(now, f"jobs/{job.job_class}")
                if job.tenant:
                    self.sharer.counts.add(now, f"tenant/{job.tenant}")
            case AttemptEnded(attempt) if self._config.judgements:
                node = self._registry.node(attempt.node)
                if node is not None and (good := node_evidence(event.outcome)) is not None:
                    self.sharer.judgements.record_end(now, node.name, good)
                    self._log_judgement_change(now, node.name)

    def report(self) -> Mapping[str, object]:
        """Return the counts and judgements for operators."""
        now = time.monotonic_ns()
        return {
            "name": self.sharer.name,
            "counts": self.sharer.counts.totals(now),
            "own": self.sharer.counts.own(now),
            "rows": self.sharer.judgements.report(now),
            "over-budget": self._over_budget,
            "bad": dict(self._codec.bad),
        }

    def _receive(self, data: bytes) -> None:
        datagram = self._codec.decode(data)
        if datagram is None or datagram.sender not in self._peers.member.contacts:
            return
        now = time.monotonic_ns()
        for message in datagram.messages:
            self.sharer.receive(now, message, datagram.sender)
            if hasattr(message, "node"):
                self._log_judgement_change(now, message.node)
        self._send(now)

    def _log_judgement_change(self, now: int, node: str) -> None:
        """Log a node whose judgement has changed between good and bad."""
        bad = self.sharer.judgements.bad(now, node)
        if bad != self._bad.get(node, False):
            self._bad[node] = bad
            write = self._log.warning if bad else self._log.notice
            write(
                "shared-bad" if bad else "shared-good",
                "according to the evidence of all schedulers",
                node=node,
                weight=f"{self.sharer.judgements.weight(now, node):.2f}",
            )

    def _tick(self) -> None:
        now = time.monotonic_ns()
        self.sharer.step(now, self._peers.member.present())
        for node in [n for n, bad in self._bad.items() if bad]:
            self._log_judgement_change(now, node)
        self._send(now)
        wait_s = max(0.01, (self.sharer.due() - time.monotonic_ns()) / 1e9)
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)

    def _send(self, now: int) -> None:
        sends, self.sharer.sends = self.sharer.sends, []
        by_name: dict[str, list[Message]] = {}
        for name, message in sends:
            by_name.setdefault(name, []).append(message)
        for name, messages in by_name.items():
            for datagram in self._codec.encode_datagrams(
                self.sharer.name, messages, MAX_DATAGRAMS_PER_MEMBER
            ):
                if not self._budget.try_acquire(now):
                    self._over_budget += 1
                else:
                    self._peers.send_other(name, datagram)
