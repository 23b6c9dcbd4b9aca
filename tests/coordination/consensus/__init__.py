"""Tests of consensus."""
