"""Messages for the control state, its replication along the control chain, and its reads.

The head sends each state towards the tail; every member syncs the state before it forwards it (chain
replication, van Renesse and Schneider 2004).  The large part of the state is the *state record*
(configuration document and order history).  It is transferred separately and identified by its digest.  See
docs/control-safety/snapshots.md.
"""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.protocol.codec import message
from hollowusher.protocol.placement import Placement


@message(22)
class ControlState:
    """The state that the control chain replicates.  The pair (epoch, sequence) orders states."""

    sequence: int
    generation: int  # of the configuration; 0: no configuration has been committed yet
    document: bytes  # the configuration in force, canonical JSON
    history: list[list[Any]]  # [generation, digest of the order] of committed changes, oldest first
    placement: Placement | None = None
    retiring: dict[str, str] = attrs.Factory(dict)  # store name -> "running" | "completed"


@message(23)
class ChainWrite:
    """Request to sync a state and forward it towards the tail before responding.

    If the receiver already holds the state record, or the record is too large for one message, the sender
    omits it from `state` and puts its digest into `record`.  A receiver without the record fetches it with
    `ReadStateRecord`.
    """

    epoch: int
    state: ControlState
    record: bytes = b""  # digest of the state record that `state` omits; empty: `state` is complete
    cluster: str = ""
    sender: str = ""  # the predecessor of the receiver in the chain
    receiver_disk: str = ""


@message(24)
class ChainWritten:
    """Response to `ChainWrite`: `ok` if the tail has synced the state.

    Otherwise `epoch` is the newest epoch that the rejecting member has.
    """

    ok: bool
    epoch: int = 0
    unreachable: str = ""  # name of the chain member that did not respond
    lacking: str = ""  # name of the chain member that is still fetching the state record


@message(29)
class ReadControlState:
    """Request of a starting process to the chain's tail for the control state."""

    forwarded: bool = False


@message(30)
class ControlStateResponse:
    """Response to `ReadControlState`: the committed control state, None if it could not be confirmed."""

    state: ControlState | None
    epoch: int = 0


@message(108)
class ReadStateRecord:
    """Request for a chunk of the state record with the digest `digest`."""

    digest: bytes  # empty: the record of the newest state that the controller holds
    offset: int
    cluster: str = ""


@message(109)
class StateRecordChunk:
    """Response to `ReadStateRecord`; `digest` is empty if the controller does not hold the record."""

    digest: bytes
    size: int  # of the complete record, in bytes
    offset: int
    data: bytes
