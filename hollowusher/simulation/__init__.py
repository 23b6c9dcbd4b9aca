"""The whole system in virtual time: every role from one seed, with faults, checked against the rules."""
