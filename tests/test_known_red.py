"""The list of known failures takes exactly the tests it names out of the verdict."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import is_listed, read_known_red, unknown

LISTED = read_known_red("""\
# test  cause  issue
tests/test_a.py::test_one, a worker's end is lost, issue 32

tests/test_b.py::Group::test_two  the disk is slow
""")


def test_the_first_column_is_read() -> None:
    assert LISTED == ["tests/test_a.py::test_one", "tests/test_b.py::Group::test_two"]


def test_only_the_named_test_and_its_parameters_are_listed() -> None:
    assert is_listed("tests/test_a.py::test_one", LISTED)
    assert is_listed("tests/test_a.py::test_one[2-x]", LISTED)
    assert not is_listed("tests/test_a.py::test_one_more", LISTED)
    assert not is_listed("tests/test_a.py::test", LISTED)
    assert not is_listed("tests/test_b.py::Group", LISTED)


PASSES = "def test_one():\n    pass\n"
FAILS = "def test_two():\n    assert False\n"


@pytest.mark.parametrize(
    ("listed", "source", "exit_code"),
    [
        (["test_one"], PASSES, pytest.ExitCode.OK),
        (["test_one", "test_two"], PASSES + FAILS, pytest.ExitCode.OK),
        (["test_one"], PASSES + FAILS, pytest.ExitCode.TESTS_FAILED),
        (["test_two"], PASSES + FAILS, pytest.ExitCode.OK),
        ([], PASSES + FAILS, pytest.ExitCode.TESTS_FAILED),
        (["test_one"], "", pytest.ExitCode.NO_TESTS_COLLECTED),
        (["test_one"], "import nothing_of_this_name\n", pytest.ExitCode.INTERRUPTED),
    ],
)
def test_a_file_without_other_tests_passes_exactly_when_all_of_its_tests_are_listed(
    tmp_path: Path, listed: list[str], source: str, exit_code: pytest.ExitCode
) -> None:
    """A listed test that was alone in its file failed the whole run: pytest ends with 5 without a test."""
    here = Path(__file__).parent
    folder = tmp_path / "tests"
    folder.mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        shutil.copy(here / name, folder)
    (folder / "test_file.py").write_text(source)
    entries = [f"tests/test_file.py::{name}  cause, issue 1\n" for name in listed]
    (tmp_path / "KNOWN-RED.txt").write_text("".join(entries))
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--known-red", "without"]
    ended = subprocess.run([*command, "tests/test_file.py"], cwd=tmp_path, capture_output=True, check=False)
    assert ended.returncode == exit_code, ended.stdout


def test_an_entry_that_names_no_test_is_reported() -> None:
    assert unknown(LISTED, ["tests/test_a.py::test_one[1]", "tests/test_b.py::Group::test_two_b"]) == [
        "tests/test_b.py::Group::test_two"
    ]
