"""Ages of delayed messages, which stores send along with the PUT records of these messages.

The delay of a message starts when the message is accepted.  Its record may reach a replica much later: a
learner receives it while it catches up, and a store that was down receives it after its restart.  Wall clocks
of machines differ, so the sender transmits the time since the acceptance, and the receiver subtracts it from
its own clock.  A record that is sent right after the acceptance needs no age.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from hollowusher.messages import records
from hollowusher.messages.partition.partition_table import PartitionTable
from hollowusher.messages.records import RecordKind

MIN_AGE_MS = 100  # smaller ages are not sent; at the receiver the delay may end later by up to this much


def with_ages(
    table: PartitionTable, packed_records: Iterable[bytes], read_wall_ms: Callable[[], int]
) -> Iterator[bytes]:
    """Yield these records of a table, with an age record before the PUT record of each delayed message."""
    for record in packed_records:
        header = records.unpack_header(record)
        if header.kind == RecordKind.PUT:
            age_ms = table.acceptance_age_ms(header.version, read_wall_ms())
            if age_ms is not None and age_ms >= MIN_AGE_MS:
                yield records.pack_acceptance_age(table.partition, header.version, age_ms)
        yield record
