"""Members in virtual time: one heap of messages and wakes, with losses, delays, cuts, pauses and deaths.

The members are those that run behind sockets; only the network and the clock are made up.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from hollowusher.scheduler.emulator.faults.links import Links
from hollowusher.scheduler.emulator.heap import Heap
from hollowusher.scheduler.rules.membership.events import Change, MembershipEvent
from hollowusher.scheduler.rules.membership.member import SwimMember
from hollowusher.scheduler.rules.membership.messages import MAX_PROCESS_ID, Message, message_bytes
from hollowusher.scheduler.rules.membership.pace import MS, MembershipTiming

S = 1000 * MS
INBOX = 256  # datagrams that wait for a paused process; a socket drops the rest


class SimulatedPeer(Protocol):
    """What takes part: a member, or a baseline that stands in for one."""

    sends: list[tuple[str, Message]]
    reported: list[MembershipEvent]

    def step(self, now: int, message: Message | None = None) -> None:
        """Take the time and at most one message."""

    def due(self) -> int:
        """When to be stepped at the latest."""


@dataclass(slots=True, eq=False)
class MemberProcess:
    """One process of the play."""

    name: str
    peer: SimulatedPeer
    up: bool = True
    paused_until: int = 0
    inbox: list[Message] = field(default_factory=list)
    wake_at: int = -1
    sent: int = 0
    sent_bytes: int = 0


class MembershipNetwork(Heap):
    """Some processes and the network between them.  All chance comes from one seed."""

    def __init__(
        self,
        names: Iterable[str],
        seed: int,
        pace: MembershipTiming | None = None,
        loss: float = 0.0,
        delay_ms: tuple[float, float] = (1.8, 25.0),
        configured: Iterable[str] | None = None,
        make: Callable[[str, int], SimulatedPeer] | None = None,
    ) -> None:
        super().__init__()
        self.chance = random.Random(seed)
        self.pace = pace or MembershipTiming()
        self.names = list(names)
        self.configured = list(configured if configured is not None else self.names)
        self.loss, self.delay_ms = loss, delay_ms
        self.late: dict[str, int] = {}  # more delay of what this process sends
        self.cuts: set[tuple[str, str]] = set()
        self.history: list[tuple[int, str, MembershipEvent]] = []
        self.processes: dict[str, MemberProcess] = {}
        self.twins: list[MemberProcess] = []
        self._make = make or self._member
        self._starts = 0
        self.links = Links(self.chance, lambda delay, what: self.at(self.now + delay, what))
        for name in self.names:
            self.at(round(self.chance.random() * 0.5 * S), lambda name=name: self.start(name))  # type: ignore[misc]

    def _member(self, name: str, now: int, clock_s: float = 0.0) -> SimulatedPeer:
        self._starts += 1
        process_id = self.chance.randrange(MAX_PROCESS_ID)
        return SwimMember(
            name,
            process_id,
            max(0, 100_000 + now // S + round(clock_s)),
            self.configured,
            self.pace,
            random.Random(self.chance.random()),
            now,
        )

    def member(self, name: str, clock_s: float = 0.0) -> SimulatedPeer:
        """A member that starts now, by a clock that is so far ahead."""
        return self._member(name, self.now, clock_s)

    # --- faults -------------------------------------------------------------------------------------------

    def start(self, name: str, peer: SimulatedPeer | None = None) -> None:
        """A process starts anew: it knows nothing."""
        process = MemberProcess(name, peer or self._make(name, self.now))
        self.processes[name] = process
        self._after(process)

    def kill(self, name: str) -> None:
        """It ends without a word."""
        self.processes[name].up = False

    def leave(self, name: str) -> None:
        """It ends in good order."""
        process = self.processes[name]
        if isinstance(process.peer, SwimMember):
            process.peer.leave(self.now)
            self._after(process)
        process.up = False

    def twin(self, name: str, span: int) -> None:
        """A second process speaks under a name for a while; what comes for the name reaches the first."""
        twin = MemberProcess(name, self._make(name, self.now))
        self.twins.append(twin)
        self._after(twin)
        self.at(self.now + span, lambda: setattr(twin, "up", False))

    def pause(self, name: str, span: int) -> None:
        """It does not run for a while; what comes waits."""
        process = self.processes[name]
        process.paused_until = self.now + span
        self.at(process.paused_until, lambda: self._resume(process))

    def cut(self, sources: Iterable[str], targets: Iterable[str], span: int) -> None:
        """Nothing passes from any of the first to any of the second for a while."""
        pairs = {(a, b) for a in sources for b in targets if a != b}
        self.cuts |= pairs
        self.at(self.now + span, lambda: self.cuts.difference_update(pairs))

    # --- the play -----------------------------------------------------------------------------------------

    def _resume(self, process: MemberProcess) -> None:
        waiting, process.inbox = process.inbox, []
        for message in waiting:
            self._step(process, message)
        self._step(process, None)

    def _step(self, process: MemberProcess, message: Message | None) -> None:
        if not process.up or (self.processes.get(process.name) is not process and process not in self.twins):
            return
        if self.now < process.paused_until:
            if message is not None and len(process.inbox) < INBOX:
                process.inbox.append(message)
            return
        process.peer.step(self.now, message)
        self._after(process)

    def _after(self, process: MemberProcess) -> None:
        peer = process.peer
        for reported in peer.reported:
            self.history.append((self.now, process.name, reported))
        peer.reported = []
        sends, peer.sends = peer.sends, []
        for name, message in sends:
            process.sent += 1
            process.sent_bytes += message_bytes(message)
            if (process.name, name) in self.cuts or self.chance.random() < self.loss:
                continue
            delay = round(self.chance.uniform(*self.delay_ms) * MS) + self.late.get(process.name, 0)
            self.links.carry(
                (process.name, name),
                message_bytes(message),
                self.now,
                lambda n=name, m=message, d=delay: self.at(  # type: ignore[misc]
                    self.now + d, lambda: self._arrive(n, m)
                ),
            )
        when = max(self.now + 1, peer.due())
        if when != process.wake_at:
            process.wake_at = when
            self.at(when, lambda: self._wake(process, when))

    def _wake(self, process: MemberProcess, when: int) -> None:
        if process.wake_at == when:
            process.wake_at = -1
            self._step(process, None)

    def _arrive(self, name: str, message: Message) -> None:
        process = self.processes.get(name)
        if process is not None:
            self._step(process, message)

    # --- what is read -------------------------------------------------------------------------------------

    def live(self) -> list[str]:
        """Names whose process runs."""
        return [n for n, p in self.processes.items() if p.up]

    def views(self) -> dict[str, tuple[str, ...]]:
        """Who is there, by each that runs."""
        return {
            n: tuple(p.peer.present())
            for n, p in self.processes.items()
            if p.up and isinstance(p.peer, SwimMember)
        }

    def reported(self, change: Change) -> list[tuple[int, str, MembershipEvent]]:
        """All events of a kind: when, at whom, what."""
        return [event for event in self.history if event[2].change is change]

    def converged(self) -> bool:
        """Whether all that run see all that run, and nobody else."""
        live = tuple(sorted(self.live()))
        return all(view == live for view in self.views().values())
