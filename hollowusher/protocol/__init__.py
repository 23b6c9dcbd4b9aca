"""The typed messages that the processes of one system exchange, and their encoding."""
