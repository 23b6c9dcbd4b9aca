"""The program knows no job class, tenant or site by name: effects come from the settings alone."""

from __future__ import annotations

import random
import signal
import tomllib
import unittest
from pathlib import Path

from hollowusher.scheduler.emulator.outside import platform_settings
from tests.scheduler.test_reload import Process
from tests.support.balancer import S
from tests.support.standins import CLASSES, post

ROOT = Path(__file__).parent.parent.parent


class AnyNames(Process):
    async def test_generated_class_names_are_handled_by_their_effects(self) -> None:
        rng = random.Random()
        effects = ["retryable", "dedup", "fragile", "fragile"]
        rng.shuffle(effects)
        names = [f"{rng.choice('abcxyz')}{rng.getrandbits(40):x}" for _ in effects]
        common = {"goal_time_ns": S, "deadline_ns": 4 * S, "key_scope": "all", "memory_span_ns": 3 * S}
        grades = [
            {"name": name, "effect": effect, **common} for name, effect in zip(names, effects, strict=True)
        ]
        tenant = f"t{rng.getrandbits(40):x}"
        settings = platform_settings(grades, customers=[{"name": tenant, "share": 1.0, "allowance_per_s": 9}])
        for name, effect in zip(names, effects, strict=True):
            with self.subTest(effect=effect):
                self.node.mode = "done"
                process = await self.start(settings=settings)
                self.assertEqual(await self.job(name, tenant, "good"), ("200", f"r:good-{name}".encode()))
                self.node.mode = (
                    "reset"  # only the effect of a class decides whether a job that may have run is retried
                )
                self.node.runs.clear()
                status, _ = await self.job(name, tenant, "bad")
                self.assertEqual(status, "502" if effect == "fragile" else "503")
                self.assertEqual(len(self.node.runs) > 1, effect != "fragile")
                process.send_signal(signal.SIGTERM)
                self.assertEqual(await self.within(process.wait()), 0)

    async def job(self, name: str, tenant: str, which: str) -> tuple[str, bytes]:
        """Sends one job of a class; returns the status and the result."""
        head, _, rest = post(f"{which}-{name}", name, "2").partition(b"\r\n")
        reported = f"X-Caller: {tenant}\r\nIdempotency-Key: {which}-{name}\r\n".encode()
        first, _, result = await self.ask(head + b"\r\n" + reported + rest)
        return first.split()[1], result


class NoKnownNames(unittest.TestCase):
    def test_no_known_deployment_name_occurs_in_program_or_deploy_files(self) -> None:
        names = {c.name for c in CLASSES}
        for site in (ROOT / "deploy" / "sites").glob("*.toml"):
            reported = tomllib.loads(site.read_text())
            names |= {reported["name"], *(c["name"] for c in reported["class"]), *reported["net"]["zones"]}
            names |= {
                kind["name"] for tier in reported["tier"] for kind in tier["kind"] if "-" in kind["name"]
            }
        self.assertGreater(len(names), 8)
        sources = [
            *(ROOT / "hollowusher").rglob("*.py"),
            ROOT / "deploy" / "balancer.toml",
            ROOT / "deploy" / "hollowusher.conf",
        ]
        for source in sources:
            text = source.read_text()
            self.assertEqual([n for n in names if n in text], [], source.name)
