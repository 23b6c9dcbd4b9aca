"""Stand-ins of the outside for rehearsals and tests: route nodes that do as a script says."""
