"""Component reports over loopback, and the peers as read from the settings file or the platform."""

from __future__ import annotations

import asyncio
import unittest

from hollowusher.scheduler.component import NoDrain
from hollowusher.scheduler.net.membership.settings import PEER, PEERS, PlatformPeers, read_peers
from hollowusher.scheduler.net.reports.listener import MOST_ASKERS, Reports, ask
from hollowusher.scheduler.net.reports.settings import REPORTS, read_reports
from hollowusher.scheduler.settings.model import ConfigError
from hollowusher.scheduler.settings.reader import read_text
from tests.support.standins import free_port

TWO = (("127.0.0.1", 7), ("127.0.0.1", 8))


class ReportCases(NoDrain):
    name = "told"

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    def report(self) -> dict[str, object]:
        return {"number": 7}


class Asking(unittest.IsolatedAsyncioTestCase):
    async def test_a_part_tells_and_bad_askers_cost_nobody(self) -> None:
        address = ("127.0.0.1", free_port())
        reports = Reports(address, [ReportCases()])
        await reports.start()
        self.addAsyncCleanup(reports.stop)
        self.assertEqual(await ask(address, "told"), {"number": 7})
        self.assertIn("no part", str((await ask(address, "nobody"))["fault"]))
        silent = [await asyncio.open_connection(*address) for _ in range(MOST_ASKERS)]
        with self.assertRaises((OSError, ValueError)):  # a connection above the limit is closed at once
            await ask(address, "told")
        for reader, writer in silent:  # connections without a request are closed after a timeout
            self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
            writer.close()
        _, writer = await asyncio.open_connection(*address)
        writer.write(b"x" * 10_000)
        self.assertEqual(await ask(address, "told"), {"number": 7})
        writer.close()


class WhoTheOthersAre(unittest.TestCase):
    def test_by_the_platform_only_where_it_allows_messages(self) -> None:
        sheet = read_text("[peers]\nplatform yes\n", "x", (PEERS, PEER))
        complete = PlatformPeers(True, 1, TWO[1], TWO)
        found = read_peers(sheet, "any", complete)
        peers = {"n0": TWO[0], "n1": TWO[1]}
        self.assertEqual((found.listen, found.name, found.peers), (TWO[1], "n1", peers))
        for none in (
            PlatformPeers(False, 1, TWO[1], TWO),
            PlatformPeers(True, 0, None, TWO),
            PlatformPeers(True, 0, TWO[0]),
        ):
            self.assertIsNone(read_peers(sheet, "any", none).listen)
        with self.assertRaisesRegex(ConfigError, "our own number"):
            read_peers(sheet, "any", PlatformPeers(True, 2, TWO[1], TWO))

    def test_faults(self) -> None:
        for text, why in (
            ("[peers]\nenabled yes\nplatform yes\nlisten 127.0.0.1:7\n", "x:3: .*does not go with"),
            ("[peers]\nenabled yes\nlisten 127.0.0.1:7\n[peer n2]\naddress 127.0.0.1:7\n", "'n1', is none"),
            ("[reports]\nlisten 10.0.0.1:7\n", "x:2: .*loopback"),
        ):
            sheet = read_text(text, "x", (PEERS, PEER, REPORTS))
            with self.assertRaisesRegex(ConfigError, why):
                read_peers(sheet, "n1")
                read_reports(sheet)
