"""One day of the whole system from one seed: start, traffic and faults, a calm end, and the judgement."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, replace

from hollowusher.simulation import reference_model as model
from hollowusher.simulation.actor_context import ActorContext, SignatureSource
from hollowusher.simulation.checks.rules import DeploymentRules, RuleViolation
from hollowusher.simulation.clients import MessageClients, MessageStream
from hollowusher.simulation.cluster import DeploymentSize, SimulatedCluster
from hollowusher.simulation.deployment import (
    CLIENT_HOST,
    FIXED,
    FIXED_RATE,
    OTHER,
    PULL,
    PUSH,
    RECEIVERS,
    SECOND_FIXED,
)
from hollowusher.simulation.edge_selector import EdgeSelector
from hollowusher.simulation.event_loop import VirtualTimeLoop
from hollowusher.simulation.faults.disks import FULL_DISK
from hollowusher.simulation.faults.injector import FaultInjector
from hollowusher.simulation.faults.script import FaultScript, ScriptedFault
from hollowusher.simulation.invariants import find_violations
from hollowusher.simulation.liveness import find_liveness_failures
from hollowusher.simulation.machine import ProgramFactory
from hollowusher.simulation.observations import InjectedFault, LivenessFailure
from hollowusher.simulation.operator_changes import OperatorChanges
from hollowusher.simulation.worker_fleet import WorkerFleet

FINAL_READ_S = 8.0
FINAL_QUERY_S = 20.0
LIVENESS_AFTER_S = 8.0  # so long after all is calm an order is taken and every member has caught up
ORDER_S = 5.0
CONCURRENT_QUERIES = 20
LINK_MBPS = 480.0
LARGE_SEGMENT_BYTES = 2 * 1024 * 1024
LONG_DELAYED_ROUTES = ("push", "pull")  # have delays of any length where the plan wants them
LONG_DELAYED_SHARE = 0.1  # at least
NO_DELAY_ENDS_S = 10.0  # so long before the end of the calm time the last delay ends
SIZES = (
    DeploymentSize(),
    DeploymentSize(),
    DeploymentSize(),
    DeploymentSize(plain_edges=3),
    DeploymentSize(4, 3, 4),
    DeploymentSize(4, 2, 3),
    DeploymentSize(3, 2, 4),
)


@dataclass(frozen=True)
class SimulationPlan:
    """How a day is played."""

    size: DeploymentSize | None = None  # None: drawn by lot
    traffic_s: float = 30.0
    calm_s: float = 30.0
    rate: float = 25.0  # messages a second
    inject_faults: bool = True
    inject_worker_faults: bool = True
    changes: bool = True
    moves_routes: bool = False  # most changes give an ordered route another service
    long_delay_s: float = 0.0  # the longest delay of messages; 0: a few seconds
    large_body_share: float = 0.0  # of the messages; large bodies go over links of a finite rate
    fault_kinds: tuple[str, ...] | None = None  # the faults to be used
    final_fault: bool = True
    script: tuple[ScriptedFault, ...] | None = None  # in place of faults by lot
    streams: tuple[MessageStream, ...] | None = None  # in place of the usual traffic
    endpoint_outages: tuple[tuple[float, float], ...] = ()  # of the fixed endpoint: from, seconds


def plan_of_script(script: FaultScript, rate: float) -> SimulationPlan:
    """Return the plan of a script."""
    return SimulationPlan(
        size=script.size,
        traffic_s=script.traffic_s,
        calm_s=script.calm_s,
        rate=rate,
        changes=script.changes,
        final_fault=False,
        script=script.faults,
    )


def draw_size(seed: int) -> DeploymentSize:
    """Draw the machines of a seed's run."""
    random_source = random.Random(f"{seed}/size")
    return random_source.choice(SIZES)


@dataclass
class SimulationResult:
    """What came of a day."""

    seed: int
    violations: list[RuleViolation]
    failures: list[str]  # errors that no code caught
    fault_log: list[str]
    figures: dict[str, float]

    @property
    def first_problem(self) -> str:
        """The first thing that is wrong, empty for none."""
        if self.violations:
            return str(self.violations[0])
        return self.failures[0] if self.failures else ""


