"""A group of copies in virtual time: losses, cuts, pauses, crashes, lost and old storage, clocks that differ.

What must hold is checked at every step: one leader a term; what was committed anywhere is never another; who
promises is the only one that does.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from hollowusher.scheduler.emulator.heap import Heap
from hollowusher.scheduler.rules.log_replication.messages import LogEntry, Message
from hollowusher.scheduler.rules.log_replication.pace import MS, ReplicationTiming
from hollowusher.scheduler.rules.log_replication.replica import PersistentState, Replica, Role

S = 1000 * MS
Make = Callable[..., Replica]


class RuleBroken(AssertionError):
    """Something does not hold."""


@dataclass(slots=True, eq=False)
class SimulatedReplica:
    """One process that keeps the log.  `rate`: of its clock; `disk`: what its storage holds."""

    name: str
    rate: float
    replica: Replica | None = None
    disk: PersistentState | None = None
    old: PersistentState | None = None  # an image of its storage, taken earlier
    paused_until: int = 0
    inbox: list[tuple[Message, str]] = field(default_factory=list)
    wake_at: int = -1
    applied: int = 0
    made: list[int] = field(default_factory=list)  # numbers proposed here and not yet known as committed


class ReplicationNetwork(Heap):
    """Some copies of one log and the network between them; all chance from one seed."""

    def __init__(
        self,
        size: int,
        seed: int,
        pace: ReplicationTiming | None = None,
        loss: float = 0.0,
        storage: bool = False,
        make: Make = Replica,
        drift: float = 0.01,
        delay_ms: tuple[float, float] = (0.2, 8.0),
    ) -> None:
        super().__init__()
        self.chance, self.pace, self.storage, self._make = (
            random.Random(seed),
            pace or ReplicationTiming(),
            storage,
            make,
        )
        self.loss, self.delay_ms = loss, delay_ms
        self.names = [f"n{i}" for i in range(size)]
        self.steps = 0
        self.cuts: set[tuple[str, str]] = set()
        self.slow: dict[tuple[str, str], int] = {}  # links on which messages are late by so much
        self.copies = {n: SimulatedReplica(n, 1 + self.chance.uniform(-drift, drift)) for n in self.names}
        self.committed: dict[int, LogEntry] = {}  # by number: what anyone has committed, ever
        self.leaders: dict[int, str] = {}  # by term
        self.promised: list[bytes] = []  # what a proposer was told is kept
        self.began_anew = 0
        self.reported: list[tuple[int, str, str]] = []
        for name in self.names:
            self.start(name)

    # --- faults -----------------------------------------------------------------------------------------

    def start(self, name: str, disk: str = "kept") -> None:
        """A process starts: with what its storage holds, with none, or with an old image of it."""
        one = self.copies[name]
        if disk == "none" or not self.storage:
            one.disk = None
        elif disk == "old" and one.old is not None:
            one.disk = one.old
        elif disk == "image":
            one.old = copy.deepcopy(one.disk)
        one.replica = self._make(
            name,
            "n0",
            self.names,
            self.pace,
            random.Random(self.chance.random()),
            self._clock(one),
            copy.deepcopy(one.disk),
        )
        one.inbox, one.paused_until, one.made = [], 0, []
        one.applied = one.replica.commit
        self._after(one)

    def crash(self, name: str) -> None:
        """It ends without a word."""
        self.copies[name].replica = None

    def pause(self, name: str, span: int) -> None:
        """It does not run; what comes waits."""
        one = self.copies[name]
        one.paused_until = self.now + span
        self.at(one.paused_until, lambda: self._resume(one))

    def _resume(self, one: SimulatedReplica) -> None:
        waiting, one.inbox = one.inbox, []
        for message, sender in waiting:
            self._step(one, message, sender)
        self._step(one, None, "")

    def cut(self, a: str, b: str, span: int) -> None:
        """Nothing passes from a to b for a while."""
        self.cuts.add((a, b))
        self.at(self.now + span, lambda: self.cuts.discard((a, b)))

    def quick(self, link: tuple[str, str]) -> None:
        """A slow link is slow no more."""
        self.slow.pop(link, None)

    # --- the play ---------------------------------------------------------------------------------------

    def propose(self, data: bytes) -> str:
        """Whoever may promise is asked to keep it: who took it, or nobody."""
        for one in self.copies.values():
            if one.replica is not None and self.now >= one.paused_until:
                number = one.replica.propose(self._clock(one), [data])
                if number:
                    one.made.append(number)
                    self._after(one)
                    return one.name
        return ""

    def leader(self) -> Replica | None:
        """Who may promise, if anyone."""
        for one in self.copies.values():
            if one.replica is not None and one.replica.can_write(self._clock(one)):
                return one.replica
        return None

    def _clock(self, one: SimulatedReplica) -> int:
        return round(self.now * one.rate)

    def _step(self, one: SimulatedReplica, message: Message | None, sender: str) -> None:
        if one.replica is None:
            return
        if self.now < one.paused_until:
            if message is not None:
                one.inbox.append((message, sender))
            return
        self.steps += 1
        one.replica.step(self._clock(one), message, sender)
        self._after(one)

    def _after(self, one: SimulatedReplica) -> None:
        replica = one.replica
        assert replica is not None
        if replica.stores:
            one.disk = copy.deepcopy(replica.kept)  # stored before anything goes out
            replica.stores = []
        self.reported += [(self.now, one.name, what) for what in replica.reported]
        if any("anew" in what and "nobody" in what for what in replica.reported):
            self.began_anew += 1
        replica.reported = []
        self._commits(one, replica)
        self._check(one, replica)
        sends, replica.sends = replica.sends, []
        for name, message in sends:
            if (one.name, name) in self.cuts or self.chance.random() < self.loss or name not in self.copies:
                continue
            target = self.copies[name]
            delay = round(self.chance.uniform(*self.delay_ms) * MS) + self.slow.get((one.name, name), 0)
            self.at(self.now + delay, lambda t=target, m=message: self._step(t, m, one.name))  # type: ignore[misc]
        when = max(self.now + 1, round(replica.due() / one.rate) + 1)
        if when != one.wake_at:
            one.wake_at = when
            self.at(when, lambda: self._wake(one, when))

    def _wake(self, one: SimulatedReplica, when: int) -> None:
        if one.wake_at == when:
            one.wake_at = -1
            self._step(one, None, "")

    # --- what must hold ---------------------------------------------------------------------------------

    def _commits(self, one: SimulatedReplica, replica: Replica) -> None:
        if replica.images:
            one.applied = replica.kept.first - 1
            replica.images = []
        for number, entry in replica.commits:
            if number <= one.applied:
                raise RuleBroken(f"{one.name} applies {number} twice")
            one.applied = number
            known = self.committed.setdefault(number, entry)
            if known != entry:
                raise RuleBroken(f"entry {number} is {known} and, at {one.name}, {entry}")
            if number in one.made:
                one.made.remove(number)
                if entry.data:
                    self.promised.append(entry.data)
        replica.commits = []

    def _check(self, one: SimulatedReplica, replica: Replica) -> None:
        if replica.role is Role.LEADER:
            term = replica.kept.term
            if self.leaders.setdefault(term, one.name) != one.name:
                raise RuleBroken(f"{one.name} and {self.leaders[term]} lead in term {term}")
        if replica.can_write(self._clock(one)):
            for other in self.copies.values():
                if (
                    other is not one
                    and other.replica is not None
                    and self.now >= other.paused_until
                    and other.replica.can_write(self._clock(other))
                ):
                    raise RuleBroken(f"{one.name} and {other.name} both promise")

    def lost(self) -> list[bytes]:
        """Promises that the present leader's log does not hold."""
        lead = self.leader()
        if lead is None:
            return []
        if lead.kept.first > 1:
            return []  # entries were compacted: their numbers were checked as they were committed
        held = {e.data for e in lead.kept.entries}
        return [d for d in self.promised if d not in held]


