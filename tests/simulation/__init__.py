"""Tests of the simulation."""
