"""Chain replication of the control state.  No I/O, no clock.

Source: van Renesse and Schneider, "Chain replication for supporting high throughput and availability" (2004).
Every state has the version (epoch, sequence).  A member saves a state before it passes it on; a state that
the tail has saved is committed.  The head of a new epoch sends its whole state down before anything else, so
within an epoch each member's state descends from the head's.

A member holds every committed state ("complete") when it has saved one in an epoch since which it has been
in every chain: each commit of those epochs needed its save.  Only a complete member may become the head.
A member whose saved state has come to harm holds nothing until it has saved one of the present epoch.
"""

from __future__ import annotations

from hollowusher.coordination.consensus.paxos import FIRST_EPOCH, is_voter
from hollowusher.protocol.codec import decode, encode, evolve
from hollowusher.protocol.control_chain import ChainWrite, ControlState
from hollowusher.protocol.view import View

EMPTY_STATE = ControlState(sequence=0, generation=0, document=b"", history=[])


class ChainMember:
    """The chain's part in one controller: the newest state it holds and what it may do with it."""

    def __init__(self, name: str, disk_id: str, saved: bytes | None = None) -> None:
        self.name = name
        self.disk_id = disk_id
        self.view: View | None = None
        self.state = EMPTY_STATE
        self.state_epoch = 0
        self.committed: ControlState | None = None  # the newest state known to be committed
        self.committed_epoch = 0  # the epoch of the chain whose tail had it
        self._is_damaged = False  # what it once saved is not whole any more
        if saved is not None:
            self.state_epoch, self.state = decode(saved)

    def restore(self, epoch: int, state: ControlState, *, intact: bool = True) -> None:
        """Take what was found on disk; not `intact`: a part of it is missing, so it counts for nothing."""
        if intact:
            self.state_epoch, self.state = epoch, state
        self._is_damaged = not intact

    @property
    def epoch(self) -> int:
        """The epoch of the view in use, 0 for none."""
        return self.view.epoch if self.view is not None else 0

    @property
    def in_chain(self) -> bool:
        """Whether this name with this disk is in the chain."""
        view = self.view
        return view is not None and self.name in view.chain and is_voter(view, self.name, self.disk_id)

    @property
    def is_head(self) -> bool:
        """Whether it takes writes."""
        return self.in_chain and self.view is not None and self.view.head == self.name

    @property
    def is_tail(self) -> bool:
        """Whether it answers reads."""
        return self.in_chain and self.view is not None and self.view.tail == self.name

    @property
    def complete(self) -> bool:
        """Whether it holds every state committed up to its view."""
        if self.view is None or not self.in_chain or self._is_damaged:
            return False
        since = self.view.since.get(self.name, self.view.epoch)
        return since == FIRST_EPOCH or self.state_epoch >= since

    @property
    def may_write(self) -> bool:
        """Whether it is a head that holds all committed states, and its view is not older than its state.

        The disk may remember a state of a view whose own save has failed.
        """
        return self.is_head and self.complete and self.state_epoch <= self.epoch

    @property
    def has_committed_in_epoch(self) -> bool:
        """Whether it knows of a state committed in its view's own epoch."""
        return self.in_chain and self.committed_epoch == self.epoch

    @property
    def is_readable(self) -> bool:
        """Whether it is the tail and `committed` is the newest committed state of the chain."""
        return self.is_tail and self.has_committed_in_epoch

    @property
    def is_committed(self) -> bool:
        """Whether the newest state it holds is known to be committed in this epoch."""
        return self.has_committed_in_epoch and self.committed is self.state

    def successor(self) -> str | None:
        """Return the member after this one, None for the tail."""
        if self.view is None or not self.in_chain:
            return None
        position = self.view.chain.index(self.name) + 1
        return self.view.chain[position] if position < len(self.view.chain) else None

    def predecessor(self) -> str | None:
        """Return the member before this one, None for the head."""
        if self.view is None or not self.in_chain:
            return None
        position = self.view.chain.index(self.name)
        return self.view.chain[position - 1] if position > 0 else None

    def install(self, view: View) -> bool:
        """Use a decided view; False for an older one."""
        if view.epoch <= self.epoch:
            return False
        self.view = view
        if self.is_tail and self.state_epoch == view.epoch:
            self.committed = self.state
            self.committed_epoch = view.epoch
        return True

    def accepts(self, write: ChainWrite) -> bool:
        """Return whether a state from the member before is to be saved, kept and passed on.

        It is if it is of this epoch and not older than the one held.
        """
        follows = self.in_chain and not self.is_head
        return follows and write.epoch == self.epoch and self._version(write) >= self._saved_version()

    def make_write(self, state: ControlState | None = None) -> ChainWrite:
        """Head: a new state, or the present one in this epoch, to be saved, kept and passed on."""
        if not self.may_write:
            raise ValueError(f"{self.name} is not a head that holds all committed states")
        if state is None:
            return ChainWrite(self.epoch, self.state)
        return ChainWrite(self.epoch, evolve(state, sequence=self.state.sequence + 1))

    def has_saved(self, write: ChainWrite) -> bool:
        """Whether this very state of this epoch has been saved here."""
        same_version = self._version(write) == self._saved_version()
        return same_version and not self._is_damaged and self.state == write.state

    def record_saved(self, write: ChainWrite) -> None:
        """Record that a state has been saved."""
        if self._is_damaged or self._version(write) > self._saved_version():
            self.state = write.state
            self.state_epoch = write.epoch
            self._is_damaged = False

    def commit(self, write: ChainWrite) -> ControlState | None:
        """Record that the tail has saved this state; return the state where that is news."""
        known = self.committed
        if known is not None and write.state.sequence < known.sequence:
            return None
        news = known is None or write.state.sequence > known.sequence
        current = write.epoch == self.state_epoch and write.state.sequence == self.state.sequence
        self.committed = self.state if current else write.state
        self.committed_epoch = max(write.epoch, self.committed_epoch)
        return self.committed if news else None

    def _saved_version(self) -> tuple[int, int]:
        return self.state_epoch, self.state.sequence

    @staticmethod
    def _version(write: ChainWrite) -> tuple[int, int]:
        return write.epoch, write.state.sequence


def encode_write(write: ChainWrite) -> bytes:
    """Encode what a member saves for a state; `ChainMember` loads it."""
    return encode([write.epoch, write.state])
