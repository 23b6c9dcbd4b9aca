"""The part that shares: taps what the desk is told, and sends letters by the members' socket."""

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
MOST_LETTERS = 2  # to one member at a time


class SharedNode(NoDrain):
    """Counts and judgements of this scheduler and of all others."""

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
        self._over = 0
        self._bad: dict[str, bool] = {}
        self._timer: asyncio.TimerHandle | None = None
        peers.other = self._heard

    async def start(self) -> None:
        """Begin to tell."""
        self._tick()

    async def stop(self) -> None:
        """End."""
        self._peers.other = None
        if self._timer is not None:
            self._timer.cancel()

    def tap(self, event: DispatchEvent) -> None:
        """What the desk is told: counted, and weighed."""
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
                    self._changed(now, node.name)

    def report(self) -> Mapping[str, object]:
        """What people on call ask for."""
        now = time.monotonic_ns()
        return {
            "name": self.sharer.name,
            "counts": self.sharer.counts.totals(now),
            "own": self.sharer.counts.own(now),
            "rows": self.sharer.judgements.report(now),
            "over-budget": self._over,
            "bad": dict(self._codec.bad),
        }

    def _heard(self, data: bytes) -> None:
        letter = self._codec.decode(data)
        if letter is None or letter.sender not in self._peers.member.contacts:
            return
        now = time.monotonic_ns()
        for message in letter.messages:
            self.sharer.receive(now, message, letter.sender)
            if hasattr(message, "node"):
                self._changed(now, message.node)
        self._send(now)

    def _changed(self, now: int, node: str) -> None:
        """Log a node that counts as bad from now on, or no more."""
        bad = self.sharer.judgements.bad(now, node)
        if bad != self._bad.get(node, False):
            self._bad[node] = bad
            say = self._log.warning if bad else self._log.notice
            say(
                "shared-bad" if bad else "shared-good",
                "by all that is known of it",
                node=node,
                weight=f"{self.sharer.judgements.weight(now, node):.2f}",
            )

    def _tick(self) -> None:
        now = time.monotonic_ns()
        self.sharer.step(now, self._peers.member.present())
        for node in [n for n, bad in self._bad.items() if bad]:
            self._changed(now, node)
        self._send(now)
        wait_s = max(0.01, (self.sharer.due() - time.monotonic_ns()) / 1e9)
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)

    def _send(self, now: int) -> None:
        sends, self.sharer.sends = self.sharer.sends, []
        by_name: dict[str, list[Message]] = {}
        for name, message in sends:
            by_name.setdefault(name, []).append(message)
        for name, messages in by_name.items():
            for letter in self._codec.encode_datagrams(self.sharer.name, messages, MOST_LETTERS):
                if not self._budget.try_acquire(now):
                    self._over += 1
                else:
                    self._peers.send_other(name, letter)
