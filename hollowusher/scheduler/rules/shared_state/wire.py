"""Datagrams of what is shared: several messages in an envelope, by worth, at most so many bytes."""

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
    """What one datagram holds."""

    sender: str
    messages: tuple[Message, ...]


class SharedStateCodec:
    """For one cluster.  `bad` counts what came and was skipped, by reason."""

    def __init__(self, cluster: str, capacity: int = MAX_DATAGRAM_BYTES) -> None:
        self._cluster = xxhash.xxh32_intdigest(cluster.encode())
        self._capacity = capacity
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope)
        self.bad: Counter[str] = Counter()

    def size(self, message: Message) -> int:
        """Bytes that a message takes in a letter."""
        return len(self._encoder.encode(message))

    def encode_datagrams(self, sender: str, messages: Iterable[Message], most: int) -> list[bytes]:
        """As many letters as are needed, at most so many; what finds no room is left out, the last first."""
        letters: list[bytes] = []
        capacity = self._capacity - _HEAD.size - len(sender.encode()) - 8
        page: list[Message] = []
        left = capacity
        for message in messages:
            size = self.size(message)
            if size > capacity:
                continue
            if size > left:
                letters.append(self._seal(sender, page))
                page, left = [], capacity
                if len(letters) >= most:
                    return letters
            page.append(message)
            left -= size
        if page:
            letters.append(self._seal(sender, page))
        return letters

    def _seal(self, sender: str, page: list[Message]) -> bytes:
        body = self._encoder.encode(Envelope(sender, tuple(page)))
        return _HEAD.pack(MAGIC, VERSION, self._cluster, self._sum(body)) + body

    def decode(self, data: bytes) -> Envelope | None:
        """The letter, or None where this is none for us."""
        if not _HEAD.size < len(data) <= self._capacity:
            return self._bad("length")
        magic, version, cluster, checksum = _HEAD.unpack_from(data)
        if (magic, version) != (MAGIC, VERSION):
            return self._bad("version")
        if cluster != self._cluster:
            return self._bad("cluster")
        body = data[_HEAD.size :]
        if checksum != self._sum(body):
            return self._bad("checksum")
        try:
            return self._decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            return self._bad("body")

    def _bad(self, why: str) -> Envelope | None:
        self.bad[why] += 1
        return None

    def _sum(self, body: bytes) -> int:
        return xxhash.xxh32_intdigest(body, seed=self._cluster)
