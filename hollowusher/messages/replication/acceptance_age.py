"""Ages of delayed messages, told beside their PUT records when one store sends them to another.

A delay is counted from the acceptance of its message, which may be long before its record reaches a replica:
a learner gets the record when it is filled, a store that was away when it comes back.  Wall clocks of
machines differ, so the sender tells how long ago the message was accepted, and the receiver subtracts that
from its own clock.  A record that is sent at once needs no age.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from hollowusher.messages import records
from hollowusher.messages.partition.partition_table import PartitionTable
from hollowusher.messages.records import RecordKind

MIN_AGE_MS = 100  # smaller ages are not told: the delay may end later by so much


def with_ages(
    table: PartitionTable, found: Iterable[bytes], read_wall_ms: Callable[[], int]
) -> Iterator[bytes]:
    """Yield these records of a table, each PUT record of a delayed message preceded by its age."""
    for record in found:
        header = records.unpack_header(record)
        if header.kind == RecordKind.PUT:
            age_ms = table.acceptance_age_ms(header.version, read_wall_ms())
            if age_ms is not None and age_ms >= MIN_AGE_MS:
                yield records.pack_acceptance_age(table.partition, header.version, age_ms)
        yield record
