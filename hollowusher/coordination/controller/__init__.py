"""The controller, which combines consensus, chain replication, membership and placement."""
