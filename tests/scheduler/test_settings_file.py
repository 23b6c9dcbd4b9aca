"""The settings file: parsed values, and errors with file and line."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from hollowusher.scheduler.config import SECTIONS, SETTINGS_FILE
from hollowusher.scheduler.fronts.stomp.settings import StompConfig, StompNode, read_stomp
from hollowusher.scheduler.net.http2.settings import HTTP2, Http2Config, read_http2
from hollowusher.scheduler.settings.model import (
    ConfigError,
    SettingsFileError,
    show_size,
    show_span,
    size,
    span,
)
from hollowusher.scheduler.settings.page import tables
from hollowusher.scheduler.settings.reader import Sheet, read_file, read_text


def read(text: str) -> Sheet:
    return read_text(text, "x.conf", SECTIONS)


class Reading(unittest.TestCase):
    def test_the_shipped_file_switches_nothing_on(self) -> None:
        sheet = read_file(SETTINGS_FILE, SECTIONS)
        self.assertEqual(read_stomp(sheet), StompConfig())
        self.assertEqual(read_http2(sheet), Http2Config())

    def test_an_absent_file_is_an_empty_one(self) -> None:
        sheet = read_file(Path("/nowhere/x.conf"), SECTIONS)
        self.assertEqual((read_stomp(sheet), read_http2(sheet)), (StompConfig(), Http2Config()))

    def test_values(self) -> None:
        sheet = read("""
            [stomp-node hall]           # a title
            address [::1]:61614
            zone "cluj room"
            [stomp]
            enabled on
            heart-beat 1.5s
            ledger-bytes 1MiB
            [stomp-node yard]
            address 127.0.0.1:5
            size 2.5
            [http2]
            enabled yes
            nodes s-1* s-2*
            nodes d-?
            kinds fast-8c
        """)
        stomp, http2 = read_stomp(sheet), read_http2(sheet)
        self.assertEqual((stomp.enabled, stomp.heart_beat_ms, stomp.ledger_bytes), (True, 1500, 1 << 20))
        self.assertEqual(
            stomp.nodes,
            (
                StompNode("hall", ("::1", 61614), "cluj room", "", 0, 1.0),
                StompNode("yard", ("127.0.0.1", 5), "", "", 0, 2.5),
            ),
        )
        self.assertEqual(http2.nodes, ("s-1*", "s-2*", "d-?"))
        named = (("s-12", ""), ("d-12", ""), ("d-1", ""), ("x", "fast-8c"))
        self.assertEqual([http2.speaks(*n) for n in named], [True, False, True, True])
        self.assertFalse(Http2Config(nodes=("*",)).speaks("s-1", ""))

    def test_faults_name_file_and_line(self) -> None:
        cases = {
            "enabled yes": "1: enabled: stands before",
            "\n[stmp]": r"2: \[stmp\]: is no section; is 'stomp' meant",
            "[stomp": r"1: \[stomp: a section is written",
            "[stomp hall]": r"1: \[stomp\]: takes no title",
            "[stomp-node]": r"1: \[stomp-node\]: needs a title",
            "[stomp-node a b]": r"1: \[stomp-node\]: needs a title",
            "[stomp]\n[http2]\n[stomp]": r"3: \[stomp\]: stands on line 1",
            "[stomp]\nenabled yes\n\nenabled no": r"4: \[stomp\] enabled: stands on line 2",
            "[stomp]\nenabled maybe": r"2: \[stomp\] enabled: must be yes or no, is 'maybe'",
            "[stomp]\nenabled": r"2: \[stomp\] enabled: must be yes or no, nothing follows",
            "[stomp]\nenabled yes no": "must be yes or no, is 'yes no'",
            "[stomp]\nlisten 61613": "listen: must be host:port",
            "[stomp]\nheart-beat 10": "heart-beat: must be a span .* between 0ms and 10m",
            "[stomp]\nheart-beat 11m": "heart-beat: must be a span",
            "[stomp]\nheart-beat -1s": "heart-beat: must be a span",
            "[stomp]\nmost-clients 1.5": "most-clients: must be a whole number between 1 and 400",
            "[stomp]\nmost-clients 0": "most-clients: must be a whole number",
            "[stomp]\nledger-bytes 16MB": "ledger-bytes: must be a size",
            "[stomp-node a]\nzone x": r"1: \[stomp-node a\]: address is missing",
            "[stomp-node a]\naddress 1:2\n[stomp-node a]": r"3: \[stomp-node a\]: stands on line 1",
            "[stomp-node a]\naddress 1:2\nsize nan": "3: .*size: must be a number",
            "[http2]\nsteams 4": r"2: \[http2\] steams: is no directive of this section; is 'streams' meant",
            "[http2]\nnodes": "nodes: must be one to 64 words",
            "[http2]\nnodes 'a": "2: cannot be split into words",
            "[http2]\n\nenabled yes": r"3: \[http2\] enabled: names no node",
        }
        for text, fault in cases.items():
            with self.subTest(text), self.assertRaisesRegex(SettingsFileError, f"^x.conf:.*{fault}"):
                read_http2(read(text))

    def test_files_that_are_none(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "x.conf"
            for data, fault in ((b"\xff\xfe", "cannot be read"), (b"#" * (1 << 21), "is larger")):
                file.write_bytes(data)
                with self.assertRaisesRegex(ConfigError, f"^x.conf: {fault}"):
                    read_file(file, SECTIONS)
            with self.assertRaisesRegex(ConfigError, "cannot be read"):
                read_file(Path(folder), SECTIONS)

    @given(st.text(alphabet="[]stomp http2#'\"\\\nenabld yo1.s-*:", max_size=200))
    def test_any_text_is_read_or_refused_with_its_line(self, text: str) -> None:
        try:
            read_http2(read(text))
        except SettingsFileError as fault:
            self.assertRegex(str(fault), r"^x\.conf:[0-9]+: ")

    @given(st.integers(1, 86_400_000))
    def test_what_is_shown_can_be_read(self, amount: int) -> None:
        self.assertAlmostEqual(span(0, 1e9).read([show_span(amount / 1000)]) * 1000, amount, places=3)
        self.assertEqual(size(0, 1 << 40).read([show_size(amount)]), amount)

    def test_the_page_has_the_tables_of_the_code(self) -> None:
        page = (Path(__file__).parent.parent.parent / "docs" / "settings.md").read_text()
        self.assertIn(tables(SECTIONS), page)

    def test_defaults_can_be_written(self) -> None:
        for section in SECTIONS:
            for directive in section.directives:
                if directive.default not in (None, "", ()):
                    shown = directive.kind.show(directive.default).split()
                    self.assertEqual(directive.kind.read(shown), directive.default, directive.name)
        self.assertEqual(read("").one(HTTP2)["streams"], 100)
