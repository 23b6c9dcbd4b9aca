"""Where log lines go: outlets that never hold up the jobs."""
