"""Writes structured log lines with eliot: one JSON object per line on standard error.

Log lines cost CPU time, so processes log only state changes and failures, not each message.
"""

from __future__ import annotations

import sys

from hollowusher.log_events import LogEvent

_process: dict[str, str] = {}
_started = False


def set_process_fields(node: str, role: str) -> None:
    """Set the `node` and `role` fields that each log line of this process contains."""
    _process.update(node=node, role=role)


def log(event: LogEvent) -> None:
    """Write the log line of an event.

    eliot is imported when the first line is written, because the import takes 60 ms of the start.
    """
    import eliot

    global _started
    if not _started:
        _started = True
        eliot.add_global_fields(**_process)
        eliot.to_file(sys.stderr)
    eliot.log_message(message_type=event.name, **event.fields())


def describe_error(error: BaseException) -> str:
    """Return the type, the text and the source location of an error in one line."""
    if isinstance(error, BaseExceptionGroup):
        return "; ".join(describe_error(inner) for inner in error.exceptions)
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    place = "" if trace is None else f" at {trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
    return f"{type(error).__name__}: {error}{place}"
