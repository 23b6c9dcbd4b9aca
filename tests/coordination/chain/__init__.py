"""Tests of the control chain."""
