"""Budgets in virtual time: clocks that differ, messages lost, late and doubled, cuts, pauses, restarts.

The checker sees each spending in true time: what all members spend within any span may not pass the bound.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from hollowusher.scheduler.emulator.heap import Heap
from hollowusher.scheduler.rules.shared_state.budgets import BudgetGrant, BudgetRequest, Budgets

MS, S = 1_000_000, 1_000_000_000
Make = Callable[[str, list[str], int, int], Budgets]
WAIT_MS = 60  # a job that finds no room tries again up to this much later


@dataclass(slots=True, eq=False)
class _Member:
    name: str
    rate: float
    budgets: Budgets | None
    demand: float  # of all that is wanted, its part
    paused_until: int = 0


class BudgetNet(Heap):
    """So many members that share one budget of `bound` a `span`."""

    def __init__(
        self,
        size: int,
        seed: int,
        bound: float = 100.0,
        span: int = S,
        permit: int = 80 * MS,
        make: Make = Budgets,
        loss: float = 0.0,
        drift: float = 0.01,
    ) -> None:
        super().__init__()
        self.chance, self.bound = random.Random(seed), bound
        self.span, self.permit = span, permit
        self._make, self.loss = make, loss
        self.messages = 0
        self.spent: deque[tuple[int, float]] = deque()
        self.total = self.wanted = self.most = self._within = 0.0
        self.cuts: set[tuple[str, str]] = set()
        parts = [self.chance.expovariate(1.0) for _ in range(size)]
        rates = [1 + self.chance.uniform(-drift, drift) for _ in parts]
        self.members = {
            f"n{i}": _Member(f"n{i}", rates[i], None, p / sum(parts)) for i, p in enumerate(parts)
        }
        for name in self.members:
            self.start(name)

    def start(self, name: str) -> None:
        """A process starts, and knows nothing."""
        m = self.members[name]
        now = round(self.now * m.rate)
        m.budgets = self._make(name, list(self.members), self.permit, now)
        m.budgets.set_bound("b", self.bound, self.span, 1.0)

    def demand(self, rate: float, spans: float, step: int = 20 * MS) -> float:
        """All together want so much a span for so many spans; the share of the bound that they got."""
        began, end = self.total, self.now + round(spans * self.span)
        while self.now < end:
            self.run(self.now + step)
            for m in self.members.values():
                if m.budgets is not None and self.now >= m.paused_until:
                    amount = rate * m.demand * step / self.span
                    # Whole jobs come by chance: as many as the amount, on average.
                    jobs = int(amount) + (self.chance.random() < amount % 1)
                    for _ in range(jobs):
                        self.wanted += 1.0
                        self._want(m, 3)
        return (self.total - began) / (self.bound * spans)

    def _want(self, m: _Member, tries: int) -> None:
        """A job: it is sent, or waits a moment for a permit."""
        if m.budgets is None or self.now < m.paused_until:
            return
        now = round(self.now * m.rate)
        if m.budgets.spend(now, "b", 1.0):
            self.total += 1.0
            self._spend(1.0)
        elif tries:
            m.budgets.request_permit(now, "b", 1.0, list(self.members))
            wait = round(self.chance.uniform(0.2, 1.0) * max(WAIT_MS * MS, self.permit))
            self.at(self.now + wait, lambda: self._want(m, tries - 1))
        self._post(m)

    def _spend(self, amount: float) -> None:
        self.spent.append((self.now, amount))
        self._within += amount
        while self.spent[0][0] <= self.now - self.span:
            self._within -= self.spent.popleft()[1]
        self.most = max(self.most, self._within)

    def _post(self, m: _Member) -> None:
        assert m.budgets is not None
        sends, m.budgets.sends = m.budgets.sends, []
        for to, message in sends:
            self.messages += 1
            for _ in range(1 + (self.chance.random() < 0.05)):
                if (m.name, to) not in self.cuts and self.chance.random() >= self.loss:
                    delay = round(self.chance.choice((2, 5, 25, 25, 400)) * MS * self.chance.random())
                    self.at(self.now + delay, lambda t=to, x=message: self._arrive(t, x, m.name))  # type: ignore[misc]

    def _arrive(self, name: str, message: BudgetRequest | BudgetGrant, sender: str) -> None:
        m = self.members[name]
        if m.budgets is None:
            return
        if self.now < m.paused_until:
            self.at(m.paused_until, lambda: self._arrive(name, message, sender))
            return
        m.budgets.receive(round(self.now * m.rate), message, sender)
        self._post(m)


def schedule(net: BudgetNet, seconds: int, seed: int) -> None:
    """Faults at random under demand that is mostly above the bound."""
    chance = random.Random(seed)
    names = list(net.members)
    end = net.now + seconds * S
    while net.now < end:
        net.demand(net.bound * chance.choice((0.5, 1.0, 2.0, 4.0)), chance.uniform(0.2, 1.5))
        name, what = chance.choice(names), chance.random()
        if what < 0.2:
            net.start(name)  # killed and back at once, which is the hardest
        elif what < 0.3:
            for each in names:
                net.start(each)
        elif what < 0.5:
            net.members[name].paused_until = net.now + round(chance.uniform(0.1, 4) * S)
        elif what < 0.7:
            some = set(chance.sample(names, max(1, len(names) // 2)))
            net.cuts = {(a, b) for a in some for b in names if b not in some}
            if chance.random() < 0.5:
                net.cuts |= {(b, a) for a, b in net.cuts}
        elif what < 0.8:
            net.cuts = set()
        elif what < 0.9:
            net.loss = chance.choice((0.0, 0.3))
        else:
            for each in chance.sample(names, max(1, len(names) // 3)):
                net.members[each].budgets = None
