"""The pure state machines of one partition: records merged by version, queue, leases, call-backs.  No I/O."""
