"""The tests of KNOWN-RED.txt: those that fail for a real fault that is known and not mended yet.

Each line begins with a test's id (without its parameters: all of them), then cause and issue; lines that
begin with # are remarks.
"""

from __future__ import annotations

from collections.abc import Iterable


def read_known_red(text: str) -> list[str]:
    """The ids that a list's text names."""
    lines = (line.split() for line in text.splitlines())
    return [words[0].rstrip(",;") for words in lines if words and not words[0].startswith("#")]


def is_listed(test_id: str, listed: Iterable[str]) -> bool:
    """Whether a test is one of those listed; a name that merely begins alike is not."""
    return any(test_id == known or test_id.startswith(f"{known}[") for known in listed)


def unknown(listed: Iterable[str], test_ids: Iterable[str]) -> list[str]:
    """The entries that name no test, so that a renamed or mended one does not stay listed."""
    ids = list(test_ids)
    return [known for known in listed if not any(is_listed(test_id, [known]) for test_id in ids)]
