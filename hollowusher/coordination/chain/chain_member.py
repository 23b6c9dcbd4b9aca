"""Chain replication of the control state.  No I/O, no clock.

Source: van Renesse and Schneider, "Chain replication for supporting high throughput and availability" (2004).
Every state has the version (epoch, sequence).  A member saves a state before it forwards it to its successor;
a state is committed once the tail has saved it.  The head of a new epoch sends its complete state down the
chain before any change, so within an epoch the state of each member descends from the state of the head.

A member is "complete" (it holds every committed state) if it has saved a state of an epoch since which it has
been in every chain: each commit in those epochs required its save.  Only a complete member may become the
head.  A member whose saved state is damaged counts as empty until it has saved a state of the current epoch.
"""

from __future__ import annotations

from hollowusher.coordination.consensus.paxos import FIRST_EPOCH, is_voter
from hollowusher.protocol.codec import decode, encode, evolve
from hollowusher.protocol.control_chain import ChainWrite, ControlState
from hollowusher.protocol.view import View

EMPTY_STATE = ControlState(sequence=0, generation=0, document=b"", history=[])


class ChainMember:
    """One controller's member of the chain: its newest state, and the rules for writing and reading it."""

    def __init__(self, name: str, disk_id: str, saved: bytes | None = None) -> None:
        self.name = name
        self.disk_id = disk_id
        self.view: View | None = None
        self.state = EMPTY_STATE
        self.state_epoch = 0
        self.committed: ControlState | None = None  # the newest state known to be committed
        self.committed_epoch = 0  # the epoch in which it was committed
        self._is_damaged = False  # a part of the saved state is missing on disk
        if saved is not None:
            self.state_epoch, self.state = decode(saved)

    def restore(self, epoch: int, state: ControlState, *, intact: bool = True) -> None:
        """Restore the state found on disk; unless it is `intact`, ignore it and count as damaged."""
        if intact:
            self.state_epoch, self.state = epoch, state
        self._is_damaged = not intact

    @property
    def epoch(self) -> int:
        """The epoch of the installed view, 0 if there is none."""
        return self.view.epoch if self.view is not None else 0

    @property
    def in_chain(self) -> bool:
        """Whether this controller, with its current disk, is in the chain."""
        view = self.view
        return view is not None and self.name in view.chain and is_voter(view, self.name, self.disk_id)

    @property
    def is_head(self) -> bool:
        """Whether this member is the head of the chain, which accepts changes."""
        return self.in_chain and self.view is not None and self.view.head == self.name

    @property
    def is_tail(self) -> bool:
        """Whether this member is the tail of the chain, which serves reads."""
        return self.in_chain and self.view is not None and self.view.tail == self.name

    @property
    def complete(self) -> bool:
        """Whether this member holds every state that was committed before its view."""
        if self.view is None or not self.in_chain or self._is_damaged:
            return False
        since = self.view.since.get(self.name, self.view.epoch)
        return since == FIRST_EPOCH or self.state_epoch >= since

    @property
    def may_write(self) -> bool:
        """Whether this member is a complete head whose view is not older than its state.

        After a restart the view may be older than the state, if the save of the view failed and the save of
        the state succeeded.
        """
        return self.is_head and self.complete and self.state_epoch <= self.epoch

    @property
    def has_committed_in_epoch(self) -> bool:
        """Whether this member knows a state that was committed in the epoch of its view."""
        return self.in_chain and self.committed_epoch == self.epoch

    @property
    def is_readable(self) -> bool:
        """Whether this member is the tail and `committed` is the newest committed state of the chain."""
        return self.is_tail and self.has_committed_in_epoch

    @property
    def is_committed(self) -> bool:
        """Whether the state of this member is known to be committed in the current epoch."""
        return self.has_committed_in_epoch and self.committed is self.state

    def successor(self) -> str | None:
        """Return the name of the next member, None for the tail or outside the chain."""
        if self.view is None or not self.in_chain:
            return None
        position = self.view.chain.index(self.name) + 1
        return self.view.chain[position] if position < len(self.view.chain) else None

    def predecessor(self) -> str | None:
        """Return the name of the previous member, None for the head or outside the chain."""
        if self.view is None or not self.in_chain:
            return None
        position = self.view.chain.index(self.name)
        return self.view.chain[position - 1] if position > 0 else None

    def install(self, view: View) -> bool:
        """Install a decided view; return False for one that is not newer than the installed view."""
        if view.epoch <= self.epoch:
            return False
        self.view = view
        if self.is_tail and self.state_epoch == view.epoch:
            self.committed = self.state
            self.committed_epoch = view.epoch
        return True

    def accepts(self, write: ChainWrite) -> bool:
        """Return whether this member has to save and forward a write from its predecessor.

        It does if the write is of the current epoch and not older than the saved state.
        """
        is_follower = self.in_chain and not self.is_head
        return is_follower and write.epoch == self.epoch and self._version(write) >= self._saved_version()

    def make_write(self, state: ControlState | None = None) -> ChainWrite:
        """Return the head's write of a new state, or of the current state in the current epoch.

        Raise `ValueError` unless `may_write`.
        """
        if not self.may_write:
            raise ValueError(f"{self.name} is not a head that holds all committed states")
        if state is None:
            return ChainWrite(self.epoch, self.state)
        return ChainWrite(self.epoch, evolve(state, sequence=self.state.sequence + 1))

    def has_saved(self, write: ChainWrite) -> bool:
        """Return whether this member has saved exactly this state of this epoch."""
        same_version = self._version(write) == self._saved_version()
        return same_version and not self._is_damaged and self.state == write.state

    def record_saved(self, write: ChainWrite) -> None:
        """Record that the state of a write is on disk."""
        if self._is_damaged or self._version(write) > self._saved_version():
            self.state = write.state
            self.state_epoch = write.epoch
            self._is_damaged = False

    def commit(self, write: ChainWrite) -> ControlState | None:
        """Record that the tail has saved this state; return the state if it is newly committed, else None."""
        known = self.committed
        if known is not None and write.state.sequence < known.sequence:
            return None
        is_newer = known is None or write.state.sequence > known.sequence
        is_current = write.epoch == self.state_epoch and write.state.sequence == self.state.sequence
        self.committed = self.state if is_current else write.state
        self.committed_epoch = max(write.epoch, self.committed_epoch)
        return self.committed if is_newer else None

    def _saved_version(self) -> tuple[int, int]:
        return self.state_epoch, self.state.sequence

    @staticmethod
    def _version(write: ChainWrite) -> tuple[int, int]:
        return write.epoch, write.state.sequence


def encode_write(write: ChainWrite) -> bytes:
    """Return the encoded write, from which `ChainMember` restores its state."""
    return encode([write.epoch, write.state])
