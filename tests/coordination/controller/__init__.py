"""Tests of the controller."""
