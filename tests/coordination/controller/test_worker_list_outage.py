"""A worker that the platform shows as draining after an outage is published within a share of `drainMs`.

The pause after failed calls grew up to 4 s whatever `drainMs` was, so a worker got messages for up to 4 s
after the platform was back and showed it as draining (review/7).
"""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from typing import Any, cast

import pytest

from hollowusher.configuration.boot import BootSettings, Bounds, CloudApi
from hollowusher.coordination.cluster_state import WORKERS
from hollowusher.coordination.controller.errors import WorkerListReadError
from hollowusher.coordination.controller.head_context import TICK_S, HeadContext
from hollowusher.coordination.controller.worker_list_publisher import WorkerListPublisher
from hollowusher.coordination.controller.worker_list_reader import READ_STEP, WorkerListReader
from hollowusher.coordination.controller.worker_list_timing import WorkerListTiming
from hollowusher.coordination.distribution.update_feed import UpdateFeed
from hollowusher.coordination.membership.member_directory import MemberDirectory
from hollowusher.protocol.distribution import DistributedItem
from hollowusher.protocol.membership import Member
from hollowusher.protocol.view import View
from hollowusher.simulation.event_loop import SimulatedProcess, VirtualTimeLoop
from hollowusher.transport.interface import Transport
from tests.support.worker_list_pages import entry, page

OUTAGE_S = 12.0
RATE_PER_S = 50.0
PUBLISHED_SHARE = 0.6  # of `drainMs`; the rest is for the distribution to the dispatchers
PAGES = 5


class Failure(Enum):
    """What the platform does while it is down."""

    REFUSES = auto()
    IS_SILENT = auto()
    BREAKS_OFF = auto()  # half a page arrives
    FAILS_ON_THE_SECOND_PAGE = auto()


class _Chain:
    is_head = True
    view = View(1, [], [])


class _Platform(WorkerListReader):
    """A reader whose platform is down for a while; it answers at once otherwise."""

    def __init__(self, timing: WorkerListTiming, loop: VirtualTimeLoop) -> None:
        super().__init__("10.0.0.9:8065", timing)
        self.failure: Failure | None = None
        self.state = "ready"
        self.called_at: list[float] = []
        self._loop = loop

    async def _get_body(self, token: str | None) -> bytes:
        self.called_at.append(self._loop.time())
        number = int(token or 0)
        following = str(number + 1) if number + 1 < PAGES else None
        body = page(entry(id=f"w-{number}", state=self.state), token=following)
        if self.failure is Failure.REFUSES or (
            self.failure is Failure.FAILS_ON_THE_SECOND_PAGE and number == 1
        ):
            raise WorkerListReadError(READ_STEP, self.address, "status 503")
        if self.failure is Failure.IS_SILENT:
            await asyncio.sleep(self._timing.call_timeout_s)
            raise TimeoutError
        return body[: len(body) // 2] if self.failure is Failure.BREAKS_OFF else body

    def most_calls_in_a_second(self) -> int:
        calls = self.called_at
        return max(sum(start <= at < start + 1.0 for at in calls) for start in calls)


async def _tick(context: HeadContext) -> None:
    """Look for pauses of the process, as the other roles of a head do."""
    while True:
        context.check_for_pause()
        await asyncio.sleep(TICK_S)


def settings_of(drain_ms: int) -> BootSettings:
    """Return the settings of a controller with this `drainMs`."""
    return BootSettings(
        "a",
        "edge",
        ip="10.0.0.1",
        bounds=Bounds(drain_ms=drain_ms),
        cloud_api=CloudApi("10.0.0.9:8065", RATE_PER_S),
    )


def play(
    settings: BootSettings, failure: Failure, offset_s: float, new_head_s: float = 0.0
) -> tuple[float, _Platform]:
    """Let the platform fail, and return how long after its return the draining workers were published.

    The head begins to read 5 s before the outage, or `new_head_s` seconds before the platform returns.
    """
    loop = VirtualTimeLoop()
    timing = WorkerListTiming.from_settings(settings)
    platform = _Platform(timing, loop)
    published: list[float] = []

    async def scenario() -> None:
        feed = UpdateFeed("a/1")
        member = Member("a", "edge", "10.0.0.1:7780", "z", "r", 1)
        directory = MemberDirectory(loop.time())
        transport = cast(Transport, None)
        context = HeadContext(
            member, cast(Any, _Chain()), feed, directory, transport, loop.time, timing.read_interval_s
        )

        def note(item: DistributedItem) -> None:
            if item.key == WORKERS and item.value.workers[0].state == "draining":
                published.append(loop.time())

        feed.add_listener(note)
        process = SimulatedProcess("a")
        if new_head_s:
            platform.failure = failure
        running = [process.run(WorkerListPublisher(context, platform).run()), process.run(_tick(context))]
        if not new_head_s:
            await asyncio.sleep(5.0)
            platform.failure = failure
        await asyncio.sleep(new_head_s or OUTAGE_S + offset_s)
        platform.failure, platform.state = None, "draining"
        returned_at = loop.time()
        await asyncio.sleep(8.0)
        published[:] = [published[0] - returned_at]
        for task in running:
            task.cancel()

    try:
        loop.play(scenario())
    finally:
        loop.shut()
    return published[0], platform


@pytest.mark.parametrize("failure", Failure)
@pytest.mark.parametrize("drain_ms", [1_500, 3_000, 5_000])
def test_a_draining_worker_is_published_in_time_whenever_the_platform_returns(
    failure: Failure, drain_ms: int
) -> None:
    settings = settings_of(drain_ms)
    for step in range(40):
        took_s, platform = play(settings, failure, step * 0.05)
        assert took_s <= PUBLISHED_SHARE * drain_ms / 1000, step
        assert platform.most_calls_in_a_second() <= RATE_PER_S / 2 + 1


@pytest.mark.parametrize("failure", Failure)
@pytest.mark.parametrize("drain_ms", [1_500, 3_000, 5_000])
def test_a_new_head_that_begins_to_read_during_an_outage_is_in_time(failure: Failure, drain_ms: int) -> None:
    settings = settings_of(drain_ms)
    for step in range(1, 81):
        took_s, platform = play(settings, failure, 0.0, new_head_s=step * 0.1)
        assert took_s <= PUBLISHED_SHARE * drain_ms / 1000, step
        assert platform.most_calls_in_a_second() <= RATE_PER_S / 2 + 1


@pytest.mark.parametrize("drain_ms", [500, 1_500, 3_000, 5_000, 60_000])
def test_all_pauses_together_fit_into_the_time_that_a_worker_has(drain_ms: int) -> None:
    timing = WorkerListTiming.from_settings(BootSettings("a", "edge", bounds=Bounds(drain_ms=drain_ms)))
    assert max(timing.read_interval_s, timing.call_timeout_s + timing.max_backoff_s) <= drain_ms / 1000 / 2
