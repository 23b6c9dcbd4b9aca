"""Placement: which stores hold the replicas of each partition, and which replica is its primary.

`planner` computes the next placement without I/O.  `placement_manager` runs the planner at the head of the
control chain, and executes operators' orders about stores and partitions.
"""
