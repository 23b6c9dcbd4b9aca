"""Messages in partitions: records, replicas, the queue with its leases, ordering keys, ceilings, retention."""
