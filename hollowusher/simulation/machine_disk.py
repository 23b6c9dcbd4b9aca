"""The disk of a simulated machine.  It outlives processes, and loses unsynced writes with the power."""

from __future__ import annotations

from random import Random

from hollowusher.storage.memory import MemoryLog, MemorySlot

SEGMENT_BYTES = 256 * 1024  # a record of this size or more does not fit
SEGMENTS = 64


class MachineDisk:
    """A machine's disk: logs and slots by name, which outlive processes."""

    def __init__(self, random_source: Random, sync_s: float, segment_bytes: int = SEGMENT_BYTES) -> None:
        self._random_source = random_source
        self._sync_s = sync_s
        self._segment_bytes = segment_bytes
        self._failing = ""
        self._logs: dict[str, MemoryLog] = {}
        self._slots: dict[str, MemorySlot] = {}

    def log(self, name: str = "messages") -> MemoryLog:
        """Return the log of a name, a new one if there was none."""
        if name not in self._logs:
            self._logs[name] = MemoryLog(self._segment_bytes, SEGMENTS, self._sync_s)
            self._logs[name].failing = self._failing
        return self._logs[name]

    def slot(self, name: str) -> MemorySlot:
        """Return the slot of a name, a new one if there was none."""
        if name not in self._slots:
            self._slots[name] = MemorySlot(save_s=self._sync_s)
            self._slots[name].failing = self._failing
        return self._slots[name]

    def fail(self, reason: str) -> None:
        """Make all writes fail from now on; an empty reason ends that."""
        self._failing = reason
        for log in self._logs.values():
            log.failing = reason
        for slot in self._slots.values():
            slot.failing = reason

    def set_sync_time(self, seconds: float) -> None:
        """Set how long each sync that begins from now on takes."""
        self._sync_s = seconds
        for log in self._logs.values():
            log.sync_s = seconds
        for slot in self._slots.values():
            slot.save_s = seconds

    def process_ended(self) -> None:
        """Lose what the ended process had not yet written."""
        self._crash(in_order=True)

    def power_lost(self) -> None:
        """Keep what was synced; lose any part of the rest."""
        self._crash(in_order=self._random_source.random() < 0.5)

    def _crash(self, *, in_order: bool) -> None:
        self._logs = {name: log.crash(self._random_source, in_order) for name, log in self._logs.items()}
        self._slots = {name: slot.crash(self._random_source) for name, slot in self._slots.items()}

    def lost(self) -> None:
        """Put an empty disk in the place of this one."""
        self._logs, self._slots = {}, {}
