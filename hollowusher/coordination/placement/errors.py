"""The errors of placement: orders of operators that are rejected."""

from __future__ import annotations

from http import HTTPStatus
from typing import ClassVar


class PlacementError(Exception):
    """Root of the errors of this package."""


class OrderRejectedError(PlacementError):
    """An operator's order is not carried out; nothing has changed.

    The text is what the operator reads; `status` is that of the HTTP answer.
    """

    status: ClassVar[HTTPStatus]


class UnknownTargetError(OrderRejectedError):
    """The order names a store or a partition that does not exist."""

    status = HTTPStatus.NOT_FOUND


class OrderConflictError(OrderRejectedError):
    """The order contradicts the present state of the cluster."""

    status = HTTPStatus.CONFLICT
