"""A bound cut into shares that belong to members, who let others use what they do not need themselves.

A budget allows so much within any span.  It is cut into quanta (what one use takes); each quantum belongs to
one configured member, for good and without a word from anyone, evenly and by rendezvous hashing.  Who needs
more asks an owner for a permit: a use that the owner counts as its own, and that lapses after a moment.  So
each quantum is used at most once within a span, whatever is lost, late or doubled; whoever hears nobody goes
on with its own.

The order of the times is what keeps it: who asks may use a permit until so long after it *asked*, by its own
clock; the owner counts it as used at the last moment at which that may be, by its own, with what two clocks
may differ.  A process that starts uses nothing until all that the one before it used or permitted is a span
ago.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from msgspec import Struct

CLOCK_DRIFT = 0.01  # that any clock may run fast or slow
REMEMBERED = 64  # grants that are told apart from their doubles
ASKS_A_SPAN = 20  # askings of one member for one budget, at most


class BudgetRequest(Struct, frozen=True, array_like=True, tag="A"):
    """Let me use so much of this budget.  `at`: by the asker's clock."""

    budget: str
    amount: float
    at: int
    number: int


class BudgetGrant(Struct, frozen=True, array_like=True, tag="G"):
    """It is yours for a moment from when you asked; nothing where `amount` is 0.  `number`: the asker's."""

    budget: str
    amount: float
    at: int
    number: int


@dataclass(slots=True)
class _Budget:
    bound: float
    span: int
    quantum: float
    own: float  # what is ours of it within a span
    owners: list[str]  # of the others, nearest first by the hash of our own name beside theirs
    spent: deque[tuple[int, float]] = field(default_factory=deque)  # when at the latest, how much
    permits: list[tuple[int, float]] = field(default_factory=list)  # until when, how much
    had: deque[int] = field(default_factory=lambda: deque(maxlen=REMEMBERED))
    wanted_at: int = -(1 << 62)
    poor: dict[str, int] = field(default_factory=dict)  # owners that had none to spare, and when
    used: float = 0.0
    rejected: float = 0.0


class Budgets:
    """One member's part of all budgets.  `sends` gathers (to whom, message); the caller empties it."""

    def __init__(self, name: str, names: Iterable[str], permit_ns: int, now: int) -> None:
        self.name, self.names, self.permit_ns = name, sorted({*names, name}), permit_ns
        self._began = now
        self._budgets: dict[str, _Budget] = {}
        self._number = 0
        self.sends: list[tuple[str, BudgetRequest | BudgetGrant]] = []

    def set_bound(self, name: str, bound: float, span: int, quantum: float) -> None:
        """There is such a budget, or its bound has changed: what was permitted of the old one lapses within a
        moment, so a span after the last member has heard of it the new one holds."""
        quanta, each = divmod(int(bound / quantum + 1e-9), len(self.names))
        ranked = sorted(self.names, key=lambda n: (zlib.crc32(f"{name}/{n}".encode()), n))
        own = quantum * (quanta + (ranked.index(self.name) < each))
        owners = [n for n in (ranked if quanta else ranked[:each]) if n != self.name]
        owners.sort(key=lambda n: zlib.crc32(f"{self.name}>{n}".encode()))
        known = self._budgets.get(name)
        if known is None:
            known = self._budgets[name] = _Budget(bound, span, quantum, own, owners)
        known.bound, known.span, known.quantum, known.own, known.owners = bound, span, quantum, own, owners

    def remove(self, name: str) -> None:
        """There is no such budget any more."""
        self._budgets.pop(name, None)

    def _left(self, now: int, budget: _Budget) -> float:
        """What is still ours within the span that ends now."""
        span = round(budget.span * (1 + 2 * CLOCK_DRIFT))  # a fast clock's span is short
        while budget.spent and budget.spent[0][0] <= now - span:
            budget.spent.popleft()
        if now < self._began + span + round(self.permit_ns * (1 + 2 * CLOCK_DRIFT)):
            return 0.0
        return budget.own - sum(amount for _, amount in budget.spent)

    def spend(self, now: int, name: str, amount: float) -> bool:
        """Use it, if the bound allows: a permit first, since that lapses."""
        budget = self._budgets[name]
        budget.permits = [(until, a) for until, a in budget.permits if until > now]
        for at, (_, permitted) in enumerate(budget.permits):
            if permitted + 1e-9 >= amount:
                del budget.permits[at]
                budget.used += amount
                return True
        if self._left(now, budget) + 1e-9 < amount:
            budget.rejected += amount
            return False
        budget.spent.append((now, amount))
        budget.used += amount
        return True

    def request_permit(self, now: int, name: str, amount: float, present: Sequence[str]) -> None:
        """Ask an owner that is there, one that had none to spare lately after the others."""
        budget = self._budgets[name]
        if now - budget.wanted_at < budget.span // ASKS_A_SPAN:
            return
        there = [n for n in budget.owners if n in present]
        if not there:
            return
        self._number += 1
        budget.wanted_at = now
        owner = min(there, key=lambda n: budget.poor.get(n, -(1 << 62)))
        budget.poor[owner] = now  # until it grants something
        self.sends.append((owner, BudgetRequest(name, amount, now, self._number)))

    def receive(self, now: int, message: BudgetRequest | BudgetGrant, sender: str) -> None:
        """A message of another."""
        budget = self._budgets.get(message.budget)
        if budget is None or not 0 <= message.amount <= budget.bound:
            return
        if isinstance(message, BudgetRequest):
            granted = message.amount if self._left(now, budget) + 1e-9 >= message.amount else 0.0
            if granted:
                # It may be used until its time is up: so it counts from then.
                budget.spent.append((now + round(self.permit_ns * (1 + 2 * CLOCK_DRIFT)), granted))
                budget.spent = deque(sorted(budget.spent))
            self.sends.append((sender, BudgetGrant(message.budget, granted, message.at, message.number)))
        elif message.number not in budget.had:
            budget.had.append(message.number)
            until = message.at + self.permit_ns
            if message.amount and until > now:
                budget.poor.pop(sender, None)
                budget.permits.append((until, message.amount))

    def permitted(self, now: int, name: str) -> float:
        """Permits that are in hand."""
        return sum(amount for until, amount in self._budgets[name].permits if until > now)

    def report(self, now: int) -> dict[str, dict[str, float]]:
        """Each budget as it stands here."""
        return {
            name: {
                "bound": b.bound,
                "own": b.own,
                "left": max(0.0, self._left(now, b)),
                "permits": self.permitted(now, name),
                "used": b.used,
                "turned_away": b.rejected,
            }
            for name, b in self._budgets.items()
        }
