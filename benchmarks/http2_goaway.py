"""Jobs of all classes while nodes send GOAWAY again and again: what ran, how often, and what was answered.

    python -m benchmarks.http2_goaway [--jobs 5000] [--rate 300] [--nodes 4] [--seed 1] [--calm]

The whole program runs on loopback against scripted HTTP/2 nodes in this process.  Each node sends GOAWAY
after a drawn number of streams, at times with a last id below what has come, refuses some streams, and now
and then breaks a connection.  The nodes count the runs.  Ends with 1 if a settle-shift ran twice, an
assign-rider ran again after its rack had forgotten it, or a job got no answer, another's, or one too late.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time
from collections import Counter

import uvloop

from benchmarks.rig import SchedulerProgram, settings_for
from hollowusher.scheduler.emulator.http2node import ALL_STREAMS, Http2Node, NodeJob, NodePlan, NodeSession
from hollowusher.scheduler.emulator.outside import OpenLoopClients
from hollowusher.scheduler.net.http2.settings import Http2Config

CLASSES = (("eta-quote", 0.6, 5.0), ("assign-rider", 0.25, 5.0), ("settle-shift", 0.15, 20.0))
KEY_MEMORY_S = 7.5


class Unruly(Http2Node):
    """A node that sends GOAWAY, refuses and breaks by its own draws."""

    def __init__(self, seed: int, calm: bool) -> None:
        super().__init__(self.draw, limit=20)
        self.calm = calm
        self.draws = random.Random(seed)
        self.began: dict[str, list[float]] = {}
        self.troubles: Counter[str] = Counter()
        self._until = self.draws.randint(5, 40)

    def draw(self, job: NodeJob) -> NodePlan:
        """What becomes of a job."""
        roll = self.draws.random()
        if roll < 0.01 and not self.calm:
            self.troubles["refused"] += 1
            return NodePlan("refuse")
        return NodePlan(run_s=self.draws.expovariate(1 / 0.02), report={"x0": 8.0})

    async def run(self, job: NodeJob, session: NodeSession) -> None:
        """Run it, and make trouble on its connection now and then."""
        self._until -= not self.calm
        if self._until <= 0 and session.last == ALL_STREAMS:
            self._until = self.draws.randint(5, 40)
            self._fault(session)
        await super().run(job, session)

    def ran(self, job: NodeJob) -> None:
        """It runs, and when."""
        self.began.setdefault(job.name, []).append(time.monotonic())

    def _fault(self, session: NodeSession) -> None:
        roll = self.draws.random()
        if roll < 0.15:
            self.troubles["cut"] += 1
            session.cut()
        elif roll < 0.5:
            self.troubles["graceful pair"] += 1
            session.goaway(ALL_STREAMS)
            asyncio.get_running_loop().call_later(0.01, session.goaway)
        else:
            # It may leave out what has come in part; what it has begun to run it must serve.
            complete = [s for s, j in session.jobs.items() if j.task is not None]
            self.troubles["goaway"] += 1
            session.goaway(max(complete, default=session.highest))


async def play(jobs: int, rate: float, nodes: int, seed: int, calm: bool) -> int:
    """Run it all; the exit code."""
    draws = random.Random(seed)
    unruly = [Unruly(draws.getrandbits(32), calm) for _ in range(nodes)]
    for node in unruly:
        await node.start()
    config = Http2Config(True, ("s-*",), connections=2)
    async with SchedulerProgram(settings_for(CLASSES), [n.port for n in unruly], config) as program:
        clients = OpenLoopClients(program.port)
        at, tasks = asyncio.get_running_loop().time() + 0.5, []
        for number in range(jobs):
            name, _, budget = draws.choices(CLASSES, [c[1] for c in CLASSES])[0]
            at += draws.expovariate(rate)
            tasks.append(asyncio.create_task(clients.ask(at, f"{name}.{number}", name, budget)))
        await asyncio.gather(*tasks)
    for node in unruly:
        await node.close()
    return tell(clients, unruly, jobs)


def tell(clients: OpenLoopClients, nodes: list[Unruly], jobs: int) -> int:
    """Print what happened; 1 where a rule broke."""
    runs: dict[str, list[float]] = {}
    for node in nodes:
        for name, times in node.began.items():
            runs.setdefault(name, []).extend(times)
    print(f"{'class':14}   jobs  served  refused  failed  late   runs  again")
    faults = 0
    for name, _, _ in CLASSES:
        mine = [a for a in clients.answers if a.job.startswith(name)]
        own = {job: sorted(times) for job, times in runs.items() if job.startswith(name)}
        again = sum(len(times) - 1 for times in own.values() if times)
        status = Counter(a.status for a in mine)
        late = sum(a.took_s > a.budget_s for a in mine)
        print(
            f"{name:14} {len(mine):6} {status[200]:7} {status[503]:8} {status[502]:7} {late:5} "
            f"{sum(map(len, own.values())):6} {again:6}"
        )
        faults += late + (again if name == "settle-shift" else 0)
        if name == "assign-rider":
            faults += sum(times[-1] - times[0] > KEY_MEMORY_S for times in own.values() if times)
    troubles: Counter[str] = sum((n.troubles for n in nodes), Counter())
    print("troubles:", ", ".join(f"{count} {what}" for what, count in sorted(troubles.items())))
    print(
        f"connections accepted {sum(n.accepted for n in nodes)}; "
        f"limits broken by us {sum(len(n.violations) for n in nodes)}; "
        f"jobs without one answer {jobs - len(clients.answers) + clients.broken}"
    )
    faults += jobs - len(clients.answers) + clients.broken + sum(len(n.violations) for n in nodes)
    print("rules broken:", faults)
    return 1 if faults else 0


def main() -> int:
    """The exit code."""
    words = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    words.add_argument("--jobs", type=int, default=5000)
    words.add_argument("--rate", type=float, default=300.0)
    words.add_argument("--nodes", type=int, default=4)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--calm", action="store_true", help="the same jobs without any trouble, to compare")
    given = words.parse_args()
    return uvloop.run(play(given.jobs, given.rate, given.nodes, given.seed, given.calm))


if __name__ == "__main__":
    sys.exit(main())
