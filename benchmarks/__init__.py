"""Measurements: each a command with a seed, its table in the docs."""
