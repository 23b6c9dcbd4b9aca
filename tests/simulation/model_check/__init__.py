"""Tests of the model checks."""
