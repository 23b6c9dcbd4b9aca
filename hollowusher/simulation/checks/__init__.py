"""The checks of a simulation run, by concern.  `hollowusher.simulation.invariants` runs all of them."""
