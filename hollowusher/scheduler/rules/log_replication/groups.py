"""Which schedulers keep whose log: rendezvous hashing over the configured names."""

from __future__ import annotations

import zlib
from collections.abc import Iterable


def group_of(owner: str, names: Iterable[str], size: int) -> tuple[str, ...]:
    """The owner and those whose hash beside it is highest: a name more or less moves few logs, and each
    scheduler keeps about as many as any other."""
    others = sorted(
        (n for n in set(names) if n != owner), key=lambda n: (-zlib.crc32(f"{owner}/{n}".encode()), n)
    )
    return (owner, *sorted(others[: size - 1]))


def kept_by(name: str, names: Iterable[str], size: int) -> tuple[str, ...]:
    """The owners whose logs a scheduler keeps, its own first."""
    all_names = sorted(set(names))
    return (name, *(o for o in all_names if o != name and name in group_of(o, all_names, size)))
