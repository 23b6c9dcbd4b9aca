"""Jobs drawn ahead: when each comes, its class, its work, how long its client waits.

All is drawn before the run from one seed, so that what the schedulers do changes nothing of what is asked
of them. Each purpose has a generator of its own: another class or rate does not shift the draws of the
rest."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

NS_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class JobClassDemand:
    """One class of jobs: its share of them, its mean work (seconds of a standard core), and its clients."""

    name: str
    share: float
    mean_work_s: float
    budget_s: float
    shape: float = 1.0  # of the gamma distribution of its work: 1 is exponential, larger is steadier
    leaves: float = 0.0  # share of the clients that leave before their time is up
    retries: int = 0  # how often a client asks again after a refusal or a failure
    retry_wait_s: tuple[float, float] = (0.02, 0.08)  # before the first of them, doubled each time


@dataclass(frozen=True, slots=True)
class Spell:
    """From a time on (seconds), so many jobs a second."""

    since_s: float
    rate: float


@dataclass(frozen=True, slots=True)
class PlannedJob:
    """One job as a client will ask for it."""

    name: str
    demand: JobClassDemand
    at: int
    work_s: float
    leaves_at: int | None  # when its client leaves, if it does so early
    waits_s: tuple[float, ...]  # before each retry


def streams(seed: int, *purposes: str) -> dict[str, np.random.Generator]:
    """A generator for each purpose, independent of the others."""
    return {name: np.random.default_rng([seed, *name.encode()]) for name in purposes}


def draw(
    demands: Sequence[JobClassDemand], spells: Sequence[Spell], until_s: float, seed: int
) -> list[PlannedJob]:
    """The jobs of a run, in order: a Poisson process whose rate changes with the spells."""
    chance = streams(seed, "arrivals", "classes", "work", "leaving", "waits")
    shares = np.array([d.share for d in demands])
    shares = shares / shares.sum()
    jobs: list[PlannedJob] = []
    ends = [s.since_s for s in spells[1:]] + [until_s]
    for spell, end in zip(spells, ends, strict=True):
        at = spell.since_s
        while spell.rate > 0 and (at := at + float(chance["arrivals"].exponential(1 / spell.rate))) < end:
            demand = demands[int(chance["classes"].choice(len(demands), p=shares))]
            work = float(chance["work"].gamma(demand.shape, demand.mean_work_s / demand.shape))
            left, leaves = float(chance["leaving"].random()), float(chance["leaving"].random())
            first = [float(chance["waits"].uniform(*demand.retry_wait_s)) for _ in range(demand.retries)]
            at_ns = round(at * NS_PER_S)
            gone = at_ns + round(leaves * demand.budget_s * NS_PER_S) if left < demand.leaves else None
            jobs.append(
                PlannedJob(
                    f"{demand.name}.{len(jobs)}",
                    demand,
                    at_ns,
                    max(1e-6, work),
                    gone,
                    tuple(wait * 2**n for n, wait in enumerate(first)),
                )
            )
    return jobs