def storm(
    net: ReplicationNetwork,
    seconds: int,
    seed: int,
    disks: tuple[str, ...] = ("kept",),
    most_down: int = 1,
    quiet: bool = False,
) -> None:
    """Faults at random for so long, then calm: crashes (of at most so many at a time), restarts, pauses,
    cuts, proposals (none in every second five seconds where it is `quiet`).  Whoever restarts counts as down
    until it knows all that it must."""
    chance = random.Random(seed)
    end, number = net.now + seconds * S, 0

    def hurt() -> list[str]:
        return [n for n, c in net.copies.items() if c.replica is None or c.replica.role is Role.LEARNER]

    net.run(4 * S)
    while net.now < end:
        net.run(net.now + round(chance.uniform(0.01, 0.25) * S))
        name, what = chance.choice(net.names), chance.random()
        if what < 0.05 and len(hurt()) < most_down and name not in hurt():
            net.crash(name)
        elif what < 0.15 and net.copies[name].replica is None:
            net.start(name, chance.choice(disks))
        elif what < 0.20:
            net.pause(name, round(chance.choice((0.05, 0.5, 1.5, 3.0)) * S))
        elif what < 0.30:
            other = chance.choice([n for n in net.names if n != name])
            span = round(chance.uniform(0.2, 4) * S)
            net.cut(name, other, span)
            if chance.random() < 0.5:
                net.cut(other, name, span)
            if chance.random() < 0.3:
                net.slow[other, name] = round(chance.uniform(0.5, 4) * S)
                net.at(net.now + span, lambda link=(other, name): net.quick(link))  # type: ignore[misc]
        elif what < 0.33:
            net.loss = chance.choice((0.0, 0.05, 0.3))
        elif what < 0.36 and net.copies[name].replica is not None:
            net.copies[name].replica.compact(b"state")  # type: ignore[union-attr]
        elif not quiet or net.now // (5 * S) % 2:  # in quiet times others hold as much as the leader
            number += 1
            net.propose(f"{seed}/{number}".encode())
    net.loss, net.cuts, net.slow = 0.0, set(), {}
    for name, one in net.copies.items():
        if one.replica is None:
            net.start(name)
    net.run(net.now + 12 * S)
