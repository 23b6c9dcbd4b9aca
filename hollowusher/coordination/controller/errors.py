"""Errors that the controller package raises."""

from __future__ import annotations


class ControllerError(Exception):
    """Root of the errors of the controller package."""


class MalformedPageError(ControllerError):
    """An answer of the platform that is not a page of the worker list."""


class WorkerListReadError(ControllerError):
    """A failed read of the worker list.

    Attributes
    ----------
    step : str
        What was being done.
    peer : str
        The platform's address.
    reason : str
        What was found instead of a page.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
