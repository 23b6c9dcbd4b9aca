"""Exceptions of the controller package."""

from __future__ import annotations


class ControllerError(Exception):
    """Base class of the exceptions of the controller package."""


class MalformedPageError(ControllerError):
    """A response of the platform is not a valid page of the worker list."""


class WorkerListReadError(ControllerError):
    """A read of the worker list failed.

    Attributes
    ----------
    step : str
        The operation that failed.
    peer : str
        The platform's "host:port".
    reason : str
        The cause of the failure, for example the HTTP status.
    """

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f"{step} at {peer}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
