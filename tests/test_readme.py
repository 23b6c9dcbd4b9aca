"""The README's example runs as printed."""

import re
import subprocess
import sys
from pathlib import Path

import pytest


def test_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(example, "README.md", "exec"), {})
    assert capsys.readouterr().out.splitlines() == ["send req-1 to worker 1", "answered"]


def test_the_platforms_line_imports_nothing_that_is_off() -> None:
    off = (
        "h2",
        "hpack",
        "hyperframe",
        "hollowusher.scheduler.fronts.stomp.front",
        "hollowusher.scheduler.net.http2.streams",
        "msgspec",
        "xxhash",
        "hollowusher.scheduler.emulator",
        "difflib",
        "tomllib",
    )
    code = (
        "import sys, hollowusher.__main__, hollowusher.scheduler.app; "
        f"print([m for m in {off!r} if m in sys.modules])"
    )
    told = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert told.stdout.strip() == "[]"
