"""Plays a script's schedulers in virtual time: the members are the real ones, the rest is made up."""

from __future__ import annotations

from collections.abc import Sequence

from hollowusher.scheduler.emulator.faults.history import (
    RIG,
    HistoryAction,
    HistoryEntry,
    acts,
    pairs,
    reports_of,
)
from hollowusher.scheduler.emulator.faults.links import KINDS, NS, Condition
from hollowusher.scheduler.emulator.faults.script_words import Expect, ScheduledFault
from hollowusher.scheduler.emulator.membership import MembershipNetwork
from hollowusher.scheduler.rules.membership.member import SwimMember

STARVED_SLICE_S = 0.2  # a starved process runs for its share of each of these
NOT_PLAYED = {"flood", "reset", "fail"}  # what has no meaning without sockets: said in the history


class VirtualPlay:
    """One play of schedulers n1 to nN; the history is complete once `run` has returned."""

    def __init__(
        self,
        members: int,
        mishaps: Sequence[ScheduledFault],
        expects: Sequence[Expect],
        length_s: float,
        seed: int,
        configured: int = 0,
    ) -> None:
        self.names = [f"n{n}" for n in range(1, members + 1)]
        listed = [f"n{n}" for n in range(1, max(members, configured) + 1)]
        self.net = MembershipNetwork(self.names, seed, configured=listed)
        self.length_s = length_s
        self.entries: list[HistoryEntry] = []
        self.acts = acts(mishaps, length_s)
        for act in self.acts:
            self.net.at(round(act.at_s * NS), lambda act=act: self._do(act))  # type: ignore[misc]
        for at_s in {e.at_s for e in expects if e.at_s >= 0}:
            self.net.at(round(at_s * NS), self._tell_states)

    def run(self) -> list[HistoryEntry]:
        """Play to the end; the history."""
        self.net.run(round(self.length_s * NS))
        reported = [
            HistoryEntry(at / NS, who, t.change.value, t.name, t.why, t.number)
            for at, who, t in self.net.history
        ]
        return sorted([*self.entries, *reported], key=lambda e: e.at)

    def _tell_states(self) -> None:
        for name, process in self.net.processes.items():
            peer = process.peer
            if process.up and self.net.now >= process.paused_until and isinstance(peer, SwimMember):
                standing = "minority" if peer.minority else "majority"
                self.entries.append(
                    HistoryEntry(self.net.now / NS, name, "state", ",".join(peer.present()), standing)
                )

    def _do(self, act: HistoryAction) -> None:
        self.entries.append(reports_of(act))
        net, fault = self.net, act.fault
        if fault.what in KINDS:
            if act.ends:
                net.links.end(act.number)
            else:
                amount = fault.amount * (NS if fault.what == "delay" else 1)
                net.links.begin(act.number, Condition(fault.what, pairs(fault), amount, fault.spread_s * NS))
        elif fault.what in NOT_PLAYED:
            if not act.ends:
                self.entries.append(HistoryEntry(act.at_s, RIG, "not-played", fault.what))
        else:
            for name in fault.who:
                self._befall(name, act)

    def _befall(self, name: str, act: HistoryAction) -> None:
        net, fault = self.net, act.fault
        match fault.what:
            case "kill":
                net.kill(name)
            case "start" | "restart":
                self.entries.append(HistoryEntry(act.at_s, name, "started"))
                net.start(name, net.member(name, fault.clock_s))
            case "stop":
                net.leave(name)
            case "pause" if not act.ends:
                net.pause(name, round(fault.for_s * NS))
            case "starve" if not act.ends:
                self._starve(name, fault.amount, act.at_s + fault.for_s)
            case "twin" if not act.ends:
                net.twin(name, round(fault.for_s * NS))
            case "rename":
                peer = net.processes[name].peer
                if isinstance(peer, SwimMember):
                    peer.set_contacts(net.now, fault.to)

    def _starve(self, name: str, share: float, until_s: float) -> None:
        if self.net.now < until_s * NS:
            self.net.pause(name, round((1 - share) * STARVED_SLICE_S * NS))
            self.net.at(
                self.net.now + round(STARVED_SLICE_S * NS), lambda: self._starve(name, share, until_s)
            )
