"""Replication of partitions among stores: quorums, streams to peers, anti-entropy and recovery."""
