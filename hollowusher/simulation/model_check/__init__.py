"""Bounded model checks: every order of messages, disk completions and losses, on the real state machines."""
