"""Factories for cluster members in tests."""

from __future__ import annotations

from hollowusher.protocol.membership import Member


def edge_member(name: str, incarnation: int = 1, status: int = 0) -> Member:
    return Member(name, "edge", f"{name}:1", "z", "r", incarnation, status=status)


def store_member(name: str, incarnation: int = 1, status: int = 0, disk_id: str = "d") -> Member:
    return Member(name, "store", f"{name}:1", "z", "r", incarnation, disk_id, status=status)
