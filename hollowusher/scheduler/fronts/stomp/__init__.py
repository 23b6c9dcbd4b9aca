"""STOMP 1.2: the scheduler is the server for its clients and a client of the route nodes."""
