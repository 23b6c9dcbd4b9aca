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
        dict(balancer.mean_runtimes),
        dict(balancer.mean_hints),
        dict(balancer.on_time_share),
        [(kind, size, free) for (kind, size), free in balancer.max_free_by_type.items()],
        balancer.median_slowdown,
        balancer.max_slowdown,
        [_of_worker(worker) for worker in balancer.workers.values()],
    )


def _of_worker(worker: WorkerState) -> LearnedWorkerState:
    return LearnedWorkerState(
        worker.id,
        worker.entry.started_ns,
        worker.controller.bundle,
        worker.max_free_slots,
        worker.max_free_memory,
        worker.other_slots,
        worker.mean_runtime,
        worker.slowdown_estimate.time,
        worker.slowdown_estimate.jobs,
        worker.min_start_delay,
        worker.suspect,
        worker.unreachable,
        worker.suspicion_count,
        worker.successful_trials,
        worker.next_trial_at,
    )


def restore(balancer: Balancer, memory: LearnedState, now: int) -> None:
    """Begin with what another module has learnt; workers that this one does not know are left out."""
    balancer.mean_runtimes.update(memory.runs)
    balancer.mean_hints.update(memory.hints)
    known = {name: share for name, share in memory.in_time.items() if name in balancer.on_time_share}
    balancer.on_time_share.update(known)
    balancer.max_free_by_type.update({(kind, size): free for kind, size, free in memory.alike})
    balancer.median_slowdown, balancer.max_slowdown = memory.usual_pace, memory.bearable_pace
    for learned in memory.workers:
        worker = balancer.workers.get(learned.worker)
        if worker is not None and worker.entry.same_process(learned.started_ns):
            _restore_worker(worker, learned, now)


def _restore_worker(worker: WorkerState, learned: LearnedWorkerState, now: int) -> None:
    worker.controller.bundle = learned.bundle
    worker.max_free_slots, worker.max_free_memory = learned.most_free, learned.most_memory
    worker.other_slots, worker.other_slots_at = learned.others, now
    worker.mean_runtime, worker.min_start_delay = learned.run, learned.note_delay
    worker.slowdown_estimate.time, worker.slowdown_estimate.jobs = learned.pace_time, learned.pace_jobs
    worker.suspect, worker.unreachable = learned.suspect, learned.dead
    worker.suspicion_count, worker.successful_trials, worker.next_trial_at = (
        learned.strikes,
        learned.good,
        learned.trial_at,
    )
