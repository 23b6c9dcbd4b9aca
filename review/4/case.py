"""Two stores lose their disks one after the other, while messages with large bodies wait for their delay."""

from __future__ import annotations

import asyncio
import sys

from stand_ins import LIMITS, Worker, route, service
from system import World, run_case

HOST = "dispatch.example"
PATH = "/pickup/"
SERVICE = "realoca"
MESSAGES = 120
BODY_BYTES = 250_000  # maxBodyBytes is 262,144
DELAY_MS = 85_000  # retentionS is 90
DOWN_S = 1.0
CATCH_UP_S = 4.2  # catchUpS: a machine counts as lost for so long after its return
MARGIN_S = 1.0
RECOVERY_S = 12.0  # recoveryS
READ_S = 25.0


async def case(world: World) -> list[str]:
    """Let messages wait, empty two stores one after the other, and ask for the bodies."""
    system, record = world.system, world.record
    worker = Worker(system.outside_ip, "w-1", record, slots=2, work_s=0.05)
    await worker.start()
    system.platform.add(worker, SERVICE, "zone-a")
    routes = [route("pickup", HOST, PATH, SERVICE)]
    first = {
        "generation": 1,
        "routes": routes,
        "upstreams": [service(SERVICE, ratePerS=19.5)],
        "limits": LIMITS,
    }
    await system.configure(world.session, world.operator, first)
    bodies = await _send_messages(world)
    await asyncio.sleep(3.0)
    partition = int(next(iter(world.clients.references.values())).partition("-")[0])
    for _ in range(2):
        if world.has_trouble:
            name = system.primary_of(partition)
            record.write(f"{name} is the primary of partition {partition}, which has the messages")
            system.lose_disk(name)
            await asyncio.sleep(DOWN_S)
            system.start_process(name)
        await asyncio.sleep(CATCH_UP_S + MARGIN_S)
    await asyncio.sleep(RECOVERY_S)
    system.check()
    lost = await _missing_bodies(world, bodies)
    return [f"LOST: the body of {each}, accepted and not ended, does not come back" for each in lost]


async def _send_messages(world: World) -> dict[str, bytes]:
    bodies: dict[str, bytes] = {}

    async def send_some(numbers: range) -> None:
        for number in numbers:
            body = b"%08d" % number * (BODY_BYTES // 8)
            headers = {"X-Delay-Ms": str(DELAY_MS)}
            message_id, status = await world.clients.send(HOST, f"{PATH}{number}", body, headers, retries=5)
            if status == 202:
                bodies[message_id] = body

    await asyncio.gather(*(send_some(range(part, MESSAGES, 4)) for part in range(4)))
    world.record.write(f"{len(bodies)} messages accepted, {sum(map(len, bodies.values()))} bytes")
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
    sys.exit(run_case(__file__, case, disk_mb=340))
