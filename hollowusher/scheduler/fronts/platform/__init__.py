"""The platform's HTTP protocol: clients, route nodes and the node list."""
