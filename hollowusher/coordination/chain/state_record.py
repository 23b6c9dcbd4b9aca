"""The large part of the control state as one record, identified by its digest.

The record contains the configuration document and the history of orders, which a change of the placement does
not modify.  It is sent and saved only where it is missing; the rest of the state is a few kilobytes.
"""

from __future__ import annotations

import hashlib
from typing import Any

import attrs

from hollowusher.protocol.codec import decode, encode, evolve
from hollowusher.protocol.control_chain import ControlState

DIGEST_BYTES = 16
MAX_EMBEDDED_BYTES = 16 * 1024  # a record up to this size is saved together with the state
MAX_INLINE_BYTES = 256 * 1024  # a record up to this size is sent inside a `ChainWrite`
CHUNK_BYTES = 256 * 1024  # the largest payload of one `StateRecordChunk`
MAX_RECORD_BYTES = 16 * 1024 * 1024  # enough for a document of 8 MB and the longest history


@attrs.frozen(eq=False)
class StateRecord:
    """Document and history, their encoding, and the digest of the encoding."""

    digest: bytes
    encoded: bytes
    document: bytes
    history: list[list[Any]]

    def belongs_to(self, state: ControlState) -> bool:
        """Return whether this is the record of a state; compares by identity, which is cheap."""
        return state.document is self.document and state.history is self.history

    def attach_to(self, state: ControlState) -> ControlState:
        """Return the state with this document and history."""
        return evolve(state, document=self.document, history=self.history)


def make_record(state: ControlState) -> StateRecord:
    """Return the record of a state."""
    encoded = encode([state.document, state.history])
    return StateRecord(compute_digest(encoded), encoded, state.document, state.history)


def decode_record(encoded: bytes) -> StateRecord:
    """Decode a record; raise `DecodeError` for invalid bytes."""
    document, history = decode(encoded)
    return StateRecord(compute_digest(encoded), encoded, document, history)


def compute_digest(encoded: bytes) -> bytes:
    """Return the digest that identifies an encoded record."""
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()


def strip_record(state: ControlState) -> ControlState:
    """Return the state without its document and history."""
    return evolve(state, document=b"", history=[])
