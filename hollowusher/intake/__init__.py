"""The intake of an edge process: the HTTP server, admission of messages, and calls of pull workers."""
