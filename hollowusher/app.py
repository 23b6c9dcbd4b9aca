"""Puts the parts together: configuration, desk, fronts, and the orderly end."""

from __future__ import annotations

import asyncio
import signal
import time

from hollowusher.config import Config
from hollowusher.core.desk import DispatchDesk
from hollowusher.core.roster import Roster
from hollowusher.floor import Floor
from hollowusher.fronts.platform.discovery import NodeListWatch
from hollowusher.fronts.platform.nodes import PlatformNodes
from hollowusher.fronts.platform.terminals import PlatformTerminals
from hollowusher.log import Log
from hollowusher.net.link import listen
from hollowusher.net.owner import DeskOwner
from hollowusher.net.pool import Pool

SPARE_SOCKETS = 48  # for the log, the list, the listeners and the loop itself
NODE_SHARE = 0.45  # of the other sockets, for connections to nodes


async def serve(config: Config, log: Log, stop: asyncio.Event | None = None) -> None:
    """Run one scheduler until it is asked to stop, and end in good order."""
    sockets = config.sockets - SPARE_SOCKETS
    to_nodes = int(sockets * NODE_SHARE)
    pool = Pool(config.connect_timeout_s, config.idle_close_s, to_nodes)
    roster = Roster()
    floor = Floor(roster, pool, log)
    desk = DispatchDesk(config.settings, config.seed, time.monotonic_ns())
    owner = DeskOwner(desk, floor.carry_out, log)
    watch = NodeListWatch(config.discovery, roster, owner.post, floor.changed, log)
    floor.post, floor.watch = owner.post, watch.ask
    floor.nodes["platform"] = PlatformNodes(roster, pool, config.meanings, owner.post, log)
    classes = {c.name for c in config.settings.classes}
    terminals = PlatformTerminals(listen(config.listen), classes, sockets - to_nodes, owner.post, log)

    stop = stop or asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    watch.start_list(config.known)
    tasks = [asyncio.create_task(work) for work in (owner.run(), terminals.accept(), floor.sweep())]
    log.notice("ready", "taking jobs", name=config.name, listen=f"{config.listen[0]}:{config.listen[1]}")
    await stop.wait()
    log.notice("stopping", "asked to stop; answering what is taken")
    await terminals.drain(tasks[1])
    watch.stop()
    for task in tasks:
        task.cancel()
    log.notice("stopped", "all that was taken is answered")
