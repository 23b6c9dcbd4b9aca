"""Settings that change on SIGHUP: open jobs keep the old rules, and an invalid file changes nothing."""

from __future__ import annotations

import asyncio
import json
import signal
import unittest
from dataclasses import replace
from typing import Any

from hollowusher.balancing import Effect, Fail, JobClass, Outcome, Refuse, SettingsChanged
from hollowusher.scheduler.emulator.outside import platform_settings
from hollowusher.scheduler.operators.server import call
from hollowusher.scheduler.settings.platform import missing_keys
from tests.scheduler.test_replacement import Beside
from tests.support.balancer import LIMITS, MS, SAFE, SITE, Node, S, sends, site, workers
from tests.support.standins import post, read_http

GRADE = {
    "name": "settle-shift",
    "effect": "fragile",
    "late_share": 0.5,
    "goal_time_ns": 4 * S,
    "deadline_ns": 10 * S,
}
OTHER = {**GRADE, "name": "audit", "effect": "retryable"}


class InTheModule(unittest.TestCase):
    def test_open_requests_keep_their_class_and_limits_and_new_ones_have_the_new(self) -> None:
        node = Node(SITE, workers(1, 2), free={1: 2.0, 2: 2.0})
        (first,) = sends(node.arrive("old", "safe") + node.run(50 * MS))
        unsafe = replace(SAFE, effect=Effect.UNSAFE)
        fewer = replace(LIMITS, max_attempts=1)
        node.step(SettingsChanged(site(classes=(unsafe,), limits=fewer)))
        (again,) = sends(node.ended(first, Outcome.RESET) + node.run(50 * MS))
        self.assertEqual(again.request, "old")  # the class is safe to retry and allows three attempts
        node.serve(again, attempt=1)
        (new,) = sends(node.arrive("new", "safe") + node.run(50 * MS))
        actions = node.ended(new, Outcome.RESET) + node.run(50 * MS)
        self.assertEqual((sends(actions), [a for a in actions if isinstance(a, Fail)]), ([], [Fail("new")]))

    def test_a_dropped_class_with_requests_open_is_served_to_its_end(self) -> None:
        node = Node(SITE, workers(1), free={1: 1.0})
        for number in range(30):  # enough jobs that the queue is sorted by the value of the classes
            node.arrive(f"r{number}", "safe")
        node.step(SettingsChanged(site(classes=(JobClass("new", 200 * MS, 5 * S, effect=Effect.SAFE),))))
        node.arrive("n", "new")
        node.run(6 * S)
        ended = {a.request for _, a in node.log if isinstance(a, Fail | Refuse)}
        sent = {a.request for a in sends(a for _, a in node.log)}
        self.assertEqual(ended | sent, {*(f"r{n}" for n in range(30)), "n"})


class Keys(unittest.TestCase):
    def test_a_key_that_was_there_must_not_be_missing(self) -> None:
        before: dict[str, Any] = {"a": 1, "b": {"c": {"d": 1}}, "rows": [{"x": 1, "y": 1}, {"x": 2}]}
        for now, lost in (
            (before, []),
            ({**before, "more": 1}, []),
            ({"a": 1, "rows": []}, ["b"]),
            ({**before, "b": {"c": {}}}, ["b.c.d"]),
            ({**before, "b": {"c": 5}}, ["b.c"]),
            ({**before, "rows": [{"x": 1}, {"y": 1}]}, ["rows.1.x"]),
        ):
            self.assertEqual(list(missing_keys(before, now)), lost)


class InService(Beside):
    async def figures(self, address: tuple[str, int]) -> dict[str, int]:
        _, body = await call(address, "GET", "/_vars")
        pairs = (line.split("|")[0].split(":") for line in body.decode().split())
        return {name: int(value) for name, value in pairs}

    async def until(self, address: tuple[str, int], name: str, value: int) -> None:
        async with asyncio.timeout(5.0):
            while (await self.figures(address)).get(f"proxy.{name}") != value:
                await asyncio.sleep(0.02)

    async def test_classes_come_and_go_and_a_job_of_one_that_goes_is_answered(self) -> None:
        process, address = await self.beside()
        reader, writer = await self.client()
        writer.write(post("open", "settle-shift", "8"))
        await self.within(self.node.got.get())
        self.write(settings=platform_settings([OTHER]))
        process.send_signal(signal.SIGHUP)
        await self.until(address, "reloads_ok", 1)
        self.node.go.set()
        self.assertEqual((await self.within(read_http(reader)))[2], b"r:open")
        await self.answered("crossing")  # clients may use a removed class for a short time
        self.assertIn("200", (await self.ask(post("a", "audit", "8")))[0])
        await asyncio.sleep(1.3)
        await self.answered("late", "400")
        self.assertEqual((await self.figures(address))["proxy.requests.audit.served"], 1)

    async def test_a_broken_file_changes_nothing_and_is_counted(self) -> None:
        process, address = await self.beside()
        self.node.go.set()
        complete = json.loads(self.path.read_text())
        settings = complete["settings"]
        grades = [{**GRADE, "deadline_ns": value} for value in (0, -1, "1", None, 1.5, True)]
        caps = [{**settings["caps"], "max_attempts": value} for value in (0, -1, "1", None, 1.5, True)]
        texts = [
            "",
            "{",
            json.dumps(complete)[:-20],
            "[]",
            "{}",
            "[" * 100_000,
            json.dumps({**complete, "settings": {}}),
        ]
        texts += [json.dumps({k: v for k, v in complete.items() if k != key}) for key in complete]
        texts += [
            json.dumps({**complete, "settings": {k: v for k, v in settings.items() if k != key}})
            for key in settings
        ]
        texts += [json.dumps({**complete, "settings": {**settings, "grades": [grade]}}) for grade in grades]
        texts += [json.dumps({**complete, "settings": {**settings, "caps": cap}}) for cap in caps]
        for count, text in enumerate(texts, 1):
            self.path.write_text(text)
            process.send_signal(signal.SIGHUP)
            await self.until(address, "reloads_failed", count)
        self.assertEqual((await self.figures(address))["proxy.reloads_ok"], 0)
        await self.answered("a")
