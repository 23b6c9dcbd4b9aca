"""Cluster membership: the members with their incarnations, and failure detection by heartbeats.

Every process runs a `FailureDetector`.  Each controller keeps a `MemberDirectory`; the head of the control
chain confirms deaths from it and publishes them.
"""
