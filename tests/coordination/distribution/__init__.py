"""Tests of distribution."""
