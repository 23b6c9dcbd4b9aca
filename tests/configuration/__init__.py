"""Tests of the settings and the operator's configuration."""
