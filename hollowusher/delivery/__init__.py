"""Job delivery from an edge process: pushes to workers, pull calls of workers, and callbacks to receivers."""
