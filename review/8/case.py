"""A configuration adds a route whose host name has capital letters."""

from __future__ import annotations

import asyncio
import sys

from stand_ins import LIMITS, Worker, route, service
from system import World, run_case

LOWER_HOST = "dispatch.example"
HOST_WITH_CAPITALS = "Pickup.example"
HOST_WITHOUT = "pickup.example"
PATH = "/pickup/"
SERVICE = "realoca"
APPLY_S = 3.0  # configApplyMs
MESSAGES = 30


async def case(world: World) -> list[str]:
    """Add the route, wait until it has to be in force, and send messages with the host of the route."""
    system, record = world.system, world.record
    worker = Worker(system.outside_ip, "w-1", record, slots=4, work_s=0.02)
    await worker.start()
    system.platform.add(worker, SERVICE, "zone-a")
    routes = [route("desk", LOWER_HOST, "/desk/", SERVICE)]
    first = {"generation": 1, "routes": routes, "upstreams": [service(SERVICE)], "limits": LIMITS}
    await system.configure(world.session, world.operator, first)
    host = HOST_WITH_CAPITALS if world.has_trouble else HOST_WITHOUT
    change = {"generation": 2, "upsert": {"routes": [route("pickup", host, PATH, SERVICE)]}, "delete": {}}
    if await world.operator.order("PATCH", 1, change) != 200:
        return []
    await asyncio.sleep(APPLY_S + 1.0)
    broken = []
    for number in range(MESSAGES):
        message_id, status = await world.clients.send(host, f"{PATH}{number}", b"pickup %d" % number)
        if status == 404:
            broken.append(f"CONFIG: {message_id} was refused with 404, though its route is in force")
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)
    system.check()
    record.write(f"{len(worker.successes)} messages have run")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
