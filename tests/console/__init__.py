"""Tests of the console."""
