"""Tests of delivery."""
