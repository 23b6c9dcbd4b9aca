"""The operators' side of the whole service: the command line, and the status that it shows."""
