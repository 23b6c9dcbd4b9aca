"""Tests of roles."""
