"""Comparison of host names, which the operator writes in routes and clients send in Host headers."""

from __future__ import annotations


def normalized_host(text: str) -> str:
    """Return a host name in the form in which host names are compared.

    Host names are case-insensitive, a dot at their end has no meaning, and a Host header may add a port (RFC
    9110, section 7.2; RFC 4343).  The result is empty if the text has no host name.
    """
    text = text.strip()
    is_ipv6 = text.startswith("[")
    host = text.partition("]")[0] + "]" if is_ipv6 else text.partition(":")[0].strip()
    return host.removesuffix(".").lower()
