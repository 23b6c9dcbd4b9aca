"""The objects that the state machines of one primary share."""

from __future__ import annotations

import attrs

from hollowusher.messages.partition.message_deadlines import MessageDeadlines
from hollowusher.messages.partition.message_queue import MessageQueue
from hollowusher.messages.partition.partition_table import PartitionTable
from hollowusher.messages.partition.record_writer import RecordWriter
from hollowusher.messages.partition.service_routing import ServiceRouting


@attrs.frozen(eq=False)
class PartitionContext:
    """The shared objects of one primary; `PartitionPrimary` creates and owns them."""

    table: PartitionTable
    writer: RecordWriter
    queue: MessageQueue
    deadlines: MessageDeadlines
    routing: ServiceRouting
