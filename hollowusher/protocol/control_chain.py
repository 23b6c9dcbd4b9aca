"""The control state, its replication along the control chain, and reads of it.

The head sends each state towards the tail; every member syncs it before it passes it on (chain replication,
van Renesse and Schneider 2004).  The large part of the state, the *state record* (configuration document and
order history), travels apart from it under its digest.  See docs/control-safety/snapshots.md.
"""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.protocol.codec import message
from hollowusher.protocol.placement import Placement


@message(22)
class ControlState:
    """All that the control chain keeps.  States compare by the pair (epoch, sequence)."""

    sequence: int
    generation: int  # 0: no configuration has been taken yet
    document: bytes  # the configuration in force, canonical JSON
    history: list[list[Any]]  # [generation, digest of the order] of changes taken, oldest first
    placement: Placement | None = None
    retiring: dict[str, str] = attrs.Factory(dict)  # store name -> "running" | "completed"


@message(23)
class ChainWrite:
    """Request to sync a state, pass it on towards the tail, then answer.

    A state record that the receiver holds, or that is too large for one message, is left out of `state` and
    named by `record`.  A receiver that lacks it fetches it with `ReadStateRecord`.
    """

    epoch: int
    state: ControlState
    record: bytes = b""  # digest of the document and history that `state` lacks; empty: `state` is complete
    cluster: str = ""
    sender: str = ""  # the chain member before the receiver
    receiver_disk: str = ""


@message(24)
class ChainWritten:
    """Response to `ChainWrite`: `ok` once the tail has synced the state.

    Otherwise `epoch` is the newest one that the rejecting member knows.
    """

    ok: bool
    epoch: int = 0
    unreachable: str = ""  # the chain member that gave no answer
    lacking: str = ""  # the chain member that is still fetching the document and history


@message(29)
class ReadControlState:
    """Request to the chain's tail for the control state, by a process that starts."""

    forwarded: bool = False


@message(30)
class ControlStateResponse:
    """The committed control state, None where it could not be confirmed."""

    state: ControlState | None
    epoch: int = 0


@message(108)
class ReadStateRecord:
    """Request for a chunk of the state record with this digest."""

    digest: bytes  # empty: those of the newest state that the controller holds
    offset: int
    cluster: str = ""


@message(109)
class StateRecordChunk:
    """Response to `ReadStateRecord`; `digest` is empty where the controller does not hold the record."""

    digest: bytes
    size: int  # of the complete record, in bytes
    offset: int
    data: bytes
