"""The answer to messages that only need to be acknowledged."""

from __future__ import annotations

from hollowusher.protocol.codec import message


@message(7)
class Acknowledgement:
    """Acknowledgement of a message that has no other answer."""
