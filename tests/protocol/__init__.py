"""Tests of the protocol."""
