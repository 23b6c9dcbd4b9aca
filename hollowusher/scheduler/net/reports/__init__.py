"""What the parts of a running scheduler tell of themselves, asked for on loopback."""
