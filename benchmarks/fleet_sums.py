"""What a whole fleet does together, scheduler by scheduler added up, and what it costs each of them.

    python -m benchmarks.fleet_sums [--seed 1] [--seconds 30]

Fleets of 2, 8, 40 and 200 schedulers with the program's own desk in virtual time.  A third of the nodes is
killed at 8 s and back, cold, at 14 s.  Then the program itself, started with a list of 8, 60, 200 and 4,096
nodes: its processor time until `ready`, and its memory.  Prints two Markdown tables.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from benchmarks.false_suspicion import USUAL, settings_for
from benchmarks.rig import S
from hollowusher.balancing import State
from hollowusher.scheduler.dispatch.model import Dispatch, DispatchCommand, ProbeNode, WatchNodeList
from hollowusher.scheduler.emulator.model import NodeKind
from hollowusher.scheduler.emulator.outside import free_port, node_rows, platform_settings
from hollowusher.scheduler.emulator.traffic import Spell, draw
from hollowusher.scheduler.emulator.virtual import Rehearsal, VirtualNode, VirtualScheduler

FLEETS = ((2, 8), (8, 16), (40, 60), (200, 128))  # schedulers, nodes
RATE = 1.9  # jobs a second and node


class Sums:
    """Counts orders as they are carried out; of cold nodes, the most of the budget that one span took."""

    def __init__(self, run: Rehearsal) -> None:
        self._run, run.watcher = run, self.see
        self.sends, self.probes = Counter[str](), 0
        self.calls, self.out = Counter[int](), Counter[int]()
        self.most_out, self.most_cold = 0, 0.0
        self._cold: dict[int, list[tuple[int, float]]] = {}

    def see(self, scheduler: VirtualScheduler, order: DispatchCommand) -> None:
        """One order of one scheduler."""
        match order:
            case Dispatch(attempt, job, _):
                self.sends[job.job_id] += 1
                node = self._run.nodes[attempt.node]
                self.most_out = max(self.most_out, len(node.out) + 1)
                self._count_cold(node, self._run._work[job.job_id])
            case ProbeNode():
                self.probes += 1
            case WatchNodeList():
                self.calls[self._run.heap.now // S] += 1

    def _count_cold(self, node: VirtualNode, work: float) -> None:
        warmth, kind, now = node.model.warmth(self._run.heap.now), node.model.kind, self._run.heap.now
        if warmth >= 1.0:
            return
        sent = self._cold.setdefault(node.number, [])
        sent.append((now, work))
        can = kind.cores * kind.speed * warmth * kind.fall_multiple
        self.most_cold = max(self.most_cold, sum(w for t, w in sent if t > now - S) / can)


def play(schedulers: int, nodes: int, seconds: float, seed: int) -> str:
    """One fleet; its row."""
    kinds = [
        NodeKind(2, (1.3, 0.95, 0.7, 0.7)[n % 4], 2.0, 20, refresh_ns=1_100_000_000) for n in range(nodes)
    ]
    run = Rehearsal(settings_for(schedulers), kinds, schedulers, seed)
    sums, replaced = Sums(run), range(1, nodes // 3 + 1)

    def kill(node: VirtualNode) -> None:
        node.model.kill(run.heap.now)
        run.list_says(node.number, State.GONE)

    def restart(node: VirtualNode) -> None:
        node.model.restart(run.heap.now)
        node.started_ns = run.heap.now
        run.list_says(node.number, State.READY)

    run.befall(8.0, replaced, kill)
    run.befall(14.0, replaced, restart)  # by then all have heard of the end
    run.ask_for(draw(USUAL, [Spell(0.0, RATE * nodes)], seconds, seed))
    begun = time.process_time()
    report = run.run(seconds)
    cost = (time.process_time() - begun) / report.jobs * 1e6
    tries = sum(sums.sends.values())
    return (
        f"| {schedulers}, {nodes} | {report.jobs} | {report.share:.3f} | {tries / report.jobs:.2f} | "
        f"{max(sums.sends.values())} | {sums.probes / report.jobs:.2f} | {max(sums.calls.values())} | "
        f"{sums.most_out} | {sums.most_cold:.2f} | {report.fallen} | {report.second_runs} | "
        f"{report.late_sends} | {report.unanswered} | {cost:.0f} |"
    )


def start(nodes: int) -> str:
    """The program with a list of so many nodes; its row."""
    grade = {"name": "eta-quote", "effect": "retryable", "goal_time_ns": S // 5, "deadline_ns": 5 * S}
    site = {
        "name": "n",
        "seed": "1",
        "limits": {"memory_mb": 192, "sockets": 512},
        "settings": platform_settings([grade]),
    }
    listen = f"127.0.0.1:{free_port()}"
    known = {"version": 1, "full": True, "servers": node_rows(range(20_000, 20_000 + nodes))}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps({**site, "listen": listen, "discovery": "127.0.0.1:9", "known": known}))
        process = subprocess.Popen(
            [sys.executable, "-m", "hollowusher"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "PROXY_CONFIG": str(path)},
        )
        assert process.stderr is not None
        while " ready " not in process.stderr.readline():
            pass
        spent = int(Path(f"/proc/{process.pid}/schedstat").read_text().split()[0]) / 1e6
        time.sleep(0.5)  # the list is taken in the desk's first step
        after = int(Path(f"/proc/{process.pid}/schedstat").read_text().split()[0]) / 1e6
        status = Path(f"/proc/{process.pid}/status").read_text()
        memory = int(status.partition("VmHWM:")[2].split()[0]) / 1024
        process.terminate()
        process.wait()
    return f"| {nodes} | {spent:.0f} ms | {after - spent:.0f} ms | {memory:.0f} MB |"


def main() -> None:
    """Print the tables."""
    words = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--seconds", type=float, default=30.0)
    words.add_argument("--fleets", type=int, nargs="*", default=[f[0] for f in FLEETS])
    given = words.parse_args()
    print(
        "| schedulers, nodes | jobs | service | attempts a job | most | probes a job | "
        "list calls, most in 1 s | most out at a node | of a cold budget, most in 1 s | fell | "
        "second runs | late sends | unanswered | CPU a job, us |"
    )
    print("| --- " * 14 + "|")
    for schedulers, nodes in FLEETS:
        if schedulers in given.fleets:
            print(play(schedulers, nodes, given.seconds, given.seed), flush=True)
    print("\n| nodes in the list | CPU to ready | in the half second after it | memory |")
    print("| --- " * 4 + "|")
    for nodes in (8, 60, 200, 4096):
        print(start(nodes), flush=True)


if __name__ == "__main__":
    main()
