"""The response to messages that need no other response."""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(7)
class Acknowledgement:
    """Response that only acknowledges a message."""
