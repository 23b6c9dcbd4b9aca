"""The errors of the message store; errors of the disk and of connections are those of their packages."""

from __future__ import annotations


class MessageStoreError(Exception):
    """Root of the errors that the message store raises."""


class InvalidRecordError(MessageStoreError, ValueError):
    """Bytes that are no record of the log."""

    def __init__(self, size: int, min_size: int) -> None:
        super().__init__(f"unpack record: {size} bytes, a header has {min_size}")
        self.size = size
