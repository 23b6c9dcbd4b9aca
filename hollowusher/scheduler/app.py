"""Assembles the scheduler process from its configuration, runs it, and shuts it down gracefully."""

from __future__ import annotations

import asyncio
import random
import resource
import signal
import time
from collections.abc import Callable, Mapping
from functools import partial

import uvloop

from hollowusher.balancing.interface import Discovery, JobClass
from hollowusher.scheduler.component import Component
from hollowusher.scheduler.config import SchedulerConfig, load
from hollowusher.scheduler.dispatch.dispatcher import JobDispatcher
from hollowusher.scheduler.dispatch.metrics import SchedulerMetrics
from hollowusher.scheduler.dispatch.worker_registry import WorkerRegistry
from hollowusher.scheduler.effects import EffectExecutor
from hollowusher.scheduler.fronts.common import JobIds
from hollowusher.scheduler.fronts.platform.clients import PlatformClients
from hollowusher.scheduler.fronts.platform.discovery import NodeListWatch
from hollowusher.scheduler.fronts.platform.nodes import PlatformNodes
from hollowusher.scheduler.log import LogWriter
from hollowusher.scheduler.net.owner import DispatcherOwner
from hollowusher.scheduler.net.pool import Pool
from hollowusher.scheduler.net.ring import ring_bytes
from hollowusher.scheduler.operations import NODE_SHARE, SPARE_SOCKETS, Operations
from hollowusher.scheduler.reload import Reloads
from hollowusher.scheduler.retune import Retuning
from hollowusher.scheduler.rules.node_list import NodeListBackoff
from hollowusher.scheduler.settings.model import ConfigError

_READ = partial(load, again=True)


def descriptor_limit(reported: int) -> int:
    """Return the usable number of file descriptors: the configured number, at most RLIMIT_NOFILE."""
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return reported if allowed == resource.RLIM_INFINITY else min(reported, allowed)


