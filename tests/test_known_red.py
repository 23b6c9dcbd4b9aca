"""The list of known failures takes exactly the tests it names out of the verdict."""

from __future__ import annotations

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


def test_an_entry_that_names_no_test_is_reported() -> None:
    assert unknown(LISTED, ["tests/test_a.py::test_one[1]", "tests/test_b.py::Group::test_two_b"]) == [
        "tests/test_b.py::Group::test_two"
    ]
