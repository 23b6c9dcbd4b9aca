"""The state machines of one partition, without I/O: records, queue, leases and call-backs."""
