"""The errors that placement raises when it rejects an operator's order."""

from __future__ import annotations

from http import HTTPStatus
from typing import ClassVar


class PlacementError(Exception):
    """Base class of the errors of this package."""


class OrderRejectedError(PlacementError):
    """An operator's order was rejected and changed nothing.

    The HTTP response to the operator contains the error text and has the status code `status`.
    """

    status: ClassVar[HTTPStatus]


class UnknownTargetError(OrderRejectedError):
    """The order names a store or a partition that does not exist."""

    status = HTTPStatus.NOT_FOUND


class OrderConflictError(OrderRejectedError):
    """The order conflicts with the current state of the cluster."""

    status = HTTPStatus.CONFLICT
