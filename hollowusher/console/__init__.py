"""The operators' command line for edge and store processes, and the status reports that it displays."""
