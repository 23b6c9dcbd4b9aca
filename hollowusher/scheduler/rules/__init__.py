"""Rules for streams, limits and recovery.  They do no I/O, read no clock and know no wire format."""
