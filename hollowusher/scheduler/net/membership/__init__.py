"""UDP transport, settings and log lines of the membership protocol between schedulers."""
