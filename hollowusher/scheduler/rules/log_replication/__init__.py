"""Replication of each scheduler's job log to other schedulers, without I/O and without a clock."""
