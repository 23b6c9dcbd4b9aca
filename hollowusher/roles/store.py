"""The role `store`: one process on each storage machine, which stores messages durably."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.consensus.view_cache import ViewCache
from hollowusher.coordination.distribution.cluster_client import ClientResources, ClusterClient
from hollowusher.coordination.distribution.peer_identities import track_peer_identities
from hollowusher.log_events import (
    CatchUpSizeExceeded,
    CatchUpSizeRestored,
    SettingsRejected,
    ShutdownCompleted,
    ShutdownStarted,
    ShutdownTimedOut,
    StatusListenFailed,
    StoreStarted,
    TakeoverCompleted,
)
from hollowusher.messages.replication.catch_up_pacing import CatchUpSizeMonitor
from hollowusher.messages.replication.partition_replica import PartitionReplica
from hollowusher.messages.store_dependencies import StoreDependencies
from hollowusher.messages.store_service import StoreService
from hollowusher.protocol.membership import Member
from hollowusher.roles.cluster_change_log import ClusterChangeLog
from hollowusher.roles.logs import describe_error, log
from hollowusher.roles.process import Process, wall_ms
from hollowusher.storage.ring_log import RingLog, ring_size
from hollowusher.storage.slots import SlotFile

RING_FOLDER = "ring"
VIEW_SLOT = "view"
STATUS_DELAY_S = 2.0  # time from the start of the process until it serves its status
STOP_MARGIN_S = 1.0  # part of graceS reserved for the exit of the process itself


def _transport_metrics(process: Process) -> dict[str, int]:
    transport = process.transport
    return {
        "connections_accepted": len(transport.accepted),
        "failed_handlers": transport.failed_handlers,
        **attrs.asdict(transport.peers.figures),
    }


def _read_metrics(process: Process, service: StoreService, ring_log: RingLog) -> dict[str, dict[str, float]]:
    """Return the metrics of this process by component."""
    replicas = service.replicas()
    return {
        "queue": attrs.asdict(service.queue_summary()),
        "leases": attrs.asdict(service.lease_metrics),
        "partitions": {
            "kept": len(replicas),
            "led": sum(replica.primary is not None for replica in replicas),
            "messages": sum(len(replica.table.entries) for replica in replicas),
        },
        "catch_up": {
            "size_bytes": service.catch_up_size.size_bytes,
            "limit_bytes": service.catch_up_size.limit_bytes,
        },
        "disk": {"free_bytes": ring_log.free_bytes(), "syncs": ring_log.syncs},
        "closed_peers": attrs.asdict(process.transport.inbound.metrics),
        "transport": dict(_transport_metrics(process)),
    }


def _log_takeover(replica: PartitionReplica) -> None:
    """Log the queue of a partition that this store has taken over as primary, unless the queue is empty."""
    if replica.primary is None:
        return
    queue = replica.primary.queue_summary(asyncio.get_running_loop().time())
    if queue.unfinished:
        log(TakeoverCompleted(partition=replica.partition, epoch=replica.epoch, **attrs.asdict(queue)))


def _log_catch_up_size(size: CatchUpSizeMonitor) -> None:
    """Log that the records of this store have become too many to be replaced in time, or few enough."""
    event = CatchUpSizeExceeded if size.is_exceeded else CatchUpSizeRestored
    log(event(size_bytes=size.size_bytes, limit_bytes=size.limit_bytes))


async def _serve_status(process: Process, me: Member, service: StoreService, ring_log: RingLog) -> None:
    """Serve the store's status after a delay; if the address is in use, log that and continue without it."""
    started = asyncio.get_running_loop().time()
    await asyncio.sleep(STATUS_DELAY_S)
    if not me.admin:
        return
    from hollowusher.roles.store_status import StoreStatusReporter, start_status_server

    status = StoreStatusReporter(
        me, service, ring_log, process.state, lambda: _transport_metrics(process), started
    )
    try:
        status_server = await start_status_server(me.admin, status)
    except OSError as error:
        log(StatusListenFailed(address=me.admin, reason=describe_error(error)))
        return
    try:
        await asyncio.Event().wait()
    finally:
        await status_server.stop()


async def serve_store(settings: BootSettings, path: str) -> int:
    """Run a store until it stops, and return the exit code."""
    process = Process(settings, path, "store")
    if process.data_dir is None:
        log(SettingsRejected(reason="dataDir is missing: a store needs a data directory"))
        return 2
    me = await process.claim_membership(controller=False)
    track_peer_identities(process.transport.peers, me, process.state)
    ring = ring_size(settings.limits.disk_mb)
    ring_log = RingLog(process.data_dir / RING_FOLDER, ring.segment_bytes, ring.segments)
    client = ClusterClient(
        me,
        settings,
        ClientResources(process.transport, process.state, None, process.random_source),
        lambda: process.settings.seed_addresses(),
    )
    view_cache = ViewCache(SlotFile(process.data_dir / VIEW_SLOT), process.state)
    view_cache.load()
    dependencies = StoreDependencies(me.store_id, process.transport, ring_log, process.state, wall_ms)
    service = StoreService(me, dependencies, settings, process.random_source.random)

    ClusterChangeLog(process.state, me.store_id, lambda: False)
    service.on_takeover_completed = _log_takeover
    service.on_catch_up_size_changed = lambda: _log_catch_up_size(service.catch_up_size)
    service.set_failure_handler(process.fail)

    async def handle(message: Any) -> Any:
        if service.handles(message):
            return await service.handle(message)
        return await client.handle(message)

    await service.start()
    await process.transport.start(handle)
    process.listen_for_signals()
    process.spawn(client.run())
    process.spawn(client.publish_view())
    process.spawn(view_cache.run())
    process.spawn(process.serve_metrics(lambda: _read_metrics(process, service, ring_log)))
    log(StoreStarted(incarnation=me.incarnation, disk_id=me.disk_id))
    status_task = process.spawn(_serve_status(process, me, service, ring_log))
    await process.stopping.wait()
    log(ShutdownStarted())
    status_task.cancel()
    try:
        async with asyncio.timeout(max(1.0, settings.bounds.grace_s - STOP_MARGIN_S)):
            await client.leave()
            await service.stop()
    except TimeoutError:
        log(ShutdownTimedOut(grace_s=settings.bounds.grace_s))
    await process.close()
    ring_log.close()
    log(ShutdownCompleted())
    return 0
