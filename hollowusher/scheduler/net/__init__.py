"""Sockets, ring buffers, connection pools, timers and the task that owns the desk."""
