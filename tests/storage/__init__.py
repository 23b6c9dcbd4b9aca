"""Tests of storage."""
