"""The message store: replicated partitions of messages, each with a queue, leases and call-backs.

`partition` contains the state machines of one partition, without I/O.  `replication` keeps the replicas of a
partition equal.  `store_service` is the asyncio layer that answers requests.  `records` defines the format of
messages on disk and between replicas.

Times: `now` and names that end in `_at`, `_until` or `_since` are seconds of the monotonic clock of the event
loop; names that end in `wall_ms` are milliseconds of the wall clock.
"""
