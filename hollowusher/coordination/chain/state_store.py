"""The control state on disk: one slot for the state and two slots for large records (document and history).

The two record slots alternate.  A record is saved before the state that refers to it, and it never overwrites
the record that the durable state refers to, so a crash between the two saves leaves the old state intact.  A
small record is saved inside the state, in the format that earlier versions used for every state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs

from hollowusher.coordination.chain.chain_member import EMPTY_STATE
from hollowusher.coordination.chain.state_record import (
    MAX_EMBEDDED_BYTES,
    StateRecord,
    decode_record,
    make_record,
    strip_record,
)
from hollowusher.protocol.codec import decode, encode
from hollowusher.protocol.control_chain import ControlState
from hollowusher.storage.interface import Slot, StorageError

MIN_THROUGHPUT_BYTES_PER_S = 1_000_000  # timeouts for large states assume at least this link and disk speed
STALLED_AFTER_S = 0.8
FAILURE_PENALTY_S = 2.0  # this member counts as stalled for this long after a failed save


@attrs.frozen
class SavedState:
    """The state that was loaded from disk.

    `intact` is False if the record that the state refers to is missing.  Then the disk no longer holds the
    state that this controller has acknowledged.
    """

    epoch: int
    state: ControlState
    intact: bool = True


class StateStore:
    """Saves the newest control state of one controller and the records that the state refers to."""

    def __init__(self, state_slot: Slot, record_slots: Sequence[Slot]) -> None:
        self._state_slot = state_slot
        self._record_slots = list(record_slots)
        self._records: list[StateRecord | None] = [None] * len(self._record_slots)  # durable, one per slot
        self._current: StateRecord | None = None  # the record of the durable state, if it is in memory
        self._state_bytes: bytes | None = None  # the encoding of the durable state
        # Digest of the record that the durable state refers to; empty if the state contains its record.
        self._referenced_digest: bytes = b""
        # True after a failed save of the state: a crash may then leave the old state or the new one on disk.
        self._save_outcome_unknown = False
        self._lock = asyncio.Lock()
        self._saving_since: float | None = None  # start of the save in progress
        self._saving_bytes = 0
        self._failed_at: float | None = None

    def load(self) -> SavedState | None:
        """Load the last saved state, None if there is none."""
        for slot_index, slot in enumerate(self._record_slots):
            encoded = slot.load()
            self._records[slot_index] = decode_record(encoded) if encoded is not None else None
        self._state_bytes = self._state_slot.load()
        if self._state_bytes is None:
            return None
        epoch, state, *digests = decode(self._state_bytes)
        if not digests:
            self._current = make_record(state)
            return SavedState(epoch, state)
        self._referenced_digest = digests[0]
        record = self.record(self._referenced_digest)
        if record is None:
            return SavedState(epoch, state, intact=False)
        self._current = record
        return SavedState(epoch, record.attach_to(state))

    def record(self, digest: bytes) -> StateRecord | None:
        """Return the record with this digest, in a record slot or in the newest state, None if missing."""
        for record in (self._current, *self._records):
            if record is not None and record.digest == digest:
                return record
        return None

    def record_of(self, state: ControlState) -> StateRecord:
        """Return the record of a state, newly encoded if it is not held."""
        for record in (self._current, *self._records):
            if record is not None and record.belongs_to(state):
                return record
        return make_record(state)

    def is_durable(self, digest: bytes) -> bool:
        """Return whether a record slot holds the record with this digest."""
        return any(record is not None and record.digest == digest for record in self._records)

    async def save(self, epoch: int, state: ControlState) -> None:
        """Replace the state durably; save its record first if it is large and not durable yet."""
        async with self._lock:
            record = self.record_of(state)
            if len(record.encoded) <= MAX_EMBEDDED_BYTES:
                record_digest = b""
                encoded_state = encode([epoch, state])
            else:
                await self._save_record(record)
                record_digest = record.digest
                encoded_state = encode([epoch, strip_record(state), record_digest])
            await self._save_state(encoded_state)
            self._current = record
            self._referenced_digest = record_digest

    async def save_record(self, record: StateRecord) -> None:
        """Save a record that no saved state refers to yet."""
        async with self._lock:
            await self._save_record(record)

    async def _save_record(self, record: StateRecord) -> None:
        if self.is_durable(record.digest):
            return
        # Save the known state again, so that the state on disk cannot refer to the record to be overwritten.
        if self._save_outcome_unknown:
            await self._save_state(self._state_bytes or encode([0, EMPTY_STATE]))
        slot_index = self._free_slot()
        self._records[slot_index] = None
        await self._save(self._record_slots[slot_index], record.encoded)
        self._records[slot_index] = record

    def _free_slot(self) -> int:
        """Return the index of a slot whose record the durable state does not refer to."""
        for slot_index, record in enumerate(self._records):
            if record is None or not self._referenced_digest or record.digest != self._referenced_digest:
                return slot_index
        raise AssertionError("both slots hold the record of the durable state")

    async def _save_state(self, encoded_state: bytes) -> None:
        self._save_outcome_unknown = True
        await self._save(self._state_slot, encoded_state)
        self._save_outcome_unknown = False
        self._state_bytes = encoded_state

    async def _save(self, slot: Slot, value: bytes) -> None:
        self._saving_since = asyncio.get_running_loop().time()
        self._saving_bytes = len(value)
        try:
            await slot.save(value)
        except StorageError:
            self._failed_at = asyncio.get_running_loop().time()
            raise
        finally:
            self._saving_since = None

    def stalled(self, now: float) -> bool:
        """Return whether a save has taken too long or has failed within `FAILURE_PENALTY_S`."""
        if self._failed_at is not None and now - self._failed_at < FAILURE_PENALTY_S:
            return True
        allowed_s = STALLED_AFTER_S + self._saving_bytes / MIN_THROUGHPUT_BYTES_PER_S
        return self._saving_since is not None and now - self._saving_since > allowed_s
