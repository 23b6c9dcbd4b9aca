"""Assigns the replicas of each log to schedulers by rendezvous hashing over the configured names."""

from __future__ import annotations

import zlib
from collections.abc import Iterable


def group_of(owner: str, names: Iterable[str], size: int) -> tuple[str, ...]:
    """Returns the `size` schedulers that hold the log of `owner`.

    These are the owner and the other schedulers whose hash together with the owner's name is highest.
    Adding or removing a name moves few logs, and all schedulers hold about the same number of logs.
    """
    others = sorted(
        (n for n in set(names) if n != owner), key=lambda n: (-zlib.crc32(f"{owner}/{n}".encode()), n)
    )
    return (owner, *sorted(others[: size - 1]))


def owners_held_by(name: str, names: Iterable[str], size: int) -> tuple[str, ...]:
    """Returns the owners of the logs that a scheduler holds, itself first."""
    all_names = sorted(set(names))
    return (name, *(o for o in all_names if o != name and name in group_of(o, all_names, size)))
