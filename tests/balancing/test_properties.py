"""Random sequences of valid events, after which every action must satisfy the rules.

The checker records events and actions itself and shares no code with the balancer.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollowusher.balancing import (
    Action,
    Arrival,
    Balancer,
    Cancel,
    ClientGone,
    Discovery,
    Effect,
    Ended,
    Event,
    Fail,
    Group,
    JobClass,
    Limits,
    Listed,
    ListKind,
    Outcome,
    Prices,
    Probe,
    Probed,
    Progress,
    Reading,
    Refuse,
    Rules,
    Send,
    Settings,
    Started,
    State,
    Via,
    Wake,
    Watch,
    Woken,
    WorkerList,
)
from hollowusher.balancing.interface import Goal
from tests.support.balancer import MS, S

RULES = Rules(
    drain_grace_ns=500 * MS,
    fall_multiple=2.5,
    fall_span_ns=2 * S,
    cold_share=0.2,
    warm_after_ns=10 * S,
    answer_grace_ns=20 * MS,
    ask_within_ns=10 * S,
)


@dataclass
class Try:
    """An attempt as recorded by the checker."""

    worker: int
    sent: int
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome not in (Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT)


@dataclass
class Case:
    """A request as recorded by the checker."""

    cls: JobClass
    deadline: int
    tries: list[Try] = field(default_factory=list)
    ended_at: int | None = None


class World:
    """Generates valid random events and checks each action against the rules."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        pick = self.rng.choice
        classes = [
            JobClass(
                f"c{i}",
                aim_ns=pick([50, 200, 900]) * MS,
                deadline_ns=4 * S,
                worth=pick([1.0, 5.0]),
                late_share=pick([0.0, 0.3]),
                stretch=pick([0.0, 2.0]),
                effect=effect,
                group=group,
                window_ns=pick([500, 3000]) * MS,
            )
            for i, (effect, group) in enumerate(
                [(Effect.SAFE, Group.ALL), (Effect.UNSAFE, Group.ALL), *((Effect.KEYED, g) for g in Group)]
            )
        ]
        classes = self.rng.sample(classes, pick([1, 2, 5]))  # includes settings with a single class
        self.settings = Settings(
            classes=tuple(classes),
            balancers=pick([1, 4]),
            zone="a",
            tick_ns=5 * MS,
            zones=pick([("a",), ("a", "b")]),
            discovery=pick(list(Discovery)),
            readings=pick(list(Via)),
            tells_start=pick([True, False]),
            progress_ns=pick([0, S]),
            rules=RULES,
            worth_by_work=pick([True, False]),
            reports_sizes=pick([True, False]),
            over_share_worth=pick([0.2, 1.0]),
            prices=Prices(cross_zone=pick([0.0, 0.16]), probe=pick([0.0, 0.0025])),
            goal=Goal(pick([0.5, 1.0]), pick([0.0, 0.2])),
            limits=Limits(
                cancel=pick([True, False]),
                probes=pick([True, False]),
                second_copies=pick([True, False]),
                max_attempts=pick([1, 2, 4]),
            ),
        )
        self.now = 10**15
        self.entries = {
            i: Listed(
                i,
                zone=pick(self.settings.zones),
                kind="k",
                cell=pick([1, 2]),
                started_ns=pick([0, 0, self.now - S]),
            )
            for i in range(1, pick([2, 5, 9]))
        }
        self.unavailable_since: dict[int, int] = {}
        self.cases: dict[str, Case] = {}
        self.out: list[tuple[str, int]] = []
        self.probing: list[int] = []
        self.unanswered_watches = 0
        self.wakes: list[int] = []
        self.cold_sends: list[tuple[int, int]] = []
        self.sends = 0
        self.balancer = Balancer(self.settings, seed, self.now)
        self.step([WorkerList(ListKind.CACHED, tuple(self.entries.values()))])

    # --- events -----------------------------------------------------------------------------------

    def play(self, steps: int) -> None:
        """Run random steps, then let time pass without events until every request must have its answer."""
        for _ in range(steps):
            self.now += self.rng.choice([5, 5, 20, 100, 700]) * MS
            self.pop_due_wakes()
            self.step([e for _ in range(self.rng.randint(1, 4)) for e in self.event()])
        for _ in range(1200):
            self.now += 5 * MS
            if self.pop_due_wakes():
                self.step([Woken()])
        for request, case in self.cases.items():
            assert case.ended_at is not None, f"{request} has no answer"

    def pop_due_wakes(self) -> bool:
        due = [w for w in self.wakes if w <= self.now]
        self.wakes = [w for w in self.wakes if w > self.now]
        return bool(due)

    def event(self) -> list[Event]:
        rng = self.rng
        what = rng.random()
        if what < 0.35:
            request, cls = f"r{len(self.cases)}", rng.choice(self.settings.classes)
            left = rng.choice([200, 1500, 4000]) * MS
            self.cases[request] = Case(cls, self.now + left)
            return [
                Arrival(
                    request,
                    cls.name,
                    left,
                    rng.choice([0, 100 * MS]),
                    rng.choice([1.0, 2.0]),
                    retry=rng.random() < 0.2,
                    over_share=rng.random() < 0.2,
                )
            ]
        if what < 0.75 and self.out:
            request, number = self.out[rng.randrange(len(self.out))]
            worker = self.cases[request].tries[number].worker
            update = rng.random()
            if update < 0.25:
                return [Started(request, number, worker)]
            if update < 0.35:
                return [Progress(request, number, worker, 0.5)]
            self.out.remove((request, number))
            case = self.cases[request]
            outcome = rng.choice([Outcome.OK, Outcome.OK, *Outcome])
            case.tries[number].outcome = outcome
            if outcome is Outcome.OK and case.ended_at is None:
                case.ended_at = self.now
            reading = Reading(free_slots=float(rng.randint(0, 4))) if rng.random() < 0.7 else None
            return [Ended(request, number, worker, outcome, case.ended_at is not None, reading)]
        if what < 0.82 and self.probing:
            worker = self.probing.pop(rng.randrange(len(self.probing)))
            ok = rng.random() < 0.8
            return [Probed(worker, ok, Reading(free_slots=float(rng.randint(0, 4))) if ok else None)]
        if what < 0.87:
            open_cases = [r for r, c in self.cases.items() if c.ended_at is None]
            if open_cases:
                request = rng.choice(open_cases)
                self.cases[request].ended_at = self.now
                return [ClientGone(request)]
        if what < 0.95 and (self.settings.discovery is Discovery.PUSH or self.unanswered_watches):
            self.unanswered_watches = max(0, self.unanswered_watches - 1)
            return [self.change()]
        if self.unanswered_watches:
            self.unanswered_watches -= 1
            return [WorkerList(ListKind.FAILED)]
        return [Woken()]

    def change(self) -> WorkerList:
        rng = self.rng
        worker = rng.choice(list(self.entries))
        old = self.entries[worker]
        state = rng.choice([State.READY, State.READY, State.DRAINING, State.GONE])
        started = self.now if rng.random() < 0.3 else old.started_ns
        entry = Listed(worker, old.zone, old.kind, old.cell, state, rng.choice([1.0, 2.5]), started)
        self.entries[worker] = entry
        if state is State.READY:
            self.unavailable_since.pop(worker, None)
        else:
            self.unavailable_since.setdefault(worker, self.now)
        return WorkerList(ListKind.CHANGES, (entry,))

    # --- the checker ------------------------------------------------------------------------------

    def step(self, events: list[Event]) -> None:
        for action in self.balancer.step(self.now, events):
            self.check(action)
        for request, case in self.cases.items():
            late = self.now > case.deadline + RULES.answer_grace_ns + 5 * MS
            assert case.ended_at is not None or not late or self.is_within_time_jump(case), request

    def is_within_time_jump(self, case: Case) -> bool:
        """Return whether a time step of up to 0.7 s, in which no action was possible, explains the delay."""
        return self.now - case.deadline <= 700 * MS

    def check(self, action: Action) -> None:
        match action:
            case Send(request, worker, _):
                self.check_send(self.cases[request], request, worker)
            case Refuse(request):
                case = self.cases[request]
                assert case.ended_at in (None, self.now)  # the end event may follow later in the same batch
                case.ended_at = self.now
                ran = any(t.may_have_run for t in case.tries)
                keyed_for_all = case.cls.effect is Effect.KEYED and case.cls.group is Group.ALL
                assert not ran or case.cls.effect is Effect.SAFE or keyed_for_all
            case Fail(request):
                assert self.cases[request].ended_at in (None, self.now)
                self.cases[request].ended_at = self.now
            case Cancel(request, attempt):
                assert self.settings.limits.cancel
                assert attempt < len(self.cases[request].tries)
            case Probe(worker):
                assert self.settings.limits.probes and worker in self.entries
                self.probing.append(worker)
            case Watch():
                self.unanswered_watches += 1
            case Wake(in_ns):
                assert in_ns > 0
                self.wakes.append(self.now + in_ns)

    def check_send(self, case: Case, request: str, worker: int) -> None:
        cls, limits = case.cls, self.settings.limits
        self.sends += 1
        assert case.ended_at is None, "sent after the end"
        assert self.now < case.deadline
        assert len(case.tries) < limits.max_attempts
        if not limits.second_copies:
            assert all(t.outcome is not None for t in case.tries)
        ran = [t for t in case.tries if t.may_have_run]
        if ran and cls.effect is not Effect.SAFE:
            assert cls.effect is Effect.KEYED, "an unsafe job went out again"
            first, here = self.entries[ran[0].worker], self.entries[worker]
            assert self.now < ran[0].sent + cls.window_ns
            same = {Group.ALL: True, Group.ZONE: first.zone == here.zone, Group.CELL: first.cell == here.cell}
            assert same[cls.group], "a keyed job left its group"
        assert self.now <= self.unavailable_since.get(worker, self.now) + RULES.drain_grace_ns
        self.check_cold(worker)
        case.tries.append(Try(worker, self.now))
        self.out.append((request, len(case.tries) - 1))

    def check_cold(self, worker: int) -> None:
        """A worker of 4 slots does at most 4 slot-seconds per second; a job counts as at least 50 ms here."""
        started = self.entries[worker].started_ns
        age = self.now - started
        self.cold_sends.append((worker, self.now))
        if started == 0 or age >= RULES.warm_after_ns:
            return
        since = max(started, self.now - RULES.fall_span_ns)
        span = [t for w, t in self.cold_sends if w == worker and t > since]
        level = RULES.cold_share + (1 - RULES.cold_share) * age / RULES.warm_after_ns
        budget = 2.5 * level * 4 * RULES.fall_span_ns / self.settings.balancers
        assert len(span) == 1 or len(span) * 50 * MS <= budget


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(min_value=0, max_value=2**32), st.integers(min_value=20, max_value=150))
def test_rules_hold_whatever_comes(seed: int, steps: int) -> None:
    World(seed).play(steps)


def test_random_runs_send_and_repeat_jobs() -> None:
    worlds = [World(seed) for seed in range(20)]
    for world in worlds:
        world.play(100)
    assert sum(w.sends for w in worlds) > 200
    assert sum(len(c.tries) > 1 for w in worlds for c in w.cases.values()) > 20


@pytest.mark.parametrize("seed", range(5))
def test_same_events_same_actions(seed: int) -> None:
    first, second = World(seed), World(seed)
    first.play(80)
    second.play(80)
    assert [(t.worker, t.sent) for c in first.cases.values() for t in c.tries] == [
        (t.worker, t.sent) for c in second.cases.values() for t in c.tries
    ]
