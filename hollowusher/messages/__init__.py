"""Messages in partitions: records, replicas, queue, leases, ordering keys, ceilings, retention."""
