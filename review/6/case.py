"""An ordered route is moved to another service while messages of one ordering key wait for the former one."""

from __future__ import annotations

import asyncio
import sys

from stand_ins import LIMITS, Worker, route, service
from system import CannotRunError, World, run_case

HOST = "partners.example"
PATH = "/bookings/"
KEY = "parcel-17"
BEFORE = 60  # messages of the key that are accepted before the change, 10 s of work
AFTER = 3  # messages of the key that are sent once the change has to be in force everywhere
WORK_S = 0.16
APPLY_S = 3.0  # configApplyMs


async def case(world: World) -> list[str]:
    """Send messages of one key, move their route, and send more messages of the key."""
    system, record = world.system, world.record
    ip = system.outside_ip
    old = Worker(ip, "portal-old", record, slots=40, work_s=WORK_S, is_fixed=True)
    new = Worker(ip, "portal-new", record, slots=40, work_s=WORK_S, is_fixed=True)
    await old.start()
    await new.start()
    services = [service(each.name, ratePerS=19.5, idempotent=True, fixed=each.address) for each in (old, new)]
    bookings = route("bookings", HOST, PATH, old.name, ordered=True)
    first = {"generation": 1, "routes": [bookings], "upstreams": services, "limits": LIMITS}
    await system.configure(world.session, world.operator, first)
    ids = await _send_some(world, range(BEFORE))
    if world.has_trouble:
        moved = {"generation": 3, "upsert": {"routes": [{**bookings, "upstream": new.name}]}, "delete": {}}
        if await world.operator.order("PATCH", 1, moved) != 200:
            raise CannotRunError("the change was not taken")
    await asyncio.sleep(APPLY_S + 0.2)
    ids += [await _send(world, BEFORE + number) for number in range(AFTER)]
    deadline = record.now() + 30
    while len(old.successes) + len(new.successes) < len(ids) and record.now() < deadline:
        system.check()
        await asyncio.sleep(0.1)
    record.write(f"{len(old.successes)} succeeded at {old.name}, {len(new.successes)} at {new.name}")
    return _broken(world, [old, new])


async def _send_some(world: World, numbers: range) -> list[str]:
    """Send messages, four at a time, and return their ids."""

    async def send_each(part: range) -> list[str]:
        return [await _send(world, number) for number in part]

    parts = await asyncio.gather(*(send_each(numbers[first::4]) for first in range(4)))
    return [message_id for part in parts for message_id in part]


async def _send(world: World, number: int) -> str:
    headers = {"X-Ordering-Key": KEY}
    message_id, _ = await world.clients.send(HOST, f"{PATH}{number}", b"booking %d" % number, headers)
    return message_id


def _broken(world: World, workers: list[Worker]) -> list[str]:
    """Return the messages that started before one had ended that was accepted before they were sent."""
    clients = world.clients
    started: dict[str, float] = {}
    ended: dict[str, float] = {}
    for worker in workers:
        for at, message_id in worker.starts:
            started[message_id] = min(at, started.get(message_id, at))
        for at, message_id in worker.successes:
            ended[message_id] = min(at, ended.get(message_id, at))
    broken = []
    for later, at in started.items():
        earlier = [
            each
            for each, accepted_at in clients.accepted_at.items()
            if accepted_at < clients.sent_at[later] and ended.get(each, float("inf")) > at
        ]
        if earlier:
            broken.append(
                f"ORDER: {later} started at {at:.3f} s, before {len(earlier)} messages of its key had ended "
                f"that were accepted before it was sent, the first of them {earlier[0]}"
            )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(__file__, case))
