"""The control state on disk: the state in one slot, a large record of document and history in another.

Two slots take the records in turn.  A record is durable before the state that names it, and it is never
written over the one that the durable state names: a crash in between leaves the old state whole.  A small
record is saved inside the state, in the format that was used for every state before.
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

MIN_THROUGHPUT_BYTES_PER_S = (
    1_000_000  # slowest link and disk that a large state is to get through in its time
)
STALLED_AFTER_S = 0.8
FAILURE_PENALTY_S = 2.0  # after a save that failed, the others do without this member for so long


@attrs.frozen
class SavedState:
    """What was found on disk.

    `intact` is False where the record that the state names is missing: then this disk must not be taken to
    hold what it once acknowledged.
    """

    epoch: int
    state: ControlState
    intact: bool = True


class StateStore:
    """The newest control state of one controller, and the records that it holds durably."""

    def __init__(self, state_slot: Slot, record_slots: Sequence[Slot]) -> None:
        self._state_slot = state_slot
        self._record_slots = list(record_slots)
        self._records: list[StateRecord | None] = [None] * len(self._record_slots)  # durable, by slot
        self._current: StateRecord | None = None  # of the durable state, where it is held in memory
        self._state_bytes: bytes | None = None  # the durable state, as it was saved
        self._referenced_digest: bytes = b""  # the digest that the durable state names
        self._save_outcome_unknown = (
            False  # a save of the state has failed: either state may be found after a crash
        )
        self._lock = asyncio.Lock()
        self._saving_since: float | None = None  # the save under way
        self._saving_bytes = 0
        self._failed_at: float | None = None

    def load(self) -> SavedState | None:
        """Load the state saved last, None where there is none."""
        for place, slot in enumerate(self._record_slots):
            encoded = slot.load()
            self._records[place] = decode_record(encoded) if encoded is not None else None
        self._state_bytes = self._state_slot.load()
        if self._state_bytes is None:
            return None
        epoch, state, *named = decode(self._state_bytes)
        if not named:
            self._current = make_record(state)
            return SavedState(epoch, state)
        self._referenced_digest = named[0]
        record = self.record(self._referenced_digest)
        if record is None:
            return SavedState(epoch, state, intact=False)
        self._current = record
        return SavedState(epoch, record.fill(state))

    def record(self, digest: bytes) -> StateRecord | None:
        """Return a record that is held, in a slot of its own or as part of the newest state."""
        for record in (self._current, *self._records):
            if record is not None and record.digest == digest:
                return record
        return None

    def record_of(self, state: ControlState) -> StateRecord:
        """Return the record of a state."""
        for record in (self._current, *self._records):
            if record is not None and record.of(state):
                return record
        return make_record(state)

    def is_durable(self, digest: bytes) -> bool:
        """Whether a record stands in a slot of its own."""
        return any(record is not None and record.digest == digest for record in self._records)

    async def save(self, epoch: int, state: ControlState) -> None:
        """Replace the state durably; its record first, where that is large and not durable yet."""
        async with self._lock:
            record = self.record_of(state)
            if len(record.encoded) <= MAX_EMBEDDED_BYTES:
                named = b""
                saved = encode([epoch, state])
            else:
                await self._save_record(record)
                named = record.digest
                saved = encode([epoch, strip_record(state), named])
            await self._save_state(saved)
            self._current = record
            self._referenced_digest = named

    async def save_record(self, record: StateRecord) -> None:
        """Hold a record durably that no saved state names yet."""
        async with self._lock:
            await self._save_record(record)

    async def _save_record(self, record: StateRecord) -> None:
        if self.is_durable(record.digest):
            return
        if self._save_outcome_unknown:  # save the known state again: then no state names the other record
            await self._save_state(self._state_bytes or encode([0, EMPTY_STATE]))
        place = self._free_slot()
        self._records[place] = None
        await self._save(self._record_slots[place], record.encoded)
        self._records[place] = record

    def _free_slot(self) -> int:
        """Return the slot whose record the durable state does not name."""
        for place, record in enumerate(self._records):
            if record is None or not self._referenced_digest or record.digest != self._referenced_digest:
                return place
        raise AssertionError("both slots hold the record of the durable state")

    async def _save_state(self, saved: bytes) -> None:
        self._save_outcome_unknown = True
        await self._save(self._state_slot, saved)
        self._save_outcome_unknown = False
        self._state_bytes = saved

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
        """Whether the disk has been busy with one save for too long, or has just failed to take one."""
        if self._failed_at is not None and now - self._failed_at < FAILURE_PENALTY_S:
            return True
        allowed = STALLED_AFTER_S + self._saving_bytes / MIN_THROUGHPUT_BYTES_PER_S
        return self._saving_since is not None and now - self._saving_since > allowed
