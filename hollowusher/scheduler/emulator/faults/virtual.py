"""Plays a script's schedulers in virtual time: the members are the real ones, the rest is made up."""

from __future__ import annotations

from collections.abc import Sequence

from hollowusher.scheduler.emulator.faults.history import RIG, Act, Entry, acts, pairs, told_of
from hollowusher.scheduler.emulator.faults.links import KINDS, NS, Condition
from hollowusher.scheduler.emulator.faults.words import Expect, Mishap
from hollowusher.scheduler.emulator.membership import PeerNet
from hollowusher.scheduler.rules.membership.member import Member

STARVED_SLICE_S = 0.2  # a starved process runs for its share of each of these
NOT_PLAYED = {"flood", "reset", "fail"}  # what has no meaning without sockets: said in the history


class VirtualPlay:
    """One play of schedulers n1 to nN; the history is complete once `run` has returned."""

    def __init__(
        self,
        members: int,
        mishaps: Sequence[Mishap],
        expects: Sequence[Expect],
        length_s: float,
        seed: int,
        configured: int = 0,
    ) -> None:
        self.names = [f"n{n}" for n in range(1, members + 1)]
        listed = [f"n{n}" for n in range(1, max(members, configured) + 1)]
        self.net = PeerNet(self.names, seed, configured=listed)
        self.length_s = length_s
        self.entries: list[Entry] = []
        self.acts = acts(mishaps, length_s)
        for act in self.acts:
            self.net.at(round(act.at_s * NS), lambda act=act: self._do(act))  # type: ignore[misc]
        for at_s in {e.at_s for e in expects if e.at_s >= 0}:
            self.net.at(round(at_s * NS), self._tell_states)

    def run(self) -> list[Entry]:
        """Play to the end; the history."""
        self.net.run(round(self.length_s * NS))
        told = [
            Entry(at / NS, who, t.change.value, t.name, t.why, t.number) for at, who, t in self.net.history
        ]
        return sorted([*self.entries, *told], key=lambda e: e.at)

    def _tell_states(self) -> None:
        for name, process in self.net.processes.items():
            peer = process.peer
            if process.up and self.net.now >= process.paused_until and isinstance(peer, Member):
                standing = "minority" if peer.minority else "majority"
                self.entries.append(
                    Entry(self.net.now / NS, name, "state", ",".join(peer.present()), standing)
                )

    def _do(self, act: Act) -> None:
        self.entries.append(told_of(act))
        net, mishap = self.net, act.mishap
        if mishap.what in KINDS:
            if act.ends:
                net.links.end(act.number)
            else:
                amount = mishap.amount * (NS if mishap.what == "delay" else 1)
                net.links.begin(
                    act.number, Condition(mishap.what, pairs(mishap), amount, mishap.spread_s * NS)
                )
        elif mishap.what in NOT_PLAYED:
            if not act.ends:
                self.entries.append(Entry(act.at_s, RIG, "not-played", mishap.what))
        else:
            for name in mishap.who:
                self._befall(name, act)

    def _befall(self, name: str, act: Act) -> None:
        net, mishap = self.net, act.mishap
        match mishap.what:
            case "kill":
                net.kill(name)
            case "start" | "restart":
                self.entries.append(Entry(act.at_s, name, "started"))
                net.start(name, net.member(name, mishap.clock_s))
            case "stop":
                net.leave(name)
            case "pause" if not act.ends:
                net.pause(name, round(mishap.for_s * NS))
            case "starve" if not act.ends:
                self._starve(name, mishap.amount, act.at_s + mishap.for_s)
            case "twin" if not act.ends:
                net.twin(name, round(mishap.for_s * NS))
            case "rename":
                peer = net.processes[name].peer
                if isinstance(peer, Member):
                    peer.rename(net.now, mishap.to)

    def _starve(self, name: str, share: float, until_s: float) -> None:
        if self.net.now < until_s * NS:
            self.net.pause(name, round((1 - share) * STARVED_SLICE_S * NS))
            self.net.at(
                self.net.now + round(STARVED_SLICE_S * NS), lambda: self._starve(name, share, until_s)
            )
