"""What operators ask of a running scheduler, and tell it."""
