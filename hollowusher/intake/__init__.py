"""The clients' side of an edge process: HTTP routes, admission and answers."""
