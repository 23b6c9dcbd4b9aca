"""Non-blocking output of log lines."""
