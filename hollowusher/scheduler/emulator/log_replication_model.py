"""The model check of copies: three members, every order of deliveries, losses, crashes and takeovers.

What is under way to a member arrives together or is lost together, which is what keeps the states few enough.
Time moves only where a member's wait ends.  Of each state is asked: one leader a term; one that may promise;
what was committed anywhere is the same everywhere, and is held by whoever leads a later term.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

from hollowusher.scheduler.emulator.explore import Explored, explore
from hollowusher.scheduler.rules.log_replication.messages import LogEntry, Message
from hollowusher.scheduler.rules.log_replication.pace import ReplicationTiming
from hollowusher.scheduler.rules.log_replication.replica import PersistentState, Replica, Role

T = TypeVar("T")
NAMES = ("a", "b", "c")
JOBS = (b"job-1", b"job-2")


class FirstChoice(random.Random):
    """Chance that always takes the first: what the check varies is the order of what happens."""

    def random(self) -> float:
        return 0.5

    def randrange(self, *args: Any) -> int:
        return 1

    def choice(self, seq: Sequence[T]) -> T:  # type: ignore[override]
        return seq[0]


@dataclass(slots=True)
class ReplicationModel:
    """Three members, what is under way between them, and what has been committed."""

    now: int = 0
    members: dict[str, Replica] = field(default_factory=dict)
    disks: dict[str, PersistentState] = field(default_factory=dict)
    flight: list[tuple[str, str, Message]] = field(default_factory=list)
    committed: dict[int, LogEntry] = field(default_factory=dict)
    leaders: dict[int, str] = field(default_factory=dict)
    proposed: int = 0
    losses: int = 0
    crashes: int = 0
    wrong: str = ""

    def stabilize(self, name: str) -> None:
        """What a member's step asks for: store, commit, send."""
        r = self.members[name]
        if r.stores:
            self.disks[name] = copy.deepcopy(r.kept)
            r.stores = []
        for number, entry in r.commits:
            if self.committed.setdefault(number, entry) != entry:
                self.wrong = f"entry {number} differs at {name}"
        r.commits, r.images, r.reported = [], [], []
        if r.role is Role.LEADER:
            term = r.kept.term
            if self.leaders.setdefault(term, name) != name:
                self.wrong = f"two lead in term {term}"
            for number, entry in self.committed.items():
                at = number - r.kept.first
                if at >= len(r.kept.entries) or (at >= 0 and r.kept.entries[at] != entry):
                    self.wrong = f"{name} leads in term {term} without entry {number}"
        if sum(m.can_write(self.now) for m in self.members.values()) > 1:
            self.wrong = "two promise"
        self.flight += [(name, to, m) for to, m in r.sends]
        r.sends = []


def start(make: Callable[..., Replica] = Replica, leads: bool = True) -> ReplicationModel:
    """Three that have begun; with `leads` one of them leads and has committed its first entry."""
    world = ReplicationModel()
    pace = ReplicationTiming()
    for name in NAMES:
        world.members[name] = make(name, "a", NAMES, pace, FirstChoice(), 0)
        world.stabilize(name)
    for _ in range(60):
        while world.flight:
            sender, to, message = world.flight.pop(0)
            world.members[to].step(world.now, message, sender)
            world.stabilize(to)
        if leads and any(m.can_write(world.now) for m in world.members.values()):
            break
        if not leads and all(m.role is Role.FOLLOWER for m in world.members.values()):
            break
        name = min(world.members, key=lambda n: (world.members[n].due(), n))
        world.now = max(world.now, world.members[name].due())
        world.members[name].step(world.now)
        world.stabilize(name)
    return world


def torn(make: Callable[..., Replica] = Replica) -> ReplicationModel:
    """One leads; its first job is held by one other, the second by nobody; then it is silent for long."""
    world = start(make)
    lead = next(n for n, m in world.members.items() if m.can_write(world.now))
    first, second = (n for n in NAMES if n != lead)
    world.flight.clear()
    for job, holds in ((JOBS[0], True), (JOBS[1], False)):
        world.members[lead].propose(world.now, [job])
        world.proposed += 1
        world.stabilize(lead)
        for sender, to, message in [m for m in world.flight if holds and m[1] == first]:
            world.members[to].step(world.now, message, sender)
            world.stabilize(to)
        for sender, to, message in [m for m in world.flight if holds and m[1] == lead]:
            world.members[to].step(world.now, message, sender)
            world.stabilize(to)
        world.flight.clear()
    world.now += 2 * world.members[second].timing.lease_ns
    return world


