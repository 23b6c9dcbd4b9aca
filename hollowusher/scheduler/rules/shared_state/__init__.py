"""What schedulers share: budgets, counts and judgements that stay within bounds.  No I/O, no clock."""
