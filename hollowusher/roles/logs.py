"""Structured log lines by eliot: one JSON object a line on standard error.

Lines cost processor time, so only changes of state and failures are logged, not each message; the action
`message` is logged for one message in `EVERY`, so that one can be followed over all roles by its id.
"""

from __future__ import annotations

import sys
from typing import Any

import xxhash

EVERY = 1024  # one message in so many is followed through all roles


_process: dict[str, str] = {}
_started = False


def start_logs(node: str, role: str) -> None:
    """Name the process in each of its lines."""
    _process.update(node=node, role=role)


def log(event: str, **fields: Any) -> None:
    """One line about something that has happened.

    The library is loaded for the first line: a start should not wait 60 ms for it."""
    import eliot

    global _started
    if not _started:
        _started = True
        eliot.add_global_fields(**_process)
        eliot.to_file(sys.stderr)
    eliot.log_message(message_type=event, **fields)


def followed(message_id: str) -> bool:
    """Whether the message of this id is one of those that all roles log."""
    return xxhash.xxh32_intdigest(message_id.encode()) % EVERY == 0


def log_step(message_id: str, step: str, **fields: Any) -> None:
    """One step in the life of a message, if it is followed."""
    if followed(message_id):
        log("message", id=message_id, step=step, **fields)
