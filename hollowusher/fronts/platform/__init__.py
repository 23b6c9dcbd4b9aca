"""The platform's HTTP protocol: terminals, route nodes and the node list."""
