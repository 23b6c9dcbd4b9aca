"""Errors of the experiments."""

from __future__ import annotations


class ExperimentError(Exception):
    """An experiment that cannot be played; the text names what is wrong in one line."""
