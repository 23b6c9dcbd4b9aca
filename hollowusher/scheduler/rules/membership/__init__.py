"""Group membership of the schedulers, as a state machine without I/O and without a clock."""
