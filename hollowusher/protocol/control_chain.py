"""The control state, its replication along the control chain, and reads of it."""

from __future__ import annotations

from typing import Any

import attrs

from hollowusher.protocol.codec import message
from hollowusher.protocol.placement import Placement


@message(22)
class ControlState:
    """All that the control chain keeps."""

    sequence: int
    generation: int  # 0: no configuration has been taken yet
    document: bytes  # the configuration in force, canonical JSON
    history: list[list[Any]]  # [generation, digest of the order] of changes taken, oldest first
    placement: Placement | None = None
    retiring: dict[str, str] = attrs.Factory(dict)  # store name -> "running" | "completed"


@message(23)
class ChainWrite:
    """From the head towards the tail: keep this state durably, pass it on, then answer.

    A document and history that the receiver holds, or that are too large for one message, are left out of
    `state` and named by `record`; a receiver that lacks them asks for them (`ReadStateRecord`)."""

    epoch: int
    state: ControlState
    record: bytes = b""  # digest of the document and history that `state` lacks; empty: it is whole
    cluster: str = ""
    sender: str = ""  # the chain member before the receiver
    receiver_disk: str = ""


@message(24)
class ChainWritten:
    """Answer to `ChainWrite`: `ok` once the tail has the state; else the epoch known to the refuser."""

    ok: bool
    epoch: int = 0
    unreachable: str = ""  # the chain member that gave no answer
    lacking: str = ""  # the chain member that is still fetching the document and history


@message(29)
class ReadControlState:
    """Asks the chain's tail for the control state (a started scheduler does, before it serves)."""

    forwarded: bool = False


@message(30)
class ControlStateResponse:
    """The committed control state, None where it could not be confirmed."""

    state: ControlState | None
    epoch: int = 0


@message(108)
class ReadStateRecord:
    """Asks a controller for a part of the document and history that a state names by their digest."""

    digest: bytes  # empty: those of the newest state that the controller holds
    offset: int
    cluster: str = ""


@message(109)
class StateRecordChunk:
    """Answer to `ReadStateRecord`; an empty `digest` where the controller does not hold it."""

    digest: bytes
    size: int  # of the whole
    offset: int
    data: bytes
