"""The roles a process can have; each puts parts together, starts and stops them."""
