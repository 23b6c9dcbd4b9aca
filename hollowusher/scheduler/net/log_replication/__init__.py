"""Replication of a scheduler's job log: storage, streams between schedulers, admission of jobs."""
