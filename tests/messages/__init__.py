"""Tests of the message store."""
