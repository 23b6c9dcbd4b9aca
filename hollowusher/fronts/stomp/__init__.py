"""STOMP 1.2: depot terminals as clients, route nodes as servers."""
