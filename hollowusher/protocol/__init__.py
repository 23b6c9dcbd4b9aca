"""The typed messages that the processes of a cluster exchange, and their encoding."""
