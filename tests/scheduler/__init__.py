"""Tests of the scheduler in service."""
