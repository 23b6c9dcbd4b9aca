"""Transport between the processes of a cluster: framing, request-response calls, one-way messages."""
