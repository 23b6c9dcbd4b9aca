"""The members of the system, their incarnations, and failure detection by heartbeats."""
