"""One member's part of all that is shared: what comes in goes to its place, what is worth telling goes out.

News are told to a few members each beat, and passed on by those to whom they were new, until all must have
heard them; evidence that a node is bad goes before counts that moved.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from hollowusher.scheduler.rules.shared_state.budgets import BudgetGrant, BudgetRequest, Budgets
from hollowusher.scheduler.rules.shared_state.counts import CountUpdate, SharedCounts
from hollowusher.scheduler.rules.shared_state.judgements import NodeObservation, NodeScores
from hollowusher.scheduler.rules.shared_state.wire import Message

HEARTBEAT_NS = 200_000_000
FANOUT = 3  # members that are told in each beat
KEYS = 6  # counts in one telling
MOST_QUEUED = 512
MOST_NEWS = 8  # judgements told anew in one beat


@dataclass(slots=True)
class _News:
    message: CountUpdate | NodeObservation
    worth: float
    sent: int = 0


class SharedStateGossip:
    """`sends` gathers (to whom, message), most worth first for each; the caller empties it."""

    def __init__(
        self,
        name: str,
        names: Sequence[str],
        incarnation: int,
        window_ns: int,
        permit_ns: int,
        chance: random.Random,
        now: int,
    ) -> None:
        self.name = name
        self._chance = chance
        self.budgets = Budgets(name, names, permit_ns, now)
        self.counts = SharedCounts(name, incarnation, window_ns, now)
        self.judgements = NodeScores(name, incarnation)
        self._news: dict[tuple[str, str], _News] = {}
        self._heartbeat_at = now
        self.sends: list[tuple[str, Message]] = []

    def due(self) -> int:
        """When `step` is to be called at the latest."""
        return self._heartbeat_at

    def receive(self, now: int, message: Message, sender: str) -> None:
        """A message of another, its own or passed on."""
        match message:
            case BudgetRequest() | BudgetGrant():
                self.budgets.receive(now, message, sender)
                self.sends += self.budgets.sends
                self.budgets.sends = []
            case CountUpdate():
                before = self.counts.counts_of(message.member)
                self.counts.receive(now, message)
                if self.counts.counts_of(message.member) != before:
                    self._put(message)
            case NodeObservation():
                if self.judgements.receive(now, message):
                    self._put(message)

    def request_permit(self, now: int, budget: str, amount: float, present: Sequence[str]) -> None:
        """Ask for a permit."""
        self.budgets.request_permit(now, budget, amount, present)
        self.sends += self.budgets.sends
        self.budgets.sends = []

    def step(self, now: int, present: Sequence[str]) -> None:
        """Tell some of those who are there."""
        if now < self._heartbeat_at:
            return
        self._heartbeat_at = now + round(HEARTBEAT_NS * (0.75 + 0.5 * self._chance.random()))
        others = [n for n in present if n != self.name]
        reported = self.counts.next_update(now, KEYS)
        if reported.counts:
            self._put(reported)
        for seen in self.judgements.pending_observations(now, MOST_NEWS):
            self._put(seen)
        most = math.ceil(2 * math.log2(len(others) + 2)) + 1
        ranked = sorted(self._news.items(), key=lambda item: (-item[1].worth / (1 + item[1].sent), item[0]))
        targets = self._chance.sample(others, min(FANOUT, len(others)))
        for key, news in ranked[: 4 * KEYS]:
            for name in targets:
                self.sends.append((name, news.message))
            news.sent += len(targets)
            if news.sent >= most:
                del self._news[key]

    def _put(self, message: CountUpdate | NodeObservation) -> None:
        """Have it told; what the same member says of the same takes an older one's place."""
        if isinstance(message, NodeObservation):
            key, worth = (message.member, message.node), 8.0 + message.score
        else:
            key, worth = (message.member, ""), 1.0
        if key in self._news or len(self._news) < MOST_QUEUED:
            self._news[key] = _News(message, worth)
