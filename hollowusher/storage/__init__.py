"""Durable storage: logs in a ring of preallocated files with checksums and group commit, and value slots."""
