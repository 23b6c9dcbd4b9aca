"""Faults among schedulers: what a script says of them, what links do, what a history must show.  No I/O."""
