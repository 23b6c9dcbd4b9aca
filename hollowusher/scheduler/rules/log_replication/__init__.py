"""What a scheduler holds for others, copied to further schedulers.  No I/O, no clock."""
