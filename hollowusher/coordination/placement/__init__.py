"""Placement: which stores hold the replicas of each partition, and which replica is its primary.

`planner` computes the next placement, without I/O; `placement_manager` runs it at the head of the control
chain and carries out the operators' orders about stores and partitions.
"""
