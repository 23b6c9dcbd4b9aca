"""Limits of the balancing package: only the adapter imports I/O or clocks, and lines are at most 110 long."""

import ast
from pathlib import Path

BALANCER = Path(__file__).parent.parent.parent / "hollowusher" / "balancing" / "balancer.py"
ADAPTER = "simulator_adapter.py"  # the only module with input and output
IO_MODULES = {"asyncio", "logging", "os", "selectors", "socket", "subprocess", "sys", "threading", "time"}
MAX_LINE_LENGTH = 110


def imported(source: Path) -> set[str]:
    """Return the top-level names of all modules that a source file imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition(".")[0])
    return names


def test_decisions_import_neither_io_nor_clocks() -> None:
    sources = [source for source in BALANCER.parent.glob("*.py") if source.name != ADAPTER]
    assert len(sources) >= 7
    for source in sources:
        assert not imported(source) & IO_MODULES, source.name


def test_lines_keep_the_width() -> None:
    for source in BALANCER.parent.glob("*.py"):
        for number, line in enumerate(source.read_text().splitlines(), 1):
            assert len(line) <= MAX_LINE_LENGTH, f"{source.name}:{number}"


def test_interface_is_named_at_the_top() -> None:
    assert "hollowusher/balancing/interface.py" in BALANCER.read_text().partition('"""\n')[0]
