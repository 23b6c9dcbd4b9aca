"""Members in virtual time: deaths found, false deaths, messages, and how long halves take to agree again.

    python -m benchmarks.membership [--members 3,12,40,200] [--seeds 20] [--jobs 8]

Each row is one size and one condition over all seeds.  `swim` is the program's protocol, `no health` the same
without local health, `beats` plain heartbeats from all to all with as many bytes a second as `swim` takes.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from itertools import product

import click

from hollowusher.scheduler.emulator.membership import MembershipNetwork, S, SimulatedPeer
from hollowusher.scheduler.rules.membership.events import Change, MembershipEvent
from hollowusher.scheduler.rules.membership.messages import MemberUpdate, Message, MessageKind, message_bytes
from hollowusher.scheduler.rules.membership.pace import MembershipTiming

JOIN_S, WATCH_S, DEATH_S = 15, 20, 12
CONDITIONS = (
    ("calm", 0.0, 0.0),
    ("10% lost", 0.1, 0.0),
    ("30% lost", 0.3, 0.0),
    ("pauses of 0.05 s", 0.0, 0.05),
    ("pauses of 1 s", 0.0, 1.0),
    ("pauses of 5 s", 0.0, 5.0),
)


class Beats:
    """The baseline: tells all at a fixed pace, and holds dead who is silent for three of its spans."""

    MISSED = 3

    def __init__(self, name: str, names: Iterable[str], span: int, now: int, chance: random.Random) -> None:
        self.message = Message(MessageKind.PING, MemberUpdate(name, 1, 1))
        self.others, self.span = [n for n in names if n != name], span
        self.next = now + round(chance.random() * span)
        self.heard = dict.fromkeys(self.others, now)
        self.held = set(self.others)
        self.sends: list[tuple[str, Message]] = []
        self.reported: list[MembershipEvent] = []

    def due(self) -> int:
        """Its next round."""
        return self.next

    def step(self, now: int, message: Message | None = None) -> None:
        """Hear one, or make a round."""
        if message is not None:
            self.heard[message.sender.name] = now
            self.held.add(message.sender.name)
        if now < self.next:
            return
        self.next = now + self.span
        self.sends += [(n, self.message) for n in self.others]
        for name in [n for n in self.held if now - self.heard[n] > self.MISSED * self.span]:
            self.held.discard(name)
            self.reported.append(MembershipEvent(Change.DIED, name))


@dataclass(frozen=True, slots=True)
class MembershipRun:
    """One play: what is played, and what came of it."""

    kind: str
    members: int
    condition: int
    seed: int
    span: int = 0  # of the heartbeats
    found: tuple[float, ...] = ()  # seconds from a death to the last live member's knowing
    missed: int = 0  # members that did not know a death within DEATH_S
    false: int = 0  # members held dead while they ran, in all views together
    healed: float = 0.0  # seconds from the end of a cut in halves to one view
    messages: float = 0.0  # a member and second, when calm
    bytes: float = 0.0


def play(run: MembershipRun) -> MembershipRun:
    """Play one: a watch with the condition's faults, two deaths, and two halves apart for 20 s."""
    _, loss, pause = CONDITIONS[run.condition]
    names = [f"n{i}" for i in range(run.members)]
    pace = MembershipTiming(max_health_score=0) if run.kind == "no health" else MembershipTiming()

    def beats(name: str, now: int) -> SimulatedPeer:
        return Beats(name, names, run.span, now, random.Random(f"{run.seed}{name}"))

    net = MembershipNetwork(names, run.seed, pace, loss, make=beats if run.kind == "beats" else None)
    net.run(JOIN_S * S)
    before = {n: (p.sent, p.sent_bytes) for n, p in net.processes.items()}
    turn = net.live()
    net.chance.shuffle(turn)

    def next_pause() -> None:
        if pause and net.now < (JOIN_S + WATCH_S) * S:
            turn.append(turn.pop(0))
            net.pause(turn[-1], round(pause * S))
            net.at(net.now + round(max(0.5, 2 * pause) * S), next_pause)

    net.at(net.now, next_pause)
    net.run((JOIN_S + WATCH_S) * S)
    spent = [(p.sent - before[n][0], p.sent_bytes - before[n][1]) for n, p in net.processes.items()]
    false = sum(1 for at, _, _ in net.reported(Change.DIED) if at > JOIN_S * S)
    net.run(net.now + round(2 * pause * S))
    found, missed = [], 0
    for victim in names[:1] if run.members < 4 else names[:2]:
        began = net.now
        net.kill(victim)
        net.run(began + DEATH_S * S)
        knew: dict[str, float] = {}
        for at, who, reported in net.reported(Change.DIED):
            if reported.name == victim and at >= began:
                knew.setdefault(who, (at - began) / S)
        missed += len(net.live()) - len(knew)
        found.append(max(knew.values(), default=float(DEATH_S)))
    return replace(
        run,
        found=tuple(found),
        missed=missed,
        false=false,
        healed=heal(net, run),
        messages=statistics.mean(m for m, _ in spent) / WATCH_S,
        bytes=statistics.mean(b for _, b in spent) / WATCH_S,
    )


