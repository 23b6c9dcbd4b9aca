"""Job dispatch: jobs, attempts and answers.  It does no I/O, reads no clock and knows no protocol."""
