"""Faults planted in the protocol of copies, and what must find each of them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from itertools import product
from typing import Any

from hollowusher.scheduler.emulator.job_replication import JobReplicationNetwork, S
from hollowusher.scheduler.emulator.log_replication import ReplicationNetwork, RuleBroken, storm
from hollowusher.scheduler.rules.log_replication.job_replication import (
    FindJob,
    JobReplication,
    ReplicationAction,
    ReplicationInstruction,
)
from hollowusher.scheduler.rules.log_replication.log_replicas import LogReplicas
from hollowusher.scheduler.rules.log_replication.messages import (
    LearnReply,
    LearnRequest,
    LogEntry,
    VoteRequest,
)
from hollowusher.scheduler.rules.log_replication.replica import Replica, Role
from hollowusher.scheduler.rules.log_replication.takeover import NextStep

SETTINGS: tuple[dict[str, Any], ...] = (
    {"size": 3, "storage": False, "disks": ("kept",), "most_down": 1},
    {"size": 5, "storage": False, "disks": ("kept",), "most_down": 2},
    {"size": 3, "storage": True, "disks": ("kept",), "most_down": 3},
    {"size": 3, "storage": True, "disks": ("kept", "none"), "most_down": 1},
    {"size": 5, "storage": True, "disks": ("kept", "none", "old", "image"), "most_down": 2},
)


class CommitByOne(Replica):
    """What the leader holds counts as committed."""

    def _advance(self) -> None:
        self._commit_to(self.kept.last)


class VoteForgotten(Replica):
    """It does not remember whom it voted for."""

    def _set_term(self, term: int, voted: str) -> None:
        super()._set_term(term, "")


class NoFence(Replica):
    """A leader of an earlier term is heeded, and goes on though nobody answers it."""

    def _lead(self, now: int) -> None:
        self._led_at = now
        super()._lead(now)

    def _accepts_leader(self, now: int, term: int, sender: str) -> bool:
        return super()._accepts_leader(now, max(term, self.kept.term), sender)


class AnyVote(Replica):
    """It votes for whoever asks, however little that one holds."""

    def _is_up_to_date(self, m: VoteRequest) -> bool:
        return True


class OldTermsCount(Replica):
    """Entries of earlier terms are committed by counting who holds them."""

    def _countable(self, number: int) -> bool:
        return True


class ForgetfulVoter(Replica):
    """One that starts without its storage votes at once."""

    def _learn(self, now: int) -> None:
        self._finish_learning(now)


class LeaseForGood(Replica):
    """Who leads promises, whatever it hears."""

    def can_write(self, now: int) -> bool:
        return self.role is Role.LEADER and self.commit >= self._first_entry_of_term


class LeaseTooLong(Replica):
    """It takes its lease for twice as long as the others gave it."""

    def _renew(self, now: int) -> None:
        super()._renew(now)
        if now < self.lease_until:
            self.lease_until = now + 2 * self.timing.lease_ns


class WordBroken(Replica):
    """It votes for another while its leader has its word."""

    def _is_bound_by_lease(self, now: int, m: VoteRequest, sender: str) -> bool:
        return False


class NotStored(Replica):
    """Entries are vouched for before they are stored."""

    def _extend(self, entries: tuple[LogEntry, ...]) -> None:
        super()._extend(entries)
        self.stores.pop()


class ImageTrusted(Replica):
    """Nobody remembers how often another has started."""

    def _handle_learn_request(self, m: LearnRequest, sender: str) -> None:
        super()._handle_learn_request(m, sender)
        to, t = self.sends.pop()
        assert isinstance(t, LearnReply)
        self.sends.append((to, LearnReply(t.owner, t.nonce, t.term, 0, t.standing, t.leads, t.last)))


class EarlyAcknowledgement(Replica):
    """It promises before all that others promised is committed here."""

    def can_write(self, now: int) -> bool:
        return self.role is Role.LEADER and now < self.lease_until

    def _advance(self) -> None:
        if self.role is Role.LEADER and not self.peers:
            return
        super()._advance()
        if self.role is Role.LEADER:
            self._commit_to(self.kept.last)


REPLICAS: tuple[type[Replica], ...] = (
    CommitByOne,
    VoteForgotten,
    NoFence,
    AnyVote,
    ForgetfulVoter,
    LeaseForGood,
    LeaseTooLong,
    WordBroken,
    NotStored,
    EarlyAcknowledgement,
)


class IntentAfter(JobReplication):
    """An attempt goes out while its intent is still on its way."""

    def intent(self, now: int, now_ms: int, job: str, number: int, node: str, cell: str, handle: Any) -> None:
        super().intent(now, now_ms, job, number, node, cell, handle)
        if self._pending and not any(a.handle == handle for a in self.instructions):
            token = max(self._pending)
            self._pending.pop(token)
            self.instructions.append(ReplicationInstruction(ReplicationAction.GO, handle))


class TellsFirst(JobReplication):
    """A client is told before its answer is kept."""

    def answer(self, now: int, now_ms: int, answer: Any, handle: Any, until_ms: int) -> None:
        super().answer(now, now_ms, answer, handle, until_ms)
        self.instructions.append(ReplicationInstruction(ReplicationAction.ANSWER, handle, answer))


class TakesTwice(JobReplication):
    """A job that is being taken here is not known yet when it comes once more."""

    def _is_being_taken(self, job: str) -> bool:
        return False


class BothLook(JobReplication):
    """Of two who look for one job at the same time, each tells the other that it knows nothing."""

    def handle_message(self, now: int, now_ms: int, message: Any, sender: str) -> None:
        sought = self._searches.pop(message.job, None) if isinstance(message, FindJob) else None
        super().handle_message(now, now_ms, message, sender)
        if sought is not None:
            self._searches[message.job] = sought


class NeverLooks(JobReplication):
    """A job is looked for elsewhere only if its client says that it has asked before."""

    def __init__(self, replicas: LogReplicas, names: tuple[str, ...], classes: Any) -> None:
        super().__init__(replicas, names, classes, seek_once=False)


class SendsAgain(LogReplicas):
    """Whatever may have run is sent again."""

    def _may_send(self, log: Any, intent: Any, now_ms: int) -> bool:
        return True

    def step(self, *args: Any, **words: Any) -> None:
        super().step(*args, **words)
        self.adopted = [replace(a, next=NextStep.SEND) for a in self.adopted]


def find(make: type[Replica], seeds: int = 30, seconds: int = 30) -> tuple[str, int]:
    """What a planted fault breaks, and after how many plays; nothing where it is not found."""
    plays = 0
    for seed in range(seeds):
        for setting, quiet in product(SETTINGS, (False, True)):
            plays += 1
            net = ReplicationNetwork(setting["size"], seed, storage=setting["storage"], make=make)
            try:
                storm(net, seconds, seed, setting["disks"], setting["most_down"], quiet)
            except (RuleBroken, AssertionError) as broken:
                return str(broken), plays
            if lost := net.lost():
                return f"{len(lost)} promises lost", plays
    return "", plays


def jobs_storm(net: JobReplicationNetwork, seconds: int, seed: int, most_down: int = 1) -> None:
    """Jobs and faults at random for so long, then calm.  A process counts as down until it has learnt all."""
    chance, down = random.Random(seed), dict[str, int]()
    net.run(4 * S)
    end, number, net.die_at_go = net.now + seconds * S, 0, 0.01
    while net.now < end:
        net.run(net.now + round(chance.uniform(0.01, 0.05) * S))
        for name, process in net.processes.items():
            if process.replication is None:
                down.setdefault(name, net.now)
        number += 1
        net.ask(f"j{number}", chance.choice(("quote", "assign", "settle")))
        what, name = chance.random(), chance.choice(net.names)
        if what < 0.02 and len(down) < most_down and name not in down:
            net.crash(name)
            down[name] = net.now
        elif what < 0.06:
            for late in [n for n, t in down.items() if net.now - t > 1.5 * S]:
                if net.processes[late].replication is None:
                    net.start(late)
        elif what < 0.08:
            net.pause(name, round(chance.choice((0.05, 0.5, 1.5, 3.0)) * S))
        elif what < 0.11:
            other = chance.choice([n for n in net.names if n != name])
            net.cut(name, other, round(chance.uniform(0.2, 4) * S))
        elif what < 0.12:
            net.loss = chance.choice((0.0, 0.05, 0.2))
        for name in list(down):
            replication = net.processes[name].replication
            if replication is not None and not replication.replicas.is_learning():
                del down[name]
    net.loss = net.die_at_go = 0.0
    net.cuts.clear()
    for name in down:
        if net.processes[name].replication is None:
            net.start(name)
    net.run(net.now + 15 * S)


def find_in_jobs(
    replication: Callable[..., JobReplication] = JobReplication,
    replicas: Callable[..., LogReplicas] = LogReplicas,
    seeds: int = 10,
    seconds: int = 30,
) -> tuple[str, int]:
    """The same over jobs, clients and nodes."""
    for seed in range(seeds):
        net = JobReplicationNetwork(5, seed, replication=replication, make=replicas)
        jobs_storm(net, seconds, seed)
        if faults := net.faults():
            return faults[0], seed + 1
    return "", seeds
