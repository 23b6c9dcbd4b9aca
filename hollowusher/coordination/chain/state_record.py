"""The large part of the control state as one record that is known by its digest.

A change of the placement leaves the document and the history of orders as they are.  They form one record,
which is sent and saved only where it is not held yet; the rest of the state is a few kilobytes.
"""

from __future__ import annotations

import hashlib
from typing import Any

import attrs

from hollowusher.protocol.codec import decode, encode, evolve
from hollowusher.protocol.control_chain import ControlState

DIGEST_BYTES = 16
MAX_EMBEDDED_BYTES = 16 * 1024  # a record up to this size is saved together with the state
MAX_INLINE_BYTES = 256 * 1024  # a record up to this size travels inside a `ChainWrite`
CHUNK_BYTES = 256 * 1024  # the most that one `StateRecordChunk` carries
MAX_RECORD_BYTES = 16 * 1024 * 1024  # a document of 8 MB and the longest history, with room to spare


@attrs.frozen(eq=False)
class StateRecord:
    """Document and history, their encoded form, and its digest."""

    digest: bytes
    encoded: bytes
    document: bytes
    history: list[list[Any]]

    def of(self, state: ControlState) -> bool:
        """Whether this is the record of a state; told by identity, so that it costs nothing."""
        return state.document is self.document and state.history is self.history

    def fill(self, state: ControlState) -> ControlState:
        """Return the state with this document and history."""
        return evolve(state, document=self.document, history=self.history)


def make_record(state: ControlState) -> StateRecord:
    """Return the record of a state."""
    encoded = encode([state.document, state.history])
    return StateRecord(compute_digest(encoded), encoded, state.document, state.history)


def decode_record(encoded: bytes) -> StateRecord:
    """Decode a record; `DecodeError` for other bytes."""
    document, history = decode(encoded)
    return StateRecord(compute_digest(encoded), encoded, document, history)


def compute_digest(encoded: bytes) -> bytes:
    """Return the digest by which a record is known."""
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()


def strip_record(state: ControlState) -> ControlState:
    """Return the state without its document and history."""
    return evolve(state, document=b"", history=[])
