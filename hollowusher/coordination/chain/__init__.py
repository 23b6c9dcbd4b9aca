"""Chain replication of the control state, its durable store, and the transfer of large records."""
