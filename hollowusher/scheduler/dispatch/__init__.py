"""The dispatch desk: jobs, attempts and answers, with no I/O, no clock and no word of any wire."""
