"""Tests of the edge and store roles."""
