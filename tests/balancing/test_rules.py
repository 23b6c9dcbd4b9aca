"""Boundary cases of the four send rules, tested through `Balancer.step`."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest

from hollowusher.balancing import (
    Cancel,
    ClientGone,
    Discovery,
    Event,
    Fail,
    Group,
    Listed,
    ListKind,
    Outcome,
    Probe,
    Refuse,
    Rules,
    Send,
    Started,
    State,
    Watch,
)
from tests.support.balancer import KEYED, LIMITS, MS, SAFE, Node, S, draining, only, sends, site, workers

NEVER_RAN = [Outcome.FULL, Outcome.UNREACHABLE, Outcome.NOT_SENT]
MAY_HAVE_RUN = [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED]


def first_send(node: Node, job_class: str, request: str = "r") -> Send:
    """Let a request arrive and return its first send."""
    node.arrive(request, job_class)
    made = sends(node.run(200 * MS))
    assert len(made) == 1
    return made[0]


# --- rule 1: one final answer, in time, and nothing after it --------------------------------------


@pytest.mark.parametrize("job_class", ["safe", "keyed", "unsafe"])
def test_request_without_workers_is_refused_before_deadline(job_class: str) -> None:
    node = Node()
    node.arrive("r", job_class, left=5 * S)
    made = [(at, a) for at, a in node.log if isinstance(a, Refuse | Fail)]
    assert made == []
    arrived = node.now
    node.run(6 * S)
    made = [(at, a) for at, a in node.log if isinstance(a, Refuse | Fail)]
    assert [a for _, a in made] == [Refuse("r")]
    assert made[0][0] <= arrived + 5 * S


def test_an_unsafe_job_without_an_answer_fails_at_its_deadline() -> None:
    node = Node(workers=workers(1))
    arrived = node.now
    first_send(node, "unsafe")
    actions = node.run(6 * S)
    assert [a for a in actions if isinstance(a, Refuse | Fail)] == [Fail("r")]
    when = next(at for at, a in node.log if isinstance(a, Fail))
    assert arrived + 4900 * MS <= when <= arrived + 5 * S


def test_no_send_or_answer_after_final_answer_or_disconnect() -> None:
    for end in ("answer", "gone"):
        node = Node(workers=workers(1, 2))
        send = first_send(node, "safe")
        if end == "answer":
            node.ended(send, Outcome.OK)
        else:
            assert Cancel("r", 0) in node.step(ClientGone("r"))
        later = node.run(10 * S)
        assert not [a for a in later if isinstance(a, Send | Refuse | Fail)]


def test_client_gone_while_queued_gets_no_answer() -> None:
    node = Node()
    node.arrive("r", "safe")
    node.step(ClientGone("r"))
    node.listing(ListKind.FULL, *workers(1))
    assert not [a for a in node.run(10 * S) if isinstance(a, Send | Refuse | Fail)]


# --- rule 2: no duplicate effect -------------------------------------------------------------------


@pytest.mark.parametrize("outcome", NEVER_RAN)
@pytest.mark.parametrize("job_class", ["safe", "keyed", "unsafe"])
def test_job_that_never_ran_is_resent(job_class: str, outcome: Outcome) -> None:
    node = Node(workers=workers(1, 2))
    send = first_send(node, job_class)
    node.ended(send, outcome)
    assert [a.request for a in sends(node.run(400 * MS))] == ["r"]


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_an_unsafe_job_that_may_have_run_fails(outcome: Outcome) -> None:
    node = Node(workers=workers(1, 2))
    send = first_send(node, "unsafe")
    assert Fail("r") in node.ended(send, outcome)
    assert not sends(node.run(5 * S))


@pytest.mark.parametrize("outcome", [*MAY_HAVE_RUN, *NEVER_RAN])
def test_safe_job_is_resent_after_any_failure(outcome: Outcome) -> None:
    node = Node(workers=workers(1, 2))
    send = first_send(node, "safe")
    node.ended(send, outcome)
    assert len(sends(node.run(400 * MS))) == 1


@pytest.mark.parametrize(
    ("group", "entry", "again"),
    [
        (Group.ALL, Listed(2, zone="b", cell=9), True),
        (Group.ZONE, Listed(2, zone="a", cell=9), True),
        (Group.ZONE, Listed(2, zone="b", cell=1), False),
        (Group.CELL, Listed(2, zone="b", cell=1), True),
        (Group.CELL, Listed(2, zone="a", cell=9), False),
    ],
)
def test_a_keyed_job_is_repeated_inside_its_group_only(group: Group, entry: Listed, again: bool) -> None:
    node = Node(only(replace(KEYED, group=group)), workers=[Listed(1, zone="a", cell=1)])
    send = first_send(node, "keyed")
    node.listing(ListKind.FULL, Listed(1, zone="a", cell=1, state=State.DRAINING), entry)
    node.ended(send, Outcome.RESET)
    made = node.run(1500 * MS)
    assert bool(sends(made)) is again
    if not again:
        ends = [a for a in node.run(10 * S) if isinstance(a, Refuse | Fail)]
        assert ends == [Fail("r")]


def test_a_keyed_job_is_repeated_until_the_last_moment_of_its_window() -> None:
    window = 2 * S
    for late, again in ((-60 * MS, True), (0, False)):
        node = Node(only(KEYED), workers=workers(1))
        send = first_send(node, "keyed")
        sent = next(at for at, a in node.log if a == send)
        node.listing(ListKind.CHANGES, draining(1))
        node.run(sent + window + late - node.now)
        node.ended(send, Outcome.RESET)
        node.listing(ListKind.CHANGES, *workers(2))
        assert bool(sends(node.run(50 * MS))) is again


def test_the_window_counts_from_the_first_attempt_that_may_have_run() -> None:
    node = Node(only(KEYED), workers=workers(1), free={1: 1.0})
    send = first_send(node, "keyed")
    node.run(400 * MS)
    node.ended(send, Outcome.FULL)
    second = sends(node.run(1200 * MS))
    assert len(second) == 1
    node.run(700 * MS)
    node.listing(ListKind.CHANGES, *workers(2))
    node.ended(second[0], Outcome.RESET, attempt=1)
    assert len(sends(node.run(100 * MS))) == 1


@pytest.mark.parametrize("group", list(Group))
def test_a_keyed_job_that_may_have_run_is_refused_only_where_all_drop_repeats(group: Group) -> None:
    node = Node(only(replace(KEYED, group=group), limits=replace(LIMITS, max_attempts=1)), workers=workers(1))
    send = first_send(node, "keyed")
    ends = [a for a in node.ended(send, Outcome.RESET) if isinstance(a, Refuse | Fail)]
    assert ends == [Refuse("r") if group is Group.ALL else Fail("r")]


def test_attempts_stop_at_the_limit() -> None:
    node = Node(only(SAFE), workers=workers(1, 2, 3))
    node.arrive("r", "safe")
    made = sends(node.run(200 * MS))
    for attempt in range(3):
        assert len(made) == 1
        answer = node.ended(made[0], Outcome.RESET, attempt)
        made = sends(node.run(400 * MS))
    assert made == []
    assert Refuse("r") in answer


def test_no_second_copy_where_forbidden() -> None:
    node = Node(only(SAFE, limits=replace(LIMITS, second_copies=False)), workers=workers(1, 2))
    first_send(node, "safe")
    assert not sends(node.run(4 * S))


# --- rule 3: no sends to draining workers -----------------------------------------------------------


@pytest.mark.parametrize("state", [State.DRAINING, State.GONE])
def test_no_sends_after_reported_drain(state: State) -> None:
    node = Node(workers=workers(1))
    node.listing(ListKind.CHANGES, Listed(1, zone="a", kind="k", state=state))
    node.arrive("r", "safe")
    assert not sends(node.run(3 * S))
    node.listing(ListKind.CHANGES, *workers(1))
    node.arrive("r2", "safe")
    assert [a.request for a in sends(node.run(S))] == ["r2"]


def test_a_worker_missing_from_a_complete_list_is_gone_and_a_change_list_removes_none() -> None:
    node = Node(workers=workers(1, 2))
    node.listing(ListKind.CHANGES, *workers(2))
    node.listing(ListKind.FULL, *workers(2))
    for i in range(6):
        node.arrive(f"r{i}", "safe")
    assert {a.worker for a in sends(node.run(S))} == {2}


def test_list_is_requested_repeatedly_while_calls_fail() -> None:
    node = Node(site(discovery=Discovery.ASK, rules=Rules(ask_within_ns=10 * S)), workers=workers(1))
    assert Watch() in [a for _, a in node.log]
    node.listing(ListKind.FAILED)
    asked = [at for at, a in node.log if isinstance(a, Watch)]
    node.run(30 * S)
    for _ in range(20):
        node.listing(ListKind.FAILED)
        node.run(3 * S)
    asked = [at for at, a in node.log if isinstance(a, Watch)]
    gaps = [b - a for a, b in itertools.pairwise(asked)]
    assert len(asked) >= 20 and max(gaps) < 10 * S


def test_returning_worker_is_probed_again() -> None:
    """Probes stopped while the worker was gone. It kept its last reading forever and received no bundle."""
    node = Node()
    node.free[1] = 4.0
    node.listing(ListKind.FULL, *workers(1))
    node.arrive("a", "safe")
    assert Probe(1) in node.run(200 * MS)
    node.listing(ListKind.CHANGES, Listed(1, zone="a", kind="k", state=State.GONE))
    node.arrive("b", "safe")
    assert not [a for a in node.run(3 * S) if isinstance(a, Probe)]
    node.listing(ListKind.CHANGES, *workers(1))
    assert Probe(1) in node.run(S)


# --- rule 4: a cold worker is not overloaded --------------------------------------------------------

COLD = Rules(fall_multiple=2.0, fall_span_ns=2 * S, cold_share=0.2, warm_after_ns=20 * S)


def cold_sends(balancers: int) -> list[int]:
    """Return the times of sends to a newly started worker while a burst of long jobs waits, in ns."""
    node = Node(only(SAFE, balancers=balancers, rules=COLD, limits=replace(LIMITS, max_attempts=1)))
    node.free[1] = 8.0
    node.listing(ListKind.FULL, *workers(1, started_ns=node.now))
    for i in range(60):
        node.arrive(f"r{i}", "safe")
    out: list[int] = []
    for _ in range(200):
        for send in sends(node.run(100 * MS)):
            out.append(node.now)
            node.started(send)
    return out


@pytest.mark.parametrize("balancers", [1, 4])
def test_cold_worker_receives_at_most_own_share_per_span(balancers: int) -> None:
    # A job of an unknown class is expected to run for its aim, 0.2 s. In the first span the worker does at
    # most (0.2 + 0.8·2/20)·8 slots·2 s = 4.48 slot-seconds, so all balancers may send 8.96 s of work: 44
    # jobs, and one of four balancers 11.
    made = cold_sends(balancers)
    first_span = [t for t in made if t <= made[0] + 2 * S]
    assert 1 <= len(first_span) <= 44 // balancers


def test_a_restart_under_the_same_name_is_cold_again() -> None:
    node = Node(only(SAFE, balancers=8, rules=COLD))
    node.free[1] = 1.0
    node.listing(ListKind.FULL, *workers(1))
    node.listing(ListKind.CHANGES, *workers(1, started_ns=node.now))
    for i in range(10):
        node.arrive(f"r{i}", "safe")
    # One slot and a share of an eighth: 0.28 s · 2 · 2 / 8 in a span of 2 s is less than one job of 0.2 s.
    assert len(sends(node.run(300 * MS))) <= 1


def test_updates_for_ended_attempts_have_no_effect() -> None:
    node = Node(workers=workers(1))
    send = first_send(node, "safe")
    node.ended(send, Outcome.OK)
    notes: list[Event] = [Started("r", 0, 1), Started("r", 7, 1), Started("x", 0, 1), Started("r", 0, 99)]
    for event in (*notes, ClientGone("x"), ClientGone("r")):
        assert not [a for a in node.step(event) if isinstance(a, Send | Refuse | Fail | Cancel)]


def test_balancers_take_turns_when_share_is_below_one_job() -> None:
    """Fifty balancers always have a job for a worker with one slot that has just started.

    A job of an unknown class may cost 0.4 s. All balancers together use 0.6 · 2 times the work that the
    worker can do. In ten seconds, while its level rises from 0.2 to 0.6, this is 4.8 s or twelve jobs. In any
    two seconds the rule allows 2 · 0.6 · 2 s = 2.4 s or six jobs. When each balancer waited until its share
    had paid for a job, all balancers sent at the same time.
    """
    made: list[int] = []
    for me in range(50):
        node = Node(only(SAFE, balancers=50, me=me, rules=COLD), seed=me)
        start = node.now
        node.free[1] = 1.0
        node.listing(ListKind.FULL, *workers(1, started_ns=start))
        for i in range(50):  # there is always a job that could be sent
            node.arrive(f"r{i}", "safe")
            node.run(200 * MS)
        made += [at - start for at, action in node.log if isinstance(action, Send)]
    assert 3 <= len(made) <= 12
    assert max(sum(t <= u < t + 2 * S for u in made) for t in made) <= 6
