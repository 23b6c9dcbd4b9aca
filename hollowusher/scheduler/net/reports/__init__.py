"""Reports of the components of a running scheduler, served on loopback."""
