"""Tests of the balancing module."""
