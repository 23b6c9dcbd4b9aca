"""The roles that a process of the cluster can have."""

from __future__ import annotations

from enum import StrEnum


class MemberRole(StrEnum):
    """The role of a member; the values are those of `Member.role` on the wire."""

    EDGE = "edge"
    STORE = "store"
