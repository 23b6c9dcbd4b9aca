"""Where the replicas of partitions are kept: planning, repair, and recovery by operators."""
