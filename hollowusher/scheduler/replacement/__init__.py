"""How one process of a scheduler takes over from another that runs beside it."""
