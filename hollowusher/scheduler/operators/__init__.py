"""The operators' HTTP interface to a running scheduler, and its command-line client."""
