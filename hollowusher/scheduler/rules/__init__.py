"""Decisions about streams, limits and recovery.  No I/O, no clock, no wire."""
