"""Tests of control under losses: agreement, membership, snapshots, fencing and calls."""
