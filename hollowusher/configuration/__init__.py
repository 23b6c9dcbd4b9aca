"""The operator's configuration: its model, its checks, and the routing that follows from it."""