class SimulationRun:
    """One seed's play."""

    def __init__(
        self, loop: VirtualTimeLoop, seed: int, plan: SimulationPlan, create_program: ProgramFactory
    ) -> None:
        self.loop = loop
        self.plan = plan
        self.size = plan.size or draw_size(seed)
        if plan.large_body_share:
            self.size = replace(self.size, link_mbps=LINK_MBPS, segment_bytes=LARGE_SEGMENT_BYTES)
        self.cluster = SimulatedCluster(loop, seed, self.size, create_program)
        self.observations = self.cluster.observations
        self.random_source = self.cluster.random("day")
        self.rules: dict[str, model.RouteRules] = {}
        cluster = self.cluster
        self.edge_selector = EdgeSelector(cluster, cluster.random("edges"))
        self.operator_changes = OperatorChanges(
            cluster, self.edge_selector, self.rules, moves_routes=plan.moves_routes
        )
        outside = ActorContext(cluster.http, self.observations, SignatureSource(), cluster.random("outside"))
        self.worker_fleet = WorkerFleet(cluster, outside, self.edge_selector.pull_address)
        operators = self.operator_changes if plan.changes else None
        self.fault_injector = FaultInjector(
            cluster, cluster.random("troubles"), plan.fault_kinds, operators, self.worker_fleet
        )
        self._clients = MessageClients(
            cluster.http,
            self.observations,
            cluster.random("clients"),
            CLIENT_HOST,
            self.edge_selector,
        )

    # ---- traffic

    def _streams(self, until: float) -> list[MessageStream]:
        if self.plan.streams is not None:
            return list(self.plan.streams)
        rate = self.plan.rate
        streams = [
            MessageStream("push", PUSH, "/push/", 0.22 * rate, callback_hosts=RECEIVERS),
            MessageStream("other", OTHER, "/other/", 0.03 * rate),
            MessageStream("line", PUSH, "/line/", 0.15 * rate, keys=6),
            MessageStream("short", PUSH, "/short/", 0.05 * rate, callback_hosts=RECEIVERS),
            MessageStream("pull", PULL, "/pulled/", 0.27 * rate, callback_hosts=RECEIVERS, delayed_share=0.3),
            MessageStream("ordered", FIXED, "/ordered/", 0.28 * rate, keys=6, callback_hosts=RECEIVERS),
        ]
        streams = [replace(stream, large_body_share=self.plan.large_body_share) for stream in streams]
        if not self.plan.long_delay_s:
            return streams
        return [self._with_long_delays(stream, until) for stream in streams]

    def _with_long_delays(self, stream: MessageStream, until: float) -> MessageStream:
        if stream.route not in LONG_DELAYED_ROUTES:
            return stream
        return replace(
            stream,
            delayed_share=max(stream.delayed_share, LONG_DELAYED_SHARE),
            long_delay_s=self.plan.long_delay_s,
            latest_due_at=until + max(0.0, self.plan.calm_s - NO_DELAY_ENDS_S),
        )

    async def _extra_traffic(self, until: float) -> None:
        """Send a few messages to the routes that changes add and drop."""
        random_source = self.cluster.random("extra")
        while self.loop.time() < until:
            await asyncio.sleep(random_source.uniform(0.3, 1.2))
            routes = self.operator_changes.document["routes"]
            extras = [route for route in routes if route["name"].startswith("extra-")]
            if extras:
                route = random_source.choice(extras)
                self._clients.post(MessageStream(route["name"], OTHER, route["pathPrefix"], 0.0))

    # ---- the course of the day

    async def play(self) -> None:
        """Play the complete run."""
        background = [
            asyncio.get_running_loop().create_task(work)
            for work in (self.edge_selector.check_readiness(), self.edge_selector.sample_generations())
        ]
        await self._begin()
        until = self.loop.time() + self.plan.traffic_s
        await self._play_traffic(until)
        self.observations.traffic_ended_at = until
        by_lot = self.plan.inject_faults and self.plan.script is None
        if self.plan.final_fault and by_lot and self.random_source.random() < 0.3:
            await self._final_fault()
        await self._end()
        for task in background:
            task.cancel()

    async def _play_traffic(self, until: float) -> None:
        work = [self._clients.play(stream, until) for stream in self._streams(until)]
        if self.plan.streams is None:
            work.append(self._extra_traffic(until))
        work += [self.worker_fleet.stop_endpoint(*outage) for outage in self.plan.endpoint_outages]
        if self.plan.changes:
            work += [self.operator_changes.play(until - 2.0), self.operator_changes.read_often(until)]
        if self.plan.inject_worker_faults:
            work += [
                self.worker_fleet.inject_worker_faults(until),
                self.worker_fleet.inject_endpoint_faults(until),
            ]
        if self.plan.script is not None:
            work.append(self.fault_injector.play_script(self.plan.script))
        elif self.plan.inject_faults:
            work += [
                self.fault_injector.inject_on_counted(until),
                self.fault_injector.inject_on_plain_edges(until),
            ]
        await asyncio.gather(*work)

    async def _begin(self) -> None:
        self.worker_fleet.start()
        if self.plan.moves_routes:
            self.worker_fleet.start_second_endpoint()
        started_at: InjectedFault = self.cluster.record_fault("begin", "all")
        for machine in self.cluster.machines.values():
            self.loop.call_outside(self.random_source.uniform(0.0, 0.3), self.cluster.start, machine)
        await asyncio.sleep(0.5)
        if not await self.operator_changes.send_first_configuration():
            self.cluster.program_failures.append("the first configuration was not acknowledged")
        await asyncio.sleep(4.0)
        started_at.ended_at = self.loop.time() - 4.0

    async def _final_fault(self) -> None:
        """All machines that count are killed or lose power right after an acknowledgement."""
        await self.fault_injector.context.wait_until_allowed()
        await self.operator_changes.send_change(self.loop.time() + 10.0)
        await self.fault_injector.final_fault()

    async def _end(self) -> None:
        self.fault_injector.restore()
        self.observations.calm_since = self.loop.time()
        await self._look_after_calm()
        await self._clients.wait_for_pending()
        await asyncio.sleep(self.observations.calm_since + self.plan.calm_s - self.loop.time())
        await self.operator_changes.operator.read(self.loop.time() + FINAL_READ_S, final=True)
        await self._ask_all(self.loop.time() + FINAL_QUERY_S)
        self.observations.ended_at = self.loop.time()

    async def _look_after_calm(self) -> None:
        """Liveness: all members have caught up, and an order is taken."""
        await asyncio.sleep(LIVENESS_AFTER_S)
        self.observations.liveness_failures += find_liveness_failures(self.cluster)
        if not await self.operator_changes.send_change(self.loop.time() + ORDER_S):
            self.observations.liveness_failures.append(
                LivenessFailure("order", "was not taken", self.loop.time())
            )

    async def _ask_all(self, give_up_at: float) -> None:
        waiting = [message for message in self.observations.messages.values() if message.accepted]

        async def ask() -> None:
            while waiting:
                await self._clients.query_until_known(waiting.pop(), give_up_at)

        await asyncio.gather(*(ask() for _ in range(CONCURRENT_QUERIES)))

    def check_rules(self) -> list[RuleViolation]:
        """Return the violations of the rules."""
        self.observations.calls_after_fencing = self.cluster.network.fencing_judge.found
        rates = {FIXED: FIXED_RATE, SECOND_FIXED: FIXED_RATE}
        return find_violations(self.observations, DeploymentRules(self.rules, rates, self.size.clock_skew_s))

    def figures(self) -> dict[str, float]:
        """Return what happened, in numbers."""
        messages = self.observations.messages.values()
        statuses = [message.status for message in messages]
        successes = {run.id for run in self.observations.runs if run.result == "success"}
        return {
            "messages": len(statuses),
            "accepted": statuses.count(202),
            "503": statuses.count(503),
            "504": statuses.count(504),
            "404": statuses.count(404),
            "unanswered": statuses.count(None),
            "runs": len(self.observations.runs),
            "succeeded": len(successes),
            "run again": len([run for run in self.observations.runs if run.result == "success"])
            - len(successes),
            "call-backs": len(self.observations.callbacks),
            "orders": len(self.observations.orders),
            "acknowledged": len([o for o in self.observations.orders if o.acknowledged_at is not None]),
            "internal messages": self.cluster.network.messages,
            "calls fenced": self.cluster.network.fencing_judge.rejections,
            "exchanges": self.cluster.http.exchanges,
            "callbacks of the loop": self.loop.callbacks,
            "virtual s": self.loop.time() - 1000.0,
        }


def play_seed(seed: int, plan: SimulationPlan, create_program: ProgramFactory) -> SimulationRun:
    """Play one seed and return the run, for a judgement of its own."""
    loop = VirtualTimeLoop()
    random.seed(seed)
    try:
        run = SimulationRun(loop, seed, plan, create_program)
        loop.play(run.play())
        return run
    finally:
        loop.shut()


def run_seed(seed: int, plan: SimulationPlan, create_program: ProgramFactory) -> SimulationResult:
    """Play one seed and judge it."""
    loop = VirtualTimeLoop()
    started_at = time.process_time()
    random.seed(seed)
    try:
        run = SimulationRun(loop, seed, plan, create_program)
        loop.play(run.play())
        found = run.check_rules()
        run.cluster.collect_failures()
        refused = [text for text in run.cluster.network.handler_failures if FULL_DISK not in text]
        failures = run.cluster.program_failures + refused + loop.failures
        figures = run.figures()
        figures["processor s"] = time.process_time() - started_at
        return SimulationResult(seed, found, failures, run.fault_injector.fault_log, figures)
    finally:
        loop.shut()
