"""Real processes of the program with a switchboard between them: the rig of faults."""
