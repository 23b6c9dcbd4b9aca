"""Tests of intake."""