async def serve(
    config: SchedulerConfig,
    log: LogWriter,
    stop: asyncio.Event | None = None,
    again: asyncio.Event | None = None,
    read: Callable[[], SchedulerConfig] = _READ,
) -> None:
    """Run one scheduler until `stop` is set, then shut it down gracefully.

    SIGTERM and SIGINT set `stop`, and SIGHUP sets `again`, which reloads the configuration with `read`.  A
    caller that passes its own `stop` gets no signal handlers.
    """
    log.attach(asyncio.get_running_loop().call_later)
    # By default asyncio prints unhandled exceptions to standard error from the event loop's thread; a stalled
    # reader of that pipe would block the event loop.
    asyncio.get_running_loop().set_exception_handler(
        lambda _, reported: log.error(
            "loop-fault", str(reported.get("message", "")), fault=repr(reported.get("exception"))
        )
    )
    sockets = descriptor_limit(config.sockets) - SPARE_SOCKETS
    sockets = max(16, sockets)
    if config.stomp.enabled:
        sockets = max(16, sockets - config.stomp.most_clients - 2 * len(config.stomp.nodes))
    to_nodes = int(sockets * NODE_SHARE)
    ring = ring_bytes(config.memory_mb, config.sockets)
    pool = Pool(config.connect_timeout_s, config.idle_close_s, to_nodes, ring)
    registry, ids = WorkerRegistry(), JobIds()
    figures = SchedulerMetrics(c.name for c in config.settings.classes)
    executor = EffectExecutor(registry, pool, log)
    dispatcher = JobDispatcher(config.settings, config.seed, time.monotonic_ns())
    admission, carry_out = None, executor.carry_out
    if config.copies.listen is not None:  # a disabled feature is not imported
        from hollowusher.scheduler.net.log_replication.admission import ReplicationAdmission
        from hollowusher.scheduler.net.log_replication.node import CopiesNode

        limits = config.settings.limits
        admission = ReplicationAdmission(
            config.copies.classes,
            registry,
            lambda event: owner.post(event),
            executor.carry_out,
            limits.max_retry_after_ns // 2 if limits.retry_after else 0,
            config.seed,
        )
        carry_out = admission.carry_out
        admission.node = copies = CopiesNode(
            config.copies, {c.name: c for c in config.settings.classes}, config.seed, admission.act, log
        )
    owner = DispatcherOwner(dispatcher, carry_out, log)
    post = admission.post if admission is not None else owner.post
    watch = NodeListWatch(
        config.discovery,
        registry,
        post,
        executor.changed,
        log,
        lambda name, kind: "http2" if config.http2.speaks(name, kind) else "platform",
        NodeListBackoff(config.settings.rules.drain_grace_ns, random.Random(config.seed).random)
        if config.settings.discovery is Discovery.PUSH
        else None,
        config.known,
        config.settings.list_calls,
        random.Random(config.seed ^ 1).random,
    )
    operations = Operations(config, registry, ids, owner, watch, executor, figures, log)
    parts: list[Component] = [watch, *operations.parts]
    if admission is not None:
        parts.append(copies)
    executor.post, executor.watch = post, watch.ask
    http1 = executor.nodes["platform"] = PlatformNodes(registry, pool, config.meanings, post, log, figures)
    if config.http2.enabled:
        from hollowusher.scheduler.fronts.platform.http2 import Http2Nodes
        from hollowusher.scheduler.net.http2.streams import Http2Carrier

        carrier = Http2Carrier(config.http2, pool, log)
        parts.append(carrier)
        executor.nodes["http2"] = Http2Nodes(registry, carrier, http1, config.meanings, post, log)
    classes = {c.name: c for c in config.settings.classes}
    clients = PlatformClients(
        operations.listener(), classes, sockets - to_nodes, ids, post, log, ring, figures
    )
    fronts: list[Callable[[Mapping[str, JobClass]], None]] = [clients.follow]
    if admission is not None:
        clients.copied = admission.copied
    if config.stomp.enabled:
        from hollowusher.scheduler.fronts.stomp.front import StompFront

        stomp = StompFront(config, registry, executor, ids, post, log)
        fronts.append(stomp.follow)
        parts.append(stomp)
    retuning = Retuning(config.settings, owner.post, fronts, log)
    follow: dict[str, Callable[[SchedulerConfig], None]] = {
        "discovery": lambda new: watch.move(new.discovery),
        "settings": lambda new: retuning.follow(new.settings),
        "meanings": lambda new: http1.follow(new.meanings),
    }
    if (peers := config.peers).listen is not None:
        from hollowusher.scheduler.net.membership.node import PeerNode
        from hollowusher.scheduler.net.membership.words import log_membership_event
        from hollowusher.scheduler.rules.membership.events import MembershipEvent

        def changed(what: MembershipEvent) -> None:
            log_membership_event(log, what)
            if admission is not None:
                copies.view(node.member.missing())

        node = PeerNode(
            peers.name,
            peers.listen,
            peers.peers,
            peers.cluster,
            config.seed,
            changed,
            most_per_s=peers.most_messages,
        )
        parts.append(node)
        if config.shared.enabled:
            from hollowusher.scheduler.net.shared_state.node import SharedNode

            shared = SharedNode(config.shared, node, peers.cluster, registry, config.seed, log)
            owner.taps.append(shared.tap)
            parts.append(shared)
        follow["peers"] = lambda new: node.follow(new.peers)
    if config.reports is not None:
        from hollowusher.scheduler.net.reports.listener import Reports

        parts.append(Reports(config.reports, list(parts)))

    operations.wire(clients, pool, sockets)
    parts.extend(operations.server(parts))

    again = again or asyncio.Event()
    if stop is None:
        stop = asyncio.Event()
        for number, event in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGHUP, again)):
            asyncio.get_running_loop().add_signal_handler(number, event.set)
        # Delivers a SIGHUP that arrived while it was blocked.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    reloads = Reloads(config, read, follow, log, figures)
    await operations.receive_handover()
    await watch.start()
    operations.post_learned_state()
    tasks = [asyncio.create_task(work) for work in (owner.run(), executor.sweep(), reloads.follow(again))]
    for part in parts[1:]:
        await part.start()
    await operations.wait_for_list()
    clients.listen()
    tasks.append(asyncio.create_task(clients.accept()))
    operations.mark_serving()
    log.notice("ready", "taking jobs", name=config.name, listen=f"{config.listen[0]}:{config.listen[1]}")
    await stop.wait()
    log.notice("stopping", "the process was asked to stop and answers the accepted jobs")
    operations.mark_draining()
    await asyncio.gather(clients.drain(tasks[-1]), *(part.drain() for part in parts))
    for part in parts[:0:-1]:
        reported = {key: value for key, value in part.report().items() if key != "rows"}
        log.notice("part-figures", "final report of a component", part=part.name, **reported)
    for task in tasks:
        task.cancel()
    for part in reversed(parts):
        await part.stop()
    # Closing the event loop removes the signal handler; a later SIGHUP must not terminate the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    log.notice("stopped", "all accepted jobs are answered")


def run() -> int:
    """Run one scheduler with the configuration from the environment; returns the exit code."""
    # A SIGHUP that arrives before its handler is installed, or during shutdown, must stay pending instead of
    # terminating the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = load()
    except ConfigError as wrong:
        log = LogWriter("-")
        log.error("config", str(wrong))
        log.close()
        return 2
    log = LogWriter(config.name, forward=config.syslog)
    uvloop.run(serve(config, log))
    log.close()
    return 0
