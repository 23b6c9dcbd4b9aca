"""Learned state of a balancer, which one process of a scheduler hands over to the next.

This module only copies values. They derive from finished jobs and from the observed behaviour of workers. The
state of open jobs stays with the process that holds them.
"""

from __future__ import annotations

from dataclasses import dataclass

from hollowusher.balancing.balancer import Balancer, WorkerState


@dataclass(frozen=True, slots=True)
class LearnedWorkerState:
    """Learned state of one worker. Times are on the machine's monotonic clock, in ns."""

    worker: int
    started_ns: int  # start time of the worker process that the state belongs to
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
    """Learned state of all classes and workers."""

    runs: dict[str, float]
    hints: dict[str, float]
    in_time: dict[str, float]
    alike: list[tuple[str, float, float]]
    usual_pace: float
    bearable_pace: float
    workers: list[LearnedWorkerState]


def remember(balancer: Balancer) -> LearnedState:
    """Return a copy of the state that a balancer has learned so far."""
    return LearnedState(
        dict(balancer.mean_runtimes),
        dict(balancer.mean_hints),
        dict(balancer.on_time_share),
        [(kind, size, free) for (kind, size), free in balancer.max_free_by_type.items()],
        balancer.median_slowdown,
        balancer.max_slowdown,
        [_capture_worker(worker) for worker in balancer.workers.values()],
    )


def _capture_worker(worker: WorkerState) -> LearnedWorkerState:
    return LearnedWorkerState(
        worker.id,
        worker.entry.started_ns,
        worker.controller.bundle,
        worker.max_free_slots,
        worker.max_free_memory,
        worker.other_slots,
        worker.mean_runtime,
        worker.slowdown_estimate.ratio_sum,
        worker.slowdown_estimate.jobs,
        worker.min_start_delay,
        worker.suspect,
        worker.unreachable,
        worker.suspicion_count,
        worker.successful_trials,
        worker.next_trial_at,
    )


def restore(balancer: Balancer, state: LearnedState, now: int) -> None:
    """Load the learned state of another balancer, except for workers that are not in this balancer's list."""
    balancer.mean_runtimes.update(state.runs)
    balancer.mean_hints.update(state.hints)
    known = {name: share for name, share in state.in_time.items() if name in balancer.on_time_share}
    balancer.on_time_share.update(known)
    balancer.max_free_by_type.update({(kind, size): free for kind, size, free in state.alike})
    balancer.median_slowdown, balancer.max_slowdown = state.usual_pace, state.bearable_pace
    for learned in state.workers:
        worker = balancer.workers.get(learned.worker)
        if worker is not None and worker.entry.same_process(learned.started_ns):
            _restore_worker(worker, learned, now)


def _restore_worker(worker: WorkerState, learned: LearnedWorkerState, now: int) -> None:
    worker.controller.bundle = learned.bundle
    worker.max_free_slots, worker.max_free_memory = learned.most_free, learned.most_memory
    worker.other_slots, worker.other_slots_at = learned.others, now
    worker.mean_runtime, worker.min_start_delay = learned.run, learned.note_delay
    worker.slowdown_estimate.ratio_sum, worker.slowdown_estimate.jobs = learned.pace_time, learned.pace_jobs
    worker.suspect, worker.unreachable = learned.suspect, learned.dead
    worker.suspicion_count, worker.successful_trials, worker.next_trial_at = (
        learned.strikes,
        learned.good,
        learned.trial_at,
    )
