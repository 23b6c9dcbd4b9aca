"""Structured log lines by eliot: one JSON object a line on standard error.

Lines cost processor time, so only changes of state and failures are logged, not each message; the action
`message` is logged for one message in `EVERY`, so that one can be followed over all roles by its id.
"""

from __future__ import annotations

import sys
from typing import Any

import eliot
import xxhash

EVERY = 1024  # one message in so many is followed through all roles


def start_logs(node: str, role: str) -> None:
    """Send log lines to standard error, each with the node's name and role."""
    eliot.add_global_fields(node=node, role=role)
    eliot.to_file(sys.stderr)


def log(event: str, **fields: Any) -> None:
    """One line about something that has happened."""
    eliot.log_message(message_type=event, **fields)


def followed(message_id: str) -> bool:
    """Whether the message of this id is one of those that all roles log."""
    return xxhash.xxh32_intdigest(message_id) % EVERY == 0


def log_step(message_id: str, step: str, **fields: Any) -> None:
    """One step in the life of a message, if it is followed."""
    if followed(message_id):
        eliot.log_message(message_type="message", id=message_id, step=step, **fields)
