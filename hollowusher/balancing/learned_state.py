"""What a decision module has learnt, as it passes from one process of a scheduler to the next.

Nothing is decided here: values are copied, of jobs that have ended and of workers as they have shown
themselves.  What concerns jobs that are open stays with the process that has them.
"""

from __future__ import annotations

from dataclasses import dataclass

from hollowusher.balancing.balancer import Balancer, WorkerState


@dataclass(frozen=True, slots=True)
class LearnedWorkerState:
    """What has been learnt of one worker.  Times are on the machine's monotonic clock."""

    worker: int
    started_ns: int  # of the process that it was learnt of
    bundle: float
    most_free: float
    most_memory: float
    others: float
    run: float | None
    pace_time: float
    pace_jobs: float
    note_delay: int | None
    suspect: bool
    dead: bool
    strikes: int
    good: int
    trial_at: int


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What has been learnt of all workers and classes."""

    runs: dict[str, float]
    hints: dict[str, float]
    in_time: dict[str, float]
    alike: list[tuple[str, float, float]]
    usual_pace: float
    bearable_pace: float
    workers: list[LearnedWorkerState]


def remember(balancer: Balancer) -> LearnedState:
    """What a decision module has learnt until now."""
    return LearnedState(
        dict(balancer.runs),
        dict(balancer.hints),
        dict(balancer.on_time_share),
        [(kind, size, free) for (kind, size), free in balancer.alike.items()],
        balancer.usual_pace,
        balancer.bearable_pace,
        [_of_worker(worker) for worker in balancer.workers.values()],
    )


def _of_worker(worker: WorkerState) -> LearnedWorkerState:
    return LearnedWorkerState(
        worker.id,
        worker.entry.started_ns,
        worker.control.bundle,
        worker.most_free,
        worker.most_memory,
        worker.others,
        worker.run,
        worker.shown.time,
        worker.shown.jobs,
        worker.note_delay,
        worker.suspect,
        worker.dead,
        worker.strikes,
        worker.good,
        worker.trial_at,
    )


def restore(balancer: Balancer, memory: LearnedState, now: int) -> None:
    """Begin with what another module has learnt; workers that this one does not know are left out."""
    balancer.runs.update(memory.runs)
    balancer.hints.update(memory.hints)
    known = {name: share for name, share in memory.in_time.items() if name in balancer.on_time_share}
    balancer.on_time_share.update(known)
    balancer.alike.update({(kind, size): free for kind, size, free in memory.alike})
    balancer.usual_pace, balancer.bearable_pace = memory.usual_pace, memory.bearable_pace
    for learnt in memory.workers:
        worker = balancer.workers.get(learnt.worker)
        if worker is not None and worker.entry.same_process(learnt.started_ns):
            _restore_worker(worker, learnt, now)


def _restore_worker(worker: WorkerState, learnt: LearnedWorkerState, now: int) -> None:
    worker.control.bundle = learnt.bundle
    worker.most_free, worker.most_memory = learnt.most_free, learnt.most_memory
    worker.others, worker.others_at = learnt.others, now
    worker.run, worker.note_delay = learnt.run, learnt.note_delay
    worker.shown.time, worker.shown.jobs = learnt.pace_time, learnt.pace_jobs
    worker.suspect, worker.dead = learnt.suspect, learnt.dead
    worker.strikes, worker.good, worker.trial_at = learnt.strikes, learnt.good, learnt.trial_at
