"""Tests of cluster membership and failure detection."""
