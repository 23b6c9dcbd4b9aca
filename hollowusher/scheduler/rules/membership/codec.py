"""Encodes and decodes membership datagrams: MessagePack after a header with version, cluster and checksum.

The decoder drops an invalid datagram and counts it by reason; it raises no error.
"""

from __future__ import annotations

import struct
from collections import Counter

import msgspec
import xxhash

from hollowusher.scheduler.rules.membership.messages import HEADER_BYTES, MAX_DATAGRAM_BYTES, Message

MAGIC, VERSION = b"hu", 1
MAX_UPDATES, MAX_HASHES = 64, 64
_HEADER = struct.Struct(">2sBII")
assert _HEADER.size == HEADER_BYTES


class DatagramCodec:
    """The codec of one cluster.

    `capacity` is the maximum size of a datagram in bytes.  `bad` counts the dropped datagrams by reason.
    """

    def __init__(self, cluster: str, capacity: int = MAX_DATAGRAM_BYTES) -> None:
        self._cluster = xxhash.xxh32_intdigest(cluster.encode())
        self._capacity = capacity
        self._decoder = msgspec.msgpack.Decoder(Message)
        self._encoder = msgspec.msgpack.Encoder()
        self.bad: Counter[str] = Counter()

    def encode(self, message: Message) -> bytes:
        """Returns the datagram; raises ValueError if it exceeds the maximum size."""
        body = self._encoder.encode(message)
        if len(body) + HEADER_BYTES > self._capacity:
            raise ValueError(f"datagram of {len(body) + HEADER_BYTES} bytes exceeds the maximum size")
        return _HEADER.pack(MAGIC, VERSION, self._cluster, self._sum(body)) + body

    def decode(self, data: bytes) -> Message | None:
        """Returns the message, or None if the datagram is invalid or belongs to another cluster."""
        why, message = self._read(data)
        if message is None:
            self.bad[why] += 1
        return message

    def _read(self, data: bytes) -> tuple[str, Message | None]:
        if not HEADER_BYTES < len(data) <= self._capacity:
            return "length", None
        magic, version, cluster, checksum = _HEADER.unpack_from(data)
        if magic != MAGIC:
            return "magic", None
        if version != VERSION:
            return "version", None
        if cluster != self._cluster:
            return "cluster", None
        body = data[HEADER_BYTES:]
        if checksum != self._sum(body):
            return "checksum", None
        try:
            message = self._decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):  # includes an unknown message kind
            return "body", None
        if len(message.news) > MAX_UPDATES or len(message.hashes) > MAX_HASHES:
            return "body", None
        return "", message

    def _sum(self, body: bytes) -> int:
        return xxhash.xxh32_intdigest(body, seed=self._cluster)
