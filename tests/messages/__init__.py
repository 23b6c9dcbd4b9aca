"""Tests of partitions of messages."""
