"""The model check of membership: three members, every order of messages, losses, time-outs and a restart.

What is asked of each state: nobody holds itself dead, and no incarnation of a process has fallen.  And
of the last ones: once messages flow, all come to the same view, and it is that of who runs.
"""

from __future__ import annotations

import copy
import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

from hollowusher.scheduler.emulator.explore import Explored, explore
from hollowusher.scheduler.rules.membership.member import SwimMember
from hollowusher.scheduler.rules.membership.messages import MemberStatus, MemberUpdate, Message, MessageKind
from hollowusher.scheduler.rules.membership.pace import MembershipTiming

T = TypeVar("T")
NAMES = ("a", "b", "c")


class LowestChoice(random.Random):
    """Chance that always takes the first: what the check varies is the order of what happens."""

    def random(self) -> float:
        return 0.5

    def randrange(self, *args: Any) -> int:
        return 0

    def choice(self, seq: Any) -> Any:
        return seq[0]

    def sample(self, population: Sequence[T], k: int, **_: Any) -> list[T]:
        return list(population[:k])


CHANCE = LowestChoice()


@dataclass(slots=True)
class Trio:
    """Three members, each with a clock of its own, and the messages between them."""

    members: dict[str, SwimMember]
    clocks: dict[str, int]
    flying: list[tuple[str, Message]] = field(default_factory=list)
    losses: int = 0
    restarts: int = 0
    highest: dict[tuple[str, int], int] = field(default_factory=dict)  # name, life: incarnation

    def copy(self) -> Trio:
        """Another one like it, that shares nothing which changes."""
        members = copy.deepcopy(self.members, {id(CHANCE): CHANCE})
        return Trio(
            members, dict(self.clocks), list(self.flying), self.losses, self.restarts, dict(self.highest)
        )

    def step(self, name: str, message: Message | None = None) -> None:
        """One member takes a message, or the time it asked for."""
        member = self.members[name]
        if message is None:
            self.clocks[name] = max(self.clocks[name], member.due())
        member.step(self.clocks[name], message)
        self.flying += member.sends
        member.sends = []
        member.reported = []

    def restart(self, name: str, make: Callable[[str, int, int, int], SwimMember]) -> None:
        """The process ends, and another of its name starts with an older clock."""
        self.restarts += 1
        self.members[name] = make(name, 100 + self.restarts, 1, self.clocks[name])

    def frozen(self) -> tuple[object, ...]:
        """The state, in a form that is equal for equal ones."""
        return (
            tuple(m.frozen(self.clocks[n]) for n, m in self.members.items()),
            frozenset(Counter(self.flying).items()),
            self.losses,
            self.restarts,
        )

    def wrong(self) -> str:
        """What does not hold here."""
        for name, member in self.members.items():
            if member.me.standing is not MemberStatus.ALIVE or name in member.records:
                return f"{name} holds itself {member.me.standing.name}"
            at = (name, member.me.process_id)
            if member.me.incarnation < self.highest.get(at, 0):
                return f"the incarnation of {name} fell"
            self.highest[at] = member.me.incarnation
        return ""

    def stabilize(self, rounds: int = 60) -> bool:
        """Let all messages through and all clocks go on together; whether all come to see all."""
        for _ in range(rounds):
            for _ in range(1000):  # at one time; more would be messages that answer each other for ever
                if not self.flying:
                    break
                name, message = self.flying.pop(0)
                self.step(name, message)
            else:
                return False
            first = min(self.members, key=lambda n: self.members[n].due() - self.clocks[n])
            span = self.members[first].due() - self.clocks[first]
            for name in self.clocks:
                self.clocks[name] += max(0, span)
            self.step(first)
            if all(self.sees(m) for m in self.members.values()):
                return True
        return False

    def sees(self, of: SwimMember) -> bool:
        """Whether a member sees all that run, and as the processes that they are."""
        process_ids = {n: m.me.process_id for n, m in self.members.items() if n != of.me.name}
        return {n: r.update.process_id for n, r in of.records.items() if r.present} == process_ids


def member(
    name: str, process_id: int, incarnation: int, now: int, kind: type[SwimMember] = SwimMember
) -> SwimMember:
    """One of the trio."""
    return kind(name, process_id, incarnation, NAMES, MembershipTiming(helpers=1, confirmers=1), CHANCE, now)


def trio(kind: type[SwimMember] = SwimMember) -> Trio:
    """Three that see each other."""
    start = Trio({n: member(n, i + 1, 10, 0, kind) for i, n in enumerate(NAMES)}, dict.fromkeys(NAMES, 0))
    start.stabilize()
    start.flying.clear()
    return start


def said(kind: type[SwimMember], standing: MemberStatus) -> Trio:
    """c has told a of b, whom a has not heard for long."""
    state = trio(kind)
    of = state.members["a"].records["b"]
    of.heard_at -= of.heard_at + MembershipTiming().forget_ns
    news = MemberUpdate("b", of.update.process_id, of.update.incarnation, standing, "c")
    state.step("a", Message(MessageKind.PAGE, state.members["c"].me, news=(news,)))
    return state


def starts(kind: type[SwimMember] = SwimMember) -> dict[str, Trio]:
    """Where the check begins: all is well; b is doubted; b is held dead; a is new, and its clock is older."""
    doubted, dead = said(kind, MemberStatus.SUSPECT), said(kind, MemberStatus.DEAD)
    again = trio(kind)
    again.restart("a", lambda n, process_id, inc, now: member(n, process_id, inc, now, kind))
    return {"well": trio(kind), "doubted": doubted, "dead": dead, "again": again}


def check(
    depth: int,
    start: str = "well",
    losses: int = 2,
    restarts: int = 1,
    kind: type[SwimMember] = SwimMember,
    most: int = 10_000_000,
) -> tuple[Explored[Trio], list[Trio]]:
    """Explore; what was seen, and the last states that do not settle."""

    def moves(state: Trio) -> Iterator[tuple[str, Callable[[], Trio]]]:
        for at, (name, message) in enumerate(state.flying):
            if message in [m for n, m in state.flying[:at] if n == name]:
                continue  # the same as one before it

            def deliver(at: int = at) -> Trio:
                after = state.copy()
                after.step(*after.flying.pop(at))
                return after

            def lose(at: int = at) -> Trio:
                after = state.copy()
                del after.flying[at]
                after.losses += 1
                return after

            yield f"{name} hears {message.kind.name} of {message.sender.name}", deliver
            if state.losses < losses:
                yield f"lost: {message.kind.name} of {message.sender.name} to {name}", lose
        for name in state.members:

            def wait(name: str = name) -> Trio:
                after = state.copy()
                after.step(name)
                return after

            yield f"time passes at {name}", wait
        if state.restarts < restarts:

            def again() -> Trio:
                after = state.copy()
                after.restart("a", lambda n, process_id, inc, now: member(n, process_id, inc, now, kind))
                return after

            yield "a starts anew", again

    seen = explore(starts(kind)[start], moves, Trio.frozen, Trio.wrong, depth, most)
    return seen, [leaf for leaf in seen.leaves if not leaf.stabilize()]
