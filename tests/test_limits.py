"""The module that two engineers sign stays short enough to read."""

from pathlib import Path

POLICY = Path(__file__).parent.parent / "hazelweir" / "balance.py"
MOST_LINES = 750
WIDEST = 110


def test_module_keeps_its_line_limit() -> None:
    lines = [line for line in POLICY.read_text().splitlines() if line.strip()]
    assert len(lines) <= MOST_LINES


def test_lines_keep_the_width() -> None:
    for source in POLICY.parent.glob("*.py"):
        for number, line in enumerate(source.read_text().splitlines(), 1):
            assert len(line) <= WIDEST, f"{source.name}:{number}"


def test_interface_is_named_at_the_top() -> None:
    assert "hazelweir/interface.py" in POLICY.read_text().splitlines()[0]
