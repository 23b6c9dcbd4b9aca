"""References of messages and ids of leases: one spelling each, and any other text is none."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowusher.messages.records import (
    format_lease_id,
    format_reference,
    parse_lease_id,
    parse_reference,
)

NUMBERS = st.integers(0, 10**19 - 1)


@given(NUMBERS, NUMBERS, NUMBERS)
def test_a_reference_is_read_as_it_was_written(partition: int, epoch: int, sequence: int) -> None:
    assert parse_reference(format_reference(partition, (epoch, sequence))) == (partition, (epoch, sequence))


@pytest.mark.parametrize(
    "text",
    ["00-1-17", "0-01-17", "0-1-017", "0-1-", "-1-17", "0-1", "0-1-17-1", "0-1-1७", "0-1-+7", "0-1-1_7"],
)
def test_another_spelling_is_no_reference(text: str) -> None:
    """A state was shown for a name that no message had."""
    assert parse_reference(text) is None


@pytest.mark.parametrize("digits", [20, 5_000])
def test_a_number_of_many_digits_is_no_reference(digits: int) -> None:
    """Python refuses to convert 5,000 digits, and the call ended with an error instead of 404."""
    assert parse_reference(f"0-1-{'9' * digits}") is None
    assert parse_lease_id(f"0-1-17-{'9' * digits}") is None


@given(st.text(alphabet="0123456789-c", max_size=12))
def test_each_lease_id_has_one_spelling(text: str) -> None:
    found = parse_lease_id(text)
    if found is not None:
        assert text == format_lease_id(
            found.partition, found.key, found.number, is_callback=found.is_callback
        )
