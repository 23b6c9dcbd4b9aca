"""Datagram format of the shared state: a checksummed header and an envelope of several messages."""

from __future__ import annotations

import struct
from collections import Counter
from collections.abc import Iterable

import msgspec
import xxhash

from hollowusher.scheduler.rules.shared_state.budgets import BudgetGrant, BudgetRequest
from hollowusher.scheduler.rules.shared_state.counts import CountUpdate
from hollowusher.scheduler.rules.shared_state.judgements import NodeObservation

MAGIC, VERSION = b"hs", 1
MAX_DATAGRAM_BYTES = 256
_HEAD = struct.Struct(">2sBII")
Message = BudgetRequest | BudgetGrant | CountUpdate | NodeObservation


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Content of one datagram."""

    sender: str
    messages: tuple[Message, ...]


class SharedStateCodec:
    """Encodes and decodes the datagrams of one cluster, up to `capacity` bytes each.

    `bad` counts the received datagrams that were dropped, by reason.
    """

    def __init__(self, cluster: str, capacity: int = MAX_DATAGRAM_BYTES) -> None:
        self._cluster = xxhash.xxh32_intdigest(cluster.encode())
        self._capacity = capacity
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self.bad: Counter[str] = Counter()

    def size(self, message: Message) -> int:
        """Return the encoded size of a message in bytes."""
        return len(self._encoder.encode(message))

    def encode_datagrams(self, sender: str, messages: Iterable[Message], most: int) -> list[bytes]:
        """Pack messages in order into at most `most` datagrams; messages that do not fit are dropped."""
        datagrams: list[bytes] = []
        capacity = self._capacity - _HEAD.size - len(sender.encode()) - 8
        batch: list[Message] = []
        left = capacity
        for message in messages:
            size = self.size(message)
            if size > capacity:
                continue
            if size > left:
                datagrams.append(self._encode_datagram(sender, batch))
                batch, left = [], capacity
                if len(datagrams) >= most:
                    return datagrams
            batch.append(message)
            left -= size
        if batch:
            datagrams.append(self._encode_datagram(sender, batch))
        return datagrams

    def _encode_datagram(self, sender: str, batch: list[Message]) -> bytes:
        body = self._encoder.encode(Envelope(sender, tuple(batch)))
        return _HEAD.pack(MAGIC, VERSION, self._cluster, self._sum(body)) + body

    def decode(self, data: bytes) -> Envelope | None:
        """Decode a datagram; return None if it is invalid or belongs to another cluster."""
        if not _HEAD.size < len(data) <= self._capacity:
            return self._reject("length")
        magic, version, cluster, checksum = _HEAD.unpack_from(data)
        if (magic, version) != (MAGIC, VERSION):
            return self._reject("version")
        if cluster != self._cluster:
            return self._reject("cluster")
        body = data[_HEAD.size :]
        if checksum != self._sum(body):
            return self._reject("checksum")
        try:
            return self._decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            return self._reject("body")

    def _reject(self, why: str) -> Envelope | None:
        self.bad[why] += 1
        return None

    def _sum(self, body: bytes) -> int:
        return xxhash.xxh32_intdigest(body, seed=self._cluster)
