"""Cluster membership: the members, their incarnations and heartbeat failure detection.

Every process runs a `FailureDetector`.  Each controller keeps a `MemberDirectory`.  The head of the control
chain uses its directory to confirm that suspected members are dead, and publishes their new state.
"""