def moves(
    world: ReplicationModel, make: Callable[..., Replica], storage: bool, most_losses: int, most_crashes: int
) -> Iterator[tuple[str, Callable[[], ReplicationModel]]]:
    """Whatever may happen next."""

    def after(what: Callable[[ReplicationModel], None]) -> Callable[[], ReplicationModel]:
        def run() -> ReplicationModel:
            new = copy.deepcopy(world)
            try:
                what(new)
            except AssertionError as wrong:
                new.wrong = str(wrong) or "an assertion"
            return new

        return run

    for name in sorted({to for _, to, _ in world.flight}):

        def deliver(w: ReplicationModel, name: str = name) -> None:
            mine = [one for one in w.flight if one[1] == name]
            w.flight = [one for one in w.flight if one[1] != name]
            for sender, _, message in mine:
                w.members[name].step(w.now, message, sender)
                w.stabilize(name)

        yield f"all that is under way to {name}", after(deliver)
        if world.losses < most_losses:

            def lose(w: ReplicationModel, name: str = name) -> None:
                w.flight = [one for one in w.flight if one[1] != name]
                w.losses += 1

            yield f"lose all to {name}", after(lose)
    for name in NAMES:

        def wait(w: ReplicationModel, name: str = name) -> None:
            w.now = max(w.now, w.members[name].due())
            w.members[name].step(w.now)
            w.stabilize(name)

        yield f"time for {name}", after(wait)
        if world.crashes < most_crashes:

            def crash(w: ReplicationModel, name: str = name) -> None:
                w.crashes += 1
                kept = copy.deepcopy(w.disks[name]) if storage else None
                w.members[name] = make(name, "a", NAMES, ReplicationTiming(), FirstChoice(), w.now, kept)
                w.flight = [(s, t, m) for s, t, m in w.flight if t != name]
                w.stabilize(name)

            yield f"restart {name}", after(crash)
        if world.proposed < len(JOBS) and world.members[name].can_write(world.now):

            def propose(w: ReplicationModel, name: str = name) -> None:
                w.members[name].propose(w.now, [JOBS[w.proposed]])
                w.proposed += 1
                w.stabilize(name)

            yield f"{name} takes {JOBS[world.proposed].decode()}", after(propose)


def key(world: ReplicationModel) -> object:
    """All that decides what may come."""
    rows = []
    for name, r in world.members.items():
        k = r.kept
        rows.append(
            (
                name,
                r.role,
                r.leader,
                k.term,
                k.voted,
                k.starts,
                tuple(k.entries),
                r.commit,
                r._required_match,
                r._storage_trusted,
                r._teacher,
                frozenset(r._votes),
                r._pre_voting,
                max(-1, r.lease_until - world.now),
                max(-1, r._led_at + r.timing.lease_ns - world.now),
                r.due() - world.now,
                tuple((n, p.next, p.match, p.open, p.lacks) for n, p in r.peers.items()),
                tuple((n, t.standing, t.term, t.last) for n, t in r._learn_replies.items()),
            )
        )
    return (tuple(rows), tuple(world.flight), world.proposed, world.losses, world.crashes)


def check(
    depth: int,
    make: Callable[..., Replica] = Replica,
    storage: bool = False,
    begin: str = "leads",
    most_losses: int = 1,
    most_crashes: int = 1,
    most: int = 10_000_000,
) -> Explored[ReplicationModel]:
    """Every order to a depth, from one that leads, from three that have begun, or from a torn log."""
    first = torn(make) if begin == "torn" else start(make, begin == "leads")
    return explore(
        first,
        lambda w: moves(w, make, storage, most_losses, most_crashes),
        key,
        lambda w: w.wrong,
        depth,
        most,
    )
