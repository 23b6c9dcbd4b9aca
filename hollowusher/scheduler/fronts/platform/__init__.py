"""The platform's HTTP protocol: client connections, route node connections and the node list."""
