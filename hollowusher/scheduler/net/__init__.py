"""Sockets, ring buffers, connection pools, timers and the task that runs the job dispatcher."""
