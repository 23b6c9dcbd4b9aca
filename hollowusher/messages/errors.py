"""The errors of the message store.

The packages `hollowusher.storage` and `hollowusher.transport` define the errors of disks and connections.
"""

from __future__ import annotations


class MessageStoreError(Exception):
    """Base class of the errors that the message store raises."""


class InvalidRecordError(MessageStoreError, ValueError):
    """The bytes are too short for the header of a record."""

    def __init__(self, size: int, min_size: int) -> None:
        super().__init__(f"cannot unpack record: {size} bytes are too short for the {min_size}-byte header")
        self.size = size
