"""Three processes of the program keep a view of each other while they are killed, paused and restarted."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
import unittest

from hollowusher.scheduler.net.membership.settings import PEER, PEERS, read_peers
from hollowusher.scheduler.settings.model import ConfigError
from hollowusher.scheduler.settings.reader import read_text
from tests.scheduler.test_reload import Process
from tests.support.standins import free_port

NAMES = ("n1", "n2", "n3")


class ThreeProcesses(Process):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.write()
        self.sockets = {name: free_port() for name in NAMES}
        self.running: dict[str, asyncio.subprocess.Process] = {}
        for name in NAMES:
            await self.begin(name)
        for name in NAMES:
            others = {n for n in NAMES if n != name}
            while others:  # in whichever order they are found
                text = await self.line(name, "member-joined")
                others -= {n for n in others if f'member="{n}"' in text}

    async def begin(self, name: str) -> None:
        """Start one, with a settings file of its own."""
        folder = self.path.parent
        config = json.loads(self.path.read_text())
        own = folder / f"{name}.json"
        own.write_text(json.dumps({**config, "name": name, "listen": f"127.0.0.1:{free_port()}"}))
        conf = folder / f"{name}.conf"
        peers = "".join(f"[peer {n}]\naddress 127.0.0.1:{p}\n" for n, p in self.sockets.items())
        conf.write_text(f"[peers]\nenabled yes\nlisten 127.0.0.1:{self.sockets[name]}\n{peers}")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hollowusher",
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "PROXY_CONFIG": str(own),
                "HOLLOWUSHER_CONF": str(conf),
                "PROXY_DISCOVERY": f"127.0.0.1:{self.list.port}",
            },
        )
        self.addAsyncCleanup(self.end, process)
        self.running[name] = process

    async def line(self, name: str, pattern: str, never: str = "zzz") -> str:
        """The next log line of a process that matches, past others, none of which may match `never`."""
        stderr = self.running[name].stderr
        assert stderr is not None
        while True:
            text = (await self.within(stderr.readline())).decode()
            self.assertTrue(text, f"{name} has ended")
            self.assertIsNone(re.search(never, text), text)
            if re.search(pattern, text):
                return text

    async def test_a_death_a_restart_a_pause_and_an_orderly_end(self) -> None:
        self.running["n3"].kill()
        for name in ("n1", "n2"):
            await self.line(name, 'member-died .*member="n3"')
        await self.begin("n3")
        for name in ("n1", "n2"):
            await self.line(name, 'member-joined .*member="n3"')
        await self.line("n3", "member-majority")
        self.running["n1"].send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.8)  # the pause itself
        self.running["n1"].send_signal(signal.SIGCONT)
        await self.line("n1", "member-paused", never="member-died")
        self.running["n2"].send_signal(signal.SIGTERM)
        for name in ("n1", "n3"):
            await self.line(name, 'member-left .*member="n2"', never="member-died")
        figures = await self.line("n2", "part-figures")
        self.assertIn("present=\"['n1', 'n2', 'n3'\\]\"", figures)
        self.assertEqual(await self.within(self.running["n2"].wait()), 0)


class Settings(unittest.TestCase):
    def test_what_is_missing_is_reported_with_its_line(self) -> None:
        for text, why in (
            ("[peers]\nenabled yes\n", "peers:2: \\[peers\\] enabled: has no place to hear the others"),
            ("[peers]\nenabled yes\nlisten 127.0.0.1:7\n", "enabled: names nobody"),
            ("[peer n1]\n", "address is missing"),
        ):
            with self.assertRaisesRegex(ConfigError, why):
                read_peers(read_text(text, "peers", (PEERS, PEER)))
