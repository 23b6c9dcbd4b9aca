"""The roles of the processes in a cluster."""

from __future__ import annotations

from enum import StrEnum


class MemberRole(StrEnum):
    """The role of a member; the values appear in `Member.role` on the wire."""

    EDGE = "edge"
    STORE = "store"
