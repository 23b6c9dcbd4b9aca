"""Membership among the schedulers: who is there, as a state machine without I/O or clock of its own."""
