"""The message store: partitions of messages with replicas, a queue, leases and call-backs.

`partition` has the state machines of one partition without I/O, `replication` what keeps its replicas equal,
`store_service` the asyncio shell that answers requests.  `records` is the form of messages on disk.

Times: `now` and names that end in `_at`, `_until` or `_since` are seconds of the monotonic clock of the event
loop; names that end in `wall_ms` are milliseconds of the wall clock.
"""
