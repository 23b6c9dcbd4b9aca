"""Ports and addresses of the simulated machines."""

from __future__ import annotations

INTERNAL_PORT, FRONTEND_PORT, READINESS_PORT, ADMIN_PORT = 7780, 8069, 8063, 8064
WORKER_LIST_ADDRESS = "10.200.0.70:8065"


def host_of(address: str) -> str:
    """Return the machine's address of "ip:port"."""
    return address.rpartition(":")[0]
