"""Fetches the record (document and history) that a member of the control chain lacks, in chunks.

A record is identified by the digest of its complete content.  Therefore its chunks may come from different
sources, and a fetch resumes after the chunks that have already arrived.  A record is usable only once it is
complete, its digest is verified and it is on disk.  Fetching an outdated record is harmless: no state refers
to a record until a `ChainWrite` of the current epoch does.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from hollowusher.coordination.chain.state_record import (
    CHUNK_BYTES,
    MAX_RECORD_BYTES,
    StateRecord,
    decode_record,
)
from hollowusher.coordination.chain.state_store import MIN_THROUGHPUT_BYTES_PER_S, StateStore
from hollowusher.protocol.codec import DecodeError
from hollowusher.protocol.control_chain import ReadStateRecord, StateRecordChunk
from hollowusher.storage.interface import StorageError
from hollowusher.transport.interface import PeerError, Transport

CHUNK_TIMEOUT_S = 0.4 + CHUNK_BYTES / MIN_THROUGHPUT_BYTES_PER_S
SAVE_RETRY_S = 1.0
MAX_CONSECUTIVE_FAILURES = 3  # then the fetch ends until `fetch` is called again

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class RecordBuffer:
    """The chunks of one record that have arrived so far.  No I/O, no clock."""

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
        self._size: int | None = None
        self._data = bytearray()

    @property
    def offset(self) -> int:
        """The offset of the next chunk."""
        return len(self._data)

    @property
    def is_complete(self) -> bool:
        """Whether all bytes of the record have arrived."""
        return self._size is not None and len(self._data) == self._size

    def add_chunk(self, chunk: StateRecordChunk) -> str:
        """Add the next chunk; return the reason if it is rejected, empty if it is accepted."""
        if chunk.digest != self.digest:
            return "not held"
        if not 0 < chunk.size <= MAX_RECORD_BYTES or self._size not in (None, chunk.size):
            return "wrong size"
        if chunk.offset != self.offset or not 0 < len(chunk.data) <= chunk.size - self.offset:
            return "cut short"
        self._size = chunk.size
        self._data += chunk.data
        return ""

    def finish(self) -> StateRecord | None:
        """Decode the complete record; if its digest does not match, drop all chunks and return None."""
        encoded = bytes(self._data)
        try:
            record = decode_record(encoded)
        except (DecodeError, TypeError, ValueError):
            record = None
        if record is None or record.digest != self.digest:
            self._size = None
            self._data = bytearray()
            return None
        return record


class RecordFetcher:
    """Fetches one record at a time to this controller's disk; `counts` counts the failures by reason."""

    def __init__(self, transport: Transport, store: StateStore, spawn: Spawn, counts: Counter[str]) -> None:
        self._transport = transport
        self._store = store
        self._spawn = spawn
        self._counts = counts
        self._buffer: RecordBuffer | None = None
        self._source = ""
        self._cluster = ""
        self._running = False
        self._save_failed_at: float | None = None

    def fetch(self, digest: bytes, source: str, cluster: str) -> None:
        """Fetch the record from the controller at the address `source`, instead of any other record."""
        if self._buffer is None or self._buffer.digest != digest:
            self._buffer = RecordBuffer(digest)
        self._source = source
        self._cluster = cluster
        if not self._running and not self._has_recent_save_failure():
            self._running = True
            self._spawn(self._run())

    def _has_recent_save_failure(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self._save_failed_at is not None and now - self._save_failed_at < SAVE_RETRY_S

    async def _run(self) -> None:
        try:
            failures = 0
            while self._buffer is not None and failures < MAX_CONSECUTIVE_FAILURES:
                buffer = self._buffer
                if buffer.is_complete:
                    if not await self._finish(buffer):
                        return
                else:
                    failures = 0 if await self._fetch_chunk(buffer) else failures + 1
        finally:
            self._running = False

    async def _fetch_chunk(self, buffer: RecordBuffer) -> bool:
        """Request the next chunk; return whether it arrived and was accepted."""
        request = ReadStateRecord(buffer.digest, buffer.offset, self._cluster)
        try:
            answer = await self._transport.call(self._source, request, CHUNK_TIMEOUT_S)
        except PeerError:
            return self._count_failure("no answer")
        if not isinstance(answer, StateRecordChunk):
            return self._count_failure("no chunk")
        rejection = buffer.add_chunk(answer)
        return self._count_failure(rejection) if rejection else True

    async def _finish(self, buffer: RecordBuffer) -> bool:
        """Verify and save the complete record; return whether both succeeded."""
        record = buffer.finish()
        if record is None:
            return self._count_failure("wrong digest")
        try:
            await self._store.save_record(record)
        except StorageError:
            self._save_failed_at = asyncio.get_running_loop().time()
            return self._count_failure("not saved")
        self._save_failed_at = None
        if self._buffer is buffer:
            self._buffer = None
        return True

    def _count_failure(self, reason: str) -> bool:
        self._counts[f"record: {reason}"] += 1
        return False


def read_chunk(record: StateRecord | None, offset: int) -> StateRecordChunk:
    """Return the chunk at an offset, an empty chunk if there is no record or the offset is outside it."""
    if record is None or not 0 <= offset < len(record.encoded):
        return StateRecordChunk(b"", 0, offset, b"")
    return StateRecordChunk(
        record.digest, len(record.encoded), offset, record.encoded[offset : offset + CHUNK_BYTES]
    )
