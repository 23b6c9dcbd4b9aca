"""The list of the longest tests names tests that exist, so that these begin first."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.conftest import LONGEST

TESTS = Path(__file__).parent


@pytest.mark.parametrize("part", LONGEST)
def test_each_entry_names_a_test(part: str) -> None:
    file, *names = [name for name in part.split("::") if name]
    source = "".join(path.read_text() for path in TESTS.rglob(file))
    assert source
    assert all(f"def {name}" in source or f"class {name}" in source for name in names)
