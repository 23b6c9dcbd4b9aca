"""The role `store`: one process on each storage machine, which keeps messages."""

from __future__ import annotations

import asyncio
from typing import Any

from hollowusher.configuration.boot import BootSettings
from hollowusher.coordination.client import ClusterClient
from hollowusher.coordination.peer_names import present
from hollowusher.messages.service import StoreService
from hollowusher.roles.change_log import ChangeLog
from hollowusher.roles.logs import log
from hollowusher.roles.process import Process, wall_ms
from hollowusher.storage.ring_log import RingLog, ring_size

RING_FOLDER = "ring"
STOP_MARGIN_S = 1.0  # kept of the grace for the end of the process itself


async def serve_store(settings: BootSettings, path: str) -> int:
    """Run a store until it is stopped; the exit code."""
    process = Process(settings, path, "store")
    if process.folder is None:
        log("settings_refused", reason="dataDir: a store needs a folder for its data")
        return 2
    me = await process.identify(controller=False)
    present(process.transport.peers, me, process.state)
    ring = ring_size(settings.limits.disk_mb)
    ring_log = RingLog(process.folder / RING_FOLDER, ring.segment_bytes, ring.segments)
    client = ClusterClient(me, process.transport, settings, process.state, None, process.chance)
    service = StoreService(
        me, me.store_id, process.transport, ring_log, process.state, settings, process.chance.random, wall_ms
    )

    ChangeLog(process.state, me.store_id, lambda: False)

    async def handle(message: Any) -> Any:
        if service.handles(message):
            return await service.handle(message)
        return await client.handle(message)

    await service.start()
    await process.transport.start(handle)
    process.listen_for_signals()
    process.spawn(client.run())
    log("started", incarnation=me.incarnation, disk=me.disk_id)
    await process.stopping.wait()
    log("stopping")
    try:
        async with asyncio.timeout(max(1.0, settings.bounds.grace_s - STOP_MARGIN_S)):
            await client.leave()
            await service.stop()
    except TimeoutError:
        log("stop_cut_short", grace_s=settings.bounds.grace_s)
    await process.close()
    ring_log.close()
    log("stopped")
    return 0
