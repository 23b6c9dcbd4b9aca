"""The errors of the message store; errors of the disk and of connections are those of their packages."""

from __future__ import annotations


class MessageStoreError(Exception):
    """Root of the errors that the message store raises."""


class InvalidRecordError(MessageStoreError, ValueError):
    """Bytes that are no record of the log."""

    def __init__(self, size: int, min_size: int) -> None:
        super().__init__(f"unpack record: {size} bytes, a header has {min_size}")
        self.size = size


class StaleEpochError(MessageStoreError):
    """A peer rejects the epoch of this primary, because it follows a newer one."""

    def __init__(self, partition: int, epoch: int) -> None:
        super().__init__(f"partition {partition}: the peer follows the newer epoch {epoch}")
        self.partition = partition
        self.epoch = epoch
