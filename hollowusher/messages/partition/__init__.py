"""State machines of one partition without I/O: records, queue, leases, call-backs."""
