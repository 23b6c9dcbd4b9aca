"""All stores lose power, one also its disk; long after all are back, another store loses its disk."""

from __future__ import annotations

import asyncio
import sys

from stand_ins import LIMITS, Worker, route, service
from system import CannotRunError, World, run_case

HOST = "dispatch.example"
PATH = "/pickup/"
SERVICE = "realoca"
MESSAGES = 200
DELAY_MS = 85_000  # retentionS is 90
RETURNS_S = (0.5, 1.5, 3.0)  # after the loss of power: a store with its disk, the one without, the third
DOWN_S = 1.0  # of the store that loses its disk later
RECOVERY_S = 12.0  # recoveryS
MARGIN_S = 1.5  # catchUpS, 4.2, is over long before
READ_S = 20.0


async def case(world: World) -> list[str]:
    """Let all stores lose power and one its disk, later another one its disk, and ask for the bodies."""
    system, record = world.system, world.record
    worker = Worker(system.outside_ip, "w-1", record, slots=2, work_s=0.05)
    await worker.start()
    system.platform.add(worker, SERVICE, "zone-a")
    routes = [route("pickup", HOST, PATH, SERVICE)]
    services = [service(SERVICE, ratePerS=19.5)]
    first = {"generation": 1, "routes": routes, "upstreams": services, "limits": LIMITS}
    await system.configure(world.session, world.operator, first)
    bodies = await _send_messages(world)
    await asyncio.sleep(3.0)
    if world.has_trouble:
        await _lose_power(world)
    await asyncio.sleep(RECOVERY_S + MARGIN_S)
    if world.has_trouble:
        name = _primary(world)
        system.lose_disk(name)
        await asyncio.sleep(DOWN_S)
        system.start_process(name)
    await asyncio.sleep(RECOVERY_S + MARGIN_S)
    system.check()
    lost = await _missing_bodies(world, bodies)
    return [f"LOST: the body of {each}, accepted and not ended, does not come back" for each in lost]


async def _lose_power(world: World) -> None:
    """Kill all stores at once, empty the disk of the primary, and start them one after the other."""
    system = world.system
    emptied = _primary(world)
    first, last = (name for name in system.machines if name.startswith("store") and name != emptied)
    system.kill(first)
    system.kill(last)
    system.lose_disk(emptied)
    waited_s = 0.0
    for name, returns_s in zip((first, emptied, last), RETURNS_S, strict=True):
        await asyncio.sleep(returns_s - waited_s)
        waited_s = returns_s
        system.start_process(name)


def _primary(world: World) -> str:
    """Return the primary of the partition that has the messages."""
    partition = int(next(iter(world.clients.references.values())).partition("-")[0])
    name = world.system.primary_of(partition)
    world.record.write(f"{name} is the primary of partition {partition}, which has the messages")
    return name


async def _send_messages(world: World) -> dict[str, bytes]:
    bodies: dict[str, bytes] = {}
    for number in range(MESSAGES):
        body = b"parcel %06d" % number * 40
        message_id, status = await world.clients.send(
            HOST, f"{PATH}{number}", body, {"X-Delay-Ms": str(DELAY_MS)}
        )
        if status == 202:
            bodies[message_id] = body
    if not bodies:
        raise CannotRunError("no message was accepted")
    world.record.write(f"{len(bodies)} messages accepted")
    return bodies


async def _missing_bodies(world: World, bodies: dict[str, bytes]) -> list[str]:
    """Ask for each body, again after a failure, and return the ids of those that do not come."""
    missing = list(bodies)
    deadline = world.record.now() + READ_S
    answers: dict[int, int] = {}
    while missing and world.record.now() < deadline:
        for message_id in list(missing):
            if world.record.now() > deadline:
                break
            status, body = await world.clients.body(message_id, HOST)
            answers[status] = answers.get(status, 0) + 1
            if status == 200 and body == bodies[message_id]:
                missing.remove(message_id)
    world.record.write(f"bodies asked for, answers by status (0: none): {answers}; {len(missing)} missing")
    return missing


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
