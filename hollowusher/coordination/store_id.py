"""Store ids of the form "machine name/disk id".

A machine that restarts with another disk holds none of its earlier data, so it counts as another store.
"""

from __future__ import annotations

SEPARATOR = "/"


def store_name(store_id: str) -> str:
    """Return the machine name that a store id contains."""
    return store_id.partition(SEPARATOR)[0]
