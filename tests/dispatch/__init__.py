"""Tests of dispatch."""
