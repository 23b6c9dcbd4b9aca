"""Store ids: the name of a machine and the id of its disk, "name/disk id".

A machine that returns with another disk holds none of its former data, so it is another store.
"""

from __future__ import annotations

SEPARATOR = "/"


def store_name(store_id: str) -> str:
    """Return the machine's name in a store id."""
    return store_id.partition(SEPARATOR)[0]
