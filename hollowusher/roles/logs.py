"""Structured log lines by eliot: one JSON object a line on standard error.

Lines cost processor time, so only changes of state and failures are logged, not each message.
"""

from __future__ import annotations

import sys

from hollowusher.log_events import LogEvent

_process: dict[str, str] = {}
_started = False


def set_process_fields(node: str, role: str) -> None:
    """Name the process in each of its lines."""
    _process.update(node=node, role=role)


def log(event: LogEvent) -> None:
    """Write one line about an event.

    The library is loaded for the first line: a start should not wait 60 ms for it.
    """
    import eliot

    global _started
    if not _started:
        _started = True
        eliot.add_global_fields(**_process)
        eliot.to_file(sys.stderr)
    eliot.log_message(message_type=event.name, **event.fields())


def describe_error(error: BaseException) -> str:
    """Return an error and the place where it arose in one line."""
    if isinstance(error, BaseExceptionGroup):
        return "; ".join(describe_error(inner) for inner in error.exceptions)
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    place = "" if trace is None else f" at {trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
    return f"{type(error).__name__}: {error}{place}"