def heal(net: MembershipNetwork, run: MembershipRun) -> float:
    """Halves that hear nothing of each other for 20 s; how long after it until all see all."""
    if run.condition or run.kind == "beats":
        return 0.0
    live = net.live()
    half = live[: len(live) // 2]
    rest = live[len(live) // 2 :]
    net.cut(half, rest, 20 * S)
    net.cut(rest, half, 20 * S)
    net.run(net.now + 20 * S)
    began = net.now
    while not net.converged() and net.now - began < 60 * S:
        net.run(net.now + S // 4)
    return (net.now - began) / S


def heartbeat_span(members: int, bytes_a_second: float) -> int:
    """The heartbeats' span for so many bytes."""
    size = message_bytes(Message(MessageKind.PING, MemberUpdate("n100", 1, 1)))
    return round(size * (members - 1) / max(1.0, bytes_a_second) * S)


def row(runs: list[MembershipRun]) -> str:
    """A row of the table."""
    found = sorted(t for r in runs for t in r.found)
    hours = sum(r.members for r in runs) * WATCH_S / 3600
    p99 = found[min(len(found) - 1, round(0.99 * (len(found) - 1)))]
    healed = [r.healed for r in runs if r.healed]
    first = runs[0]
    return (
        f"| {first.members} | {first.kind} | {CONDITIONS[first.condition][0]} | {len(runs)} | "
        f"{statistics.median(found):.2f} | {p99:.2f} | {sum(r.missed for r in runs)} | "
        f"{sum(r.false for r in runs) / hours:.2f} | {statistics.mean(r.messages for r in runs):.1f} | "
        f"{statistics.mean(r.bytes for r in runs):.0f} | "
        f"{f'{max(healed):.1f}' if healed else ''} |"
    )


@click.command()
@click.option("--members", default="3,12,40,200", show_default=True)
@click.option("--seeds", default=20, show_default=True)
@click.option("--kinds", default="swim,no health,beats", show_default=True)
@click.option("--jobs", default=8, show_default=True, help="Processes at a time.")
def main(members: str, seeds: int, kinds: str, jobs: int) -> None:
    """Print the table."""
    click.echo(
        "| members | kind | condition | seeds | last knows, median s | p99 s | not known | "
        "false deaths a member and hour | messages a member and s | bytes | healed, most s |"
    )
    click.echo("| --- " * 11 + "|")
    with ProcessPoolExecutor(jobs) as pool:
        for size in map(int, members.split(",")):
            spent = 0.0
            for kind, condition in product(kinds.split(","), range(len(CONDITIONS))):
                span = heartbeat_span(size, spent) if kind == "beats" else 0
                runs = list(
                    pool.map(play, [MembershipRun(kind, size, condition, s, span) for s in range(seeds)])
                )
                if kind == "swim" and condition == 0:
                    spent = statistics.mean(r.bytes for r in runs)
                click.echo(row(runs))


if __name__ == "__main__":
    main()
