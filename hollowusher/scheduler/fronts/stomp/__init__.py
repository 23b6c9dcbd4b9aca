"""STOMP 1.2: clients as clients, route nodes as servers."""
