"""Live replacement: a new process of a scheduler takes over from a running process of the same scheduler."""
