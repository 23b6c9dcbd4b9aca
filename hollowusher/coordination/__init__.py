"""Cluster coordination: membership, views, the control chain, partition placement and update distribution."""
