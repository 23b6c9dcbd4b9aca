"""Distributed rate budgets: each member owns a share of a limit and can lend unused parts of it.

A budget limits the amount that all members together use within any window of `span` nanoseconds.  The limit
is divided into quanta, where a quantum is the amount of one use.  Rendezvous hashing assigns the quanta
evenly to the configured members; the assignment is fixed and needs no messages.  A member that needs more
requests a permit from an owner.  The owner counts the permit as its own use, and the permit expires after a
short time.  Each quantum is therefore used at most once per span, even if messages are lost, delayed or
duplicated, and a member that is cut off from all others can still use its own share.

The limit holds because of the order of the times.  The requester may use a permit until `permit_ns` after it
sent the *request*, by its own clock.  The owner counts the permit as used at the latest possible time of its
use, by the owner's clock, plus the largest possible difference between the two clocks.  A new process uses
nothing until all uses and permits of its predecessor are at least one span old.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from msgspec import Struct

CLOCK_DRIFT = 0.01  # relative rate error of any clock, fast or slow
REMEMBERED_GRANTS = 64  # grant numbers remembered per budget, to drop duplicate grants
REQUESTS_PER_SPAN = 20  # maximum permit requests per span from one member for one budget


class BudgetRequest(Struct, frozen=True, array_like=True, tag="A"):
    """Request for a permit of `amount`; `at` is the time of the request by the requester's clock."""

    budget: str
    amount: float
    at: int
    number: int


class BudgetGrant(Struct, frozen=True, array_like=True, tag="G"):
    """Reply to a request: the permit is valid for `permit_ns` from `at`; an `amount` of 0 is a refusal.

    `at` and `number` are copied from the request.
    """

    budget: str
    amount: float
    at: int
    number: int


@dataclass(slots=True)
class _Budget:
    bound: float
    span: int
    quantum: float
    own: float  # this member's share per span
    owners: list[str]  # the other members that own quanta, sorted by a hash of this member's and their names
    spent: deque[tuple[int, float]] = field(default_factory=deque)  # latest time of use, amount
    permits: list[tuple[int, float]] = field(default_factory=list)  # expiry, amount
    seen_grants: deque[int] = field(default_factory=lambda: deque(maxlen=REMEMBERED_GRANTS))
    requested_at: int = -(1 << 62)
    declined: dict[str, int] = field(default_factory=dict)  # by owner: time of the ungranted request
    used: float = 0.0
    rejected: float = 0.0


class Budgets:
    """One member's shares of all budgets.

    `permit_ns` is the lifetime of a permit.  `sends` collects (receiver, message) pairs to send; the caller
    sends them and empties the list.
    """

    def __init__(self, name: str, names: Iterable[str], permit_ns: int, now: int) -> None:
        self.name, self.names, self.permit_ns = name, sorted({*names, name}), permit_ns
        self._started = now
        self._budgets: dict[str, _Budget] = {}
        self._number = 0
        self.sends: list[tuple[str, BudgetRequest | BudgetGrant]] = []

    def set_bound(self, name: str, bound: float, span: int, quantum: float) -> None:
        """Add a budget of `bound` per `span` nanoseconds, or change an existing one.

        Permits of the old bound expire shortly, so the new bound holds one span after the last member has
        applied it.
        """
        quanta, remainder = divmod(int(bound / quantum + 1e-9), len(self.names))
        ranked = sorted(self.names, key=lambda n: (zlib.crc32(f"{name}/{n}".encode()), n))
        own = quantum * (quanta + (ranked.index(self.name) < remainder))
        owners = [n for n in (ranked if quanta else ranked[:remainder]) if n != self.name]
        owners.sort(key=lambda n: zlib.crc32(f"{self.name}>{n}".encode()))
        known = self._budgets.get(name)
        if known is None:
            known = self._budgets[name] = _Budget(bound, span, quantum, own, owners)
        known.bound, known.span, known.quantum, known.own, known.owners = bound, span, quantum, own, owners

    def remove(self, name: str) -> None:
        """Remove a budget."""
        self._budgets.pop(name, None)

    def _remaining(self, now: int, budget: _Budget) -> float:
        """Return the unused part of this member's share within the span that ends now."""
        span = round(budget.span * (1 + 2 * CLOCK_DRIFT))  # on a fast clock a span would end too early
        while budget.spent and budget.spent[0][0] <= now - span:
            budget.spent.popleft()
        if now < self._started + span + round(self.permit_ns * (1 + 2 * CLOCK_DRIFT)):
            return 0.0
        return budget.own - sum(amount for _, amount in budget.spent)

    def spend(self, now: int, name: str, amount: float) -> bool:
        """Use `amount` if a permit or this member's share allows it; permits go first because they expire."""
        budget = self._budgets[name]
        budget.permits = [(until, a) for until, a in budget.permits if until > now]
        for at, (_, permitted) in enumerate(budget.permits):
            if permitted + 1e-9 >= amount:
                del budget.permits[at]
                budget.used += amount
                return True
        if self._remaining(now, budget) + 1e-9 < amount:
            budget.rejected += amount
            return False
        budget.spent.append((now, amount))
        budget.used += amount
        return True

    def request_permit(self, now: int, name: str, amount: float, present: Sequence[str]) -> None:
        """Request a permit from an owner among the `present` members.

        Owners without a recent ungranted request come first.  A span allows REQUESTS_PER_SPAN requests.
        """
        budget = self._budgets[name]
        if now - budget.requested_at < budget.span // REQUESTS_PER_SPAN:
            return
        candidates = [n for n in budget.owners if n in present]
        if not candidates:
            return
        self._number += 1
        budget.requested_at = now
        owner = min(candidates, key=lambda n: budget.declined.get(n, -(1 << 62)))
        budget.declined[owner] = now  # cleared when the owner grants a permit
        self.sends.append((owner, BudgetRequest(name, amount, now, self._number)))

    def receive(self, now: int, message: BudgetRequest | BudgetGrant, sender: str) -> None:
        """Process a permit request or a grant from `sender`; invalid and duplicate messages are ignored."""
        budget = self._budgets.get(message.budget)
        if budget is None or not 0 <= message.amount <= budget.bound:
            return
        if isinstance(message, BudgetRequest):
            granted = message.amount if self._remaining(now, budget) + 1e-9 >= message.amount else 0.0
            if granted:
                # The permit may be used until it expires, so its use counts from the expiry.
                budget.spent.append((now + round(self.permit_ns * (1 + 2 * CLOCK_DRIFT)), granted))
                budget.spent = deque(sorted(budget.spent))
            self.sends.append((sender, BudgetGrant(message.budget, granted, message.at, message.number)))
        elif message.number not in budget.seen_grants:
            budget.seen_grants.append(message.number)
            until = message.at + self.permit_ns
            if message.amount and until > now:
                budget.declined.pop(sender, None)
                budget.permits.append((until, message.amount))

    def permitted(self, now: int, name: str) -> float:
        """Return the total amount of the valid permits for a budget."""
        return sum(amount for until, amount in self._budgets[name].permits if until > now)

    def report(self, now: int) -> dict[str, dict[str, float]]:
        """Return the state of each budget at this member."""
        return {
            name: {
                "bound": b.bound,
                "own": b.own,
                "left": max(0.0, self._remaining(now, b)),
                "permits": self.permitted(now, name),
                "used": b.used,
                "turned_away": b.rejected,
            }
            for name, b in self._budgets.items()
        }
