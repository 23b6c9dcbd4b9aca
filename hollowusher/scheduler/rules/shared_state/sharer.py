"""Gossip of one member's shared state: dispatches received messages and spreads new ones.

In each round a member sends its updates to FANOUT random members.  A receiver forwards an update only if it
was new to it.  Each member sends an update often enough for it to reach all members with high probability.
Scores of bad nodes are sent before counts.
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

GOSSIP_INTERVAL_NS = 200_000_000
FANOUT = 3  # receivers per round
COUNTS_PER_UPDATE = 6  # counts per update
MAX_QUEUED = 512
SCORES_PER_ROUND = 8  # own node scores per round


@dataclass(slots=True)
class _QueuedMessage:
    message: CountUpdate | NodeObservation
    priority: float
    sent: int = 0


class SharedStateGossip:
    """Shared state of one member: its budgets, counts and node scores, and the gossip that spreads them.

    `sends` collects (receiver, message) pairs, the most important messages of each receiver first; the caller
    sends them and empties the list.
    """

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
        self._random = chance
        self.budgets = Budgets(name, names, permit_ns, now)
        self.counts = SharedCounts(name, incarnation, window_ns, now)
        self.judgements = NodeScores(name, incarnation)
        self._queue: dict[tuple[str, str], _QueuedMessage] = {}
        self._next_round_at = now
        self.sends: list[tuple[str, Message]] = []

    def due(self) -> int:
        """Return the time of the next gossip round, when `step` must be called."""
        return self._next_round_at

    def receive(self, now: int, message: Message, sender: str) -> None:
        """Process a message that another member created or forwarded."""
        match message:
            case BudgetRequest() | BudgetGrant():
                self.budgets.receive(now, message, sender)
                self.sends += self.budgets.sends
                self.budgets.sends = []
            case CountUpdate():
                before = self.counts.counts_of(message.member)
                self.counts.receive(now, message)
                if self.counts.counts_of(message.member) != before:
                    self._enqueue(message)
            case NodeObservation():
                if self.judgements.receive(now, message):
                    self._enqueue(message)

    def request_permit(self, now: int, budget: str, amount: float, present: Sequence[str]) -> None:
        """Request a permit for `amount` of a budget from one of the `present` members."""
        self.budgets.request_permit(now, budget, amount, present)
        self.sends += self.budgets.sends
        self.budgets.sends = []

    def step(self, now: int, present: Sequence[str]) -> None:
        """Run a gossip round with the `present` members if one is due."""
        if now < self._next_round_at:
            return
        self._next_round_at = now + round(GOSSIP_INTERVAL_NS * (0.75 + 0.5 * self._random.random()))
        others = [n for n in present if n != self.name]
        update = self.counts.next_update(now, COUNTS_PER_UPDATE)
        if update.counts:
            self._enqueue(update)
        for observation in self.judgements.pending_observations(now, SCORES_PER_ROUND):
            self._enqueue(observation)
        max_sends = math.ceil(2 * math.log2(len(others) + 2)) + 1
        ranked = sorted(
            self._queue.items(), key=lambda item: (-item[1].priority / (1 + item[1].sent), item[0])
        )
        targets = self._random.sample(others, min(FANOUT, len(others)))
        for key, queued in ranked[: 4 * COUNTS_PER_UPDATE]:
            for name in targets:
                self.sends.append((name, queued.message))
            queued.sent += len(targets)
            if queued.sent >= max_sends:
                del self._queue[key]

    def _enqueue(self, message: CountUpdate | NodeObservation) -> None:
        """Queue a message for gossip; it replaces an older message of the same member on the same subject."""
        if isinstance(message, NodeObservation):
            key, priority = (message.member, message.node), 8.0 + message.score
        else:
            key, priority = (message.member, ""), 1.0
        if key in self._queue or len(self._queue) < MAX_QUEUED:
            self._queue[key] = _QueuedMessage(message, priority)
