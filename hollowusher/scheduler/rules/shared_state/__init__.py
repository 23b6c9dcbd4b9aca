"""State that schedulers share: budgets, counts and node scores.  It does no I/O and reads no clock."""
